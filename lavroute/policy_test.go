package lavroute_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// countPicks returns how many of n requests that differ only in their ID are
// sent to each endpoint.
func countPicks(p lavroute.Policy, table *lavroute.RoutingTable, local []lavroute.LocalLoad, n, prompt int, prefixes ...lavrequest.PrefixHash) map[int]int {
	counts := make(map[int]int)
	for i := range n {
		counts[p.Pick(start, table, local, newPlacement(fmt.Sprint(i), prompt, prefixes...))]++
	}
	return counts
}

// TestEveryPolicy checks the rules that every policy must follow.
func TestEveryPolicy(t *testing.T) {
	for _, name := range lavroute.Names() {
		t.Run(name.String(), func(t *testing.T) {
			p := lavroute.NewPolicy(name, lavroute.NewCacheIndex())
			all := endpoints(6)
			all[0].Phase = lavendpoint.PhaseOut
			all[1].Phase = lavendpoint.PhaseLeaving
			all[2].Report.Models = []string{"other"}
			table, local := newTable(all)
			local[3].AvailableCredit = 100
			lavassert.Equal(t, "endpoints picked", len(countPicks(p, table, local, 64, 1000)), 2)

			pr := newPlacement("x", 1000)
			pr.Avoid = []string{"engine-4"}
			lavassert.Equal(t, "pick with one endpoint avoided", p.Pick(start, table, local, pr), 5)
			pr.Avoid = []string{"engine-4", "engine-5"}
			lavassert.Equal(t, "pick with every endpoint avoided", p.Pick(start, table, local, pr), -1)
			pr.IgnoreCapacity = true
			lavassert.Equal(t, "pick with capacity ignored", p.Pick(start, table, local, pr), 3)

			suspect := newPlacement("y", 1000)
			suspect.Alone = true
			local[4].Alone = 1
			lavassert.Equal(t, "pick for a suspect request", p.Pick(start, table, local, suspect), 5)
			pr = newPlacement("z", 1000)
			pr.Request.Adapter = "none"
			lavassert.Equal(t, "pick with an adapter that no endpoint has loaded", p.Pick(start, table, local, pr), -1)
		})
	}
	_, known := lavroute.ParseName("NoSuch")
	lavassert.True(t, "an unknown policy name is rejected", !known)
}

