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
	lavassert.Equal(t, "news", len(m.Apply([]Entry{entry("a", 3), entry("b", 4)})), 2)
	lavassert.Equal(t, "old news", len(m.Apply([]Entry{entry("a", 2), entry("a", 3)})), 0)
	m.Apply([]Entry{{Key: "a", Revision: 5, Removed: true}})
	lavassert.Equal(t, "news from before the removal", len(m.Apply([]Entry{entry("a", 4)})), 0)
	_, ok := m.Get("a")
	lavassert.True(t, "a is gone", !ok)
	lavassert.Equal(t, "highest", m.HighestRevision(), lavstore.Revision(5))
}

func TestReplace(t *testing.T) {
	m := New()
	m.Apply([]Entry{entry("a", 1), entry("b", 2), entry("c", 9)})
	news := m.ApplySnapshot([]Entry{entry("b", 2), entry("d", 4)}, 5)
	lavassert.Equal(t, "news", len(news), 2)
	_, hasA := m.Get("a")
	_, hasC := m.Get("c")
	lavassert.True(t, "what the listing lacks is gone", !hasA)
	lavassert.True(t, "what is younger than the listing stays", hasC)
	lavassert.Equal(t, "removal at the listing's revision", news[1], Entry{Key: "a", Revision: 5, Removed: true})
}

// TestOrderDoesNotMatter plays the same history to two copies in different
// orders, with repeats.
func TestOrderDoesNotMatter(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("copies agree", prop.ForAll(func(seed uint64) bool {
		draw := rand.New(rand.NewPCG(seed, 1))
		var history []Entry
		for revision := range 40 {
			e := entry(fmt.Sprint("k", draw.IntN(6)), lavstore.Revision(revision+1))
			e.Removed = draw.IntN(3) == 0
			history = append(history, e)
		}
		straight, mixed := New(), New()
		straight.Apply(history)
		for range 3 {
			draw.Shuffle(len(history), func(i, j int) { history[i], history[j] = history[j], history[i] })
			mixed.Apply(history)
		}
		return fmt.Sprint(straight.EntriesAfter(0)) == fmt.Sprint(mixed.EntriesAfter(0))
	}, gen.UInt64()))
	properties.TestingRun(t)
}
