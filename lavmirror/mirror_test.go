package lavmirror

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func entry(key string, revision lavstore.Revision) Entry {
	return Entry{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func TestApply(t *testing.T) {
	m := New()
	lavassert.Equal(t, "applied entries", len(m.Apply([]Entry{entry("a", 3), entry("b", 4)})), 2)
	lavassert.Equal(t, "older entries", len(m.Apply([]Entry{entry("a", 2), entry("a", 3)})), 0)
	m.Apply([]Entry{{Key: "a", Revision: 5, Removed: true}})
	lavassert.Equal(t, "entry older than the tombstone", len(m.Apply([]Entry{entry("a", 4)})), 0)
	_, ok := m.Get("a")
	lavassert.True(t, "a is deleted", !ok)
	lavassert.Equal(t, "highest revision", m.HighestRevision(), lavstore.Revision(5))
}

func TestApplySnapshot(t *testing.T) {
	m := New()
	m.Apply([]Entry{entry("a", 1), entry("b", 2), entry("c", 9)})
	applied := m.ApplySnapshot([]Entry{entry("b", 2), entry("d", 4)}, 5)
	lavassert.Equal(t, "applied entries", len(applied), 2)
	_, hasA := m.Get("a")
	_, hasC := m.Get("c")
	lavassert.True(t, "entry missing from the snapshot is deleted", !hasA)
	lavassert.True(t, "entry newer than the snapshot is kept", hasC)
	lavassert.Equal(t, "tombstone at the snapshot's revision", applied[1], Entry{Key: "a", Revision: 5, Removed: true})
}

// TestOrderDoesNotMatter applies the same history to one mirror in order and to
// another in shuffled order, with repetitions. Both must end up equal.
func TestOrderDoesNotMatter(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("mirrors are equal", prop.ForAll(func(seed uint64) bool {
		draw := rand.New(rand.NewPCG(seed, 1))
		var history []Entry
		for revision := range 40 {
			e := entry(fmt.Sprint("k", draw.IntN(6)), lavstore.Revision(revision+1))
			e.Removed = draw.IntN(3) == 0
			history = append(history, e)
		}
		ordered, shuffled := New(), New()
		ordered.Apply(history)
		for range 3 {
			draw.Shuffle(len(history), func(i, j int) { history[i], history[j] = history[j], history[i] })
			shuffled.Apply(history)
		}
		return fmt.Sprint(ordered.EntriesAfter(0)) == fmt.Sprint(shuffled.EntriesAfter(0))
	}, gen.UInt64()))
	properties.TestingRun(t)
}