func TestBalanced(t *testing.T) {
	p := lavroute.NewBalanced(nil)
	t.Run("prefers its own failure domain unless another is faster", func(t *testing.T) {
		table, local := newTable(endpoints(6))
		counts := countPicks(p, table, local, 100, 1000)
		lavassert.Equal(t, "picks in the host's failure domain", counts[0]+counts[3], 100)
		local[0].PendingPrefill[0], local[3].PendingPrefill[0] = 4000, 4000
		counts = countPicks(p, table, local, 100, 1000)
		lavassert.Equal(t, "picks in the host's failure domain under load", counts[0]+counts[3], 0)
	})
	t.Run("adds local work to a stale load report", func(t *testing.T) {
		all := endpoints(2)
		all[1].FailureDomain = "north"
		all[0].Report.WaitingTokens = 50_000
		table, local := newTable(all)
		lavassert.Equal(t, "pick by the load report alone", p.Pick(start, table, local, newPlacement("x", 20_000)), 1)
		local[1].PendingPrefillSinceReport = 200_000
		lavassert.Equal(t, "pick with local work since the report", p.Pick(start, table, local, newPlacement("x", 20_000)), 0)
		later := start.Add(10 * time.Second)
		local[1].PendingPrefillSinceReport = 0
		counts := make(map[int]int)
		for i := range 100 {
			counts[p.Pick(later, table, local, newPlacement(fmt.Sprint(i), 20_000))]++
		}
		lavassert.AtLeast(t, "picks of the endpoint whose reported backlog is processed by now", counts[0], 20)
	})
	t.Run("does not queue a long prompt behind a large backlog", func(t *testing.T) {
		all := endpoints(1)
		all[0].Report.WaitingTokens = 100_000
		table, local := newTable(all)
		lavassert.Equal(t, "pick for a huge prompt", p.Pick(start, table, local, newPlacement("x", 200_000)), -1)
		lavassert.Equal(t, "pick for a short prompt", p.Pick(start, table, local, newPlacement("x", 1000)), 0)
	})
	t.Run("longer prompts leave a memory reserve for short ones", func(t *testing.T) {
		table, local := newTable(endpoints(1))
		local[0].AvailableCredit, local[0].Requests = 210_000, 1
		lavassert.Equal(t, "pick for a huge prompt", p.Pick(start, table, local, newPlacement("x", 200_000)), -1)
		local[0].AvailableCredit = 40_000
		lavassert.Equal(t, "pick for a medium prompt", p.Pick(start, table, local, newPlacement("x", 30_000)), -1)
		lavassert.Equal(t, "pick for a short prompt", p.Pick(start, table, local, newPlacement("x", 3000)), 0)
	})
	t.Run("a cold endpoint is used only if no warm one has capacity", func(t *testing.T) {
		all := endpoints(2)
		all[0].Phase, all[1].FailureDomain = lavendpoint.PhaseCold, "south"
		table, local := newTable(all)
		lavassert.Equal(t, "pick with a warm endpoint available", p.Pick(start, table, local, newPlacement("x", 1000)), 1)
		local[1].AvailableCredit = 0
		lavassert.Equal(t, "pick with the warm endpoint full", p.Pick(start, table, local, newPlacement("x", 1000)), 0)
	})
	t.Run("a held endpoint accepts short prompts and the request that holds it", func(t *testing.T) {
		table, local := newTable(endpoints(1))
		local[0].Held = true
		lavassert.Equal(t, "pick for a short prompt", p.Pick(start, table, local, newPlacement("x", 1000)), 0)
		lavassert.Equal(t, "pick for a medium prompt", p.Pick(start, table, local, newPlacement("x", 10_000)), -1)
		pr := newPlacement("x", 150_000)
		pr.HeldEndpoint = "engine-0"
		lavassert.Equal(t, "pick for the request with the hold", p.Pick(start, table, local, pr), 0)
	})
	t.Run("shorter prompts have higher priority, and a near deadline raises it", func(t *testing.T) {
		short, huge := newPlacement("x", 1000), newPlacement("y", 200_000)
		lavassert.True(t, "short before huge", p.Priority(start, short) < p.Priority(start, huge))
		nearDeadline := p.Priority(huge.Request.Deadline.Add(-time.Second), huge)
		lavassert.True(t, "huge near its deadline before medium", nearDeadline < p.Priority(start, newPlacement("z", 10_000)))
		lavassert.True(t, "huge near its deadline after short", nearDeadline > p.Priority(start, short))
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 1100} {
		for _, name := range lavroute.Names() {
			b.Run(fmt.Sprintf("%v/%d", name, n), func(b *testing.B) {
				caches := lavroute.NewCacheIndex()
				prefixes := make([]lavrequest.PrefixHash, 32)
				for i := range prefixes {
					prefixes[i] = lavrequest.PrefixHash(i + 1)
				}
				for i := 0; i < n; i += max(n/40, 1) {
					caches.Expect(fmt.Sprintf("engine-%d", i), "a", prefixes)
				}
				p := lavroute.NewPolicy(name, caches)
				table, local := newTable(endpoints(n))
				pr := newPlacement("x", 12_000, prefixes...)
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(start, table, local, pr)
				}
			})
		}
	}
}

// BenchmarkPickLoaded measures a pick with a large backlog at every endpoint,
// so that the base costs never end the search early.
func BenchmarkPickLoaded(b *testing.B) {
	p := lavroute.NewBalanced(nil)
	table, local := newTable(endpoints(1100))
	for i := range local {
		local[i].PendingPrefillSinceReport, local[i].PendingPrefill[1] = 500_000+i, 500_000+i
	}
	pr := newPlacement("x", 12_000)
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(start, table, local, pr)
	}
}

func BenchmarkNewRoutingTable(b *testing.B) {
	snapshot := lavendpoint.NewSnapshot(1, endpoints(1100))
	b.ReportAllocs()
	for b.Loop() {
		lavroute.NewRoutingTable(start, snapshot, lavroute.Locality{FailureDomain: "north"}, lavroute.DefaultBacklogFractions())
	}
}
