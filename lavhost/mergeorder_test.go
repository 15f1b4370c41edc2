package lavhost

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestOlderChangeIsNotMergedLast guards against a change that is lost for good since the store and a
// peer deliver it beside an older one.
func TestOlderChangeIsNotMergedLast(t *testing.T) {
	const (
		rounds, keys = 200, 20
		apart        = 20 * time.Microsecond
	)
	for _, removedLast := range []bool{false, true} {
		t.Run(fmt.Sprintf("RemovedLast=%v", removedLast), func(t *testing.T) {
			s := newTestState()
			lost := 0
			for round := range rounds {
				older := evacuations(round, keys, 1, !removedLast)
				newer := evacuations(round, keys, 1+keys, removedLast)
				s.apply(evacuations(round, keys, 0, removedLast), true)
				var changes sync.WaitGroup
				changes.Go(func() { s.apply(older, true) })
				time.Sleep(apart)
				changes.Go(func() { s.apply(newer, true) })
				changes.Wait()
				for i := range keys {
					if s.isEvacuated(evacuatedDomain(round, i)) == removedLast {
						lost++
					}
				}
			}
			lavassert.Equal(t, fmt.Sprintf("newer changes that were lost, of %d", rounds*keys), lost, 0)
		})
	}
}

func evacuatedDomain(round, i int) string { return fmt.Sprintf("zone-%d-%d", round, i) }

// evacuations returns changes of the domains of a round, at revisions after a first one.
func evacuations(round, keys, first int, removed bool) []lavmirror.Entry {
	var entries []lavmirror.Entry
	for i := range keys {
		revision := lavstore.Revision(1000*round + first + i + 1)
		entries = append(entries, standin.EvacuationEntry(revision, evacuatedDomain(round, i), removed))
	}
	return entries
}

// isEvacuated reports whether a failure domain is taken out of service.
func (s *clusterState) isEvacuated(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated[domain]
}
