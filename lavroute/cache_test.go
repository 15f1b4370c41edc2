package lavroute_test

import (
	"fmt"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// prompt holds the prefix hashes of one prompt.
var prompt = []lavrequest.PrefixHash{11, 12, 13, 14}

// storeEvents returns events that report the prefixes as stored, with numbers
// counting up from first.
func storeEvents(first uint64, incarnation lavengine.Incarnation, prefixes ...lavrequest.PrefixHash) []lavengine.CacheEvent {
	var events []lavengine.CacheEvent
	for i, hash := range prefixes {
		events = append(events, lavengine.CacheEvent{Number: first + uint64(i), Incarnation: incarnation, Prefix: hash})
	}
	return events
}

// checkKnownBlocks checks how many of the prompt's leading blocks the index has
// recorded for an endpoint.
func checkKnownBlocks(t *testing.T, x *lavroute.CacheIndex, endpoint string, want int) {
	t.Helper()
	got := 0
	for _, hit := range x.Hits(prompt, 0, nil) {
		if hit.Endpoint == endpoint {
			got = hit.Blocks
		}
	}
	lavassert.Equal(t, "blocks known to be cached at "+endpoint, got, want)
}

func TestCacheIndex(t *testing.T) {
	t.Run("events store and evict", func(t *testing.T) {
		x := lavroute.NewCacheIndex()
		x.Apply("e", storeEvents(1, "a", prompt[:3]...))
		checkKnownBlocks(t, x, "e", 3)
		x.Apply("e", []lavengine.CacheEvent{{Number: 4, Incarnation: "a", Prefix: 13, Evicted: true}})
		checkKnownBlocks(t, x, "e", 2)
		x.Apply("e", storeEvents(1, "a", prompt...))
		checkKnownBlocks(t, x, "e", 2)
		_, last := x.LastEvent("e")
		lavassert.Equal(t, "newest event", last, 4)
	})
	t.Run("a gap evicts one block per lost event, least recently used first", func(t *testing.T) {
		x := lavroute.NewCacheIndex()
		x.Apply("e", storeEvents(1, "a", 91, 92))
		x.Apply("e", storeEvents(3, "a", 13, 12, 11))
		x.Apply("e", storeEvents(8, "a", 99))
		checkKnownBlocks(t, x, "e", 3)
		x.Apply("e", storeEvents(10, "a", 98))
		checkKnownBlocks(t, x, "e", 2)
		x.Apply("e", storeEvents(1000, "a", 97))
		checkKnownBlocks(t, x, "e", 0)
	})
	t.Run("a new incarnation starts empty", func(t *testing.T) {
		x := lavroute.NewCacheIndex()
		x.Apply("e", storeEvents(50, "a", prompt...))
		x.Apply("e", storeEvents(1, "b", prompt[0]))
		checkKnownBlocks(t, x, "e", 1)
	})
	t.Run("prefixes of a dispatched request count as cached before their events arrive", func(t *testing.T) {
		x := lavroute.NewCacheIndex()
		x.Expect("e", "a", prompt[:2])
		checkKnownBlocks(t, x, "e", 2)
		x.Retain(func(string) bool { return false })
		checkKnownBlocks(t, x, "e", 0)
	})
}

func TestPrefixes(t *testing.T) {
	long := make([]lavrequest.PrefixHash, 30)
	for i := range long {
		long[i] = lavrequest.PrefixHash(1000 + i)
	}
	t.Run("picks the endpoint with the cached prefix unless another is faster", func(t *testing.T) {
		x := lavroute.NewCacheIndex()
		policy := lavroute.NewBalanced(x)
		table, local := newTable(endpoints(6))
		x.Expect("engine-4", "a", long)
		lavassert.Equal(t, "picks of the endpoint with the cached prefix", countPicks(policy, table, local, 50, 8000, long...)[4], 50)
		local[4].PendingPrefillSinceReport = 100_000
		local[4].PendingPrefill[lavrequest.ClassMedium] = 100_000
		lavassert.Equal(t, "picks of that endpoint under load", countPicks(policy, table, local, 50, 8000, long...)[4], 0)
	})
	t.Run("requests with the same uncached prefix go to one endpoint", func(t *testing.T) {
		policy := lavroute.NewBalanced(lavroute.NewCacheIndex())
		table, local := newTable(endpoints(6))
		lavassert.Equal(t, "endpoints picked", len(countPicks(policy, table, local, 50, 8000, long...)), 1)
		homes := make(map[int]bool)
		for i := range 40 {
			homes[policy.Pick(start, table, local, newPlacement(fmt.Sprint(i), 8000, lavrequest.PrefixHash(i), 7))] = true
		}
		lavassert.AtLeast(t, "distinct home endpoints of forty prefixes", len(homes), 4)
	})
}
