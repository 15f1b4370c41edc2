package lavretry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxDoubts bounds the runs whose endpoints may have died.
const maxDoubts = 4096

// Probe asks what became of an endpoint: whether it died, if that is known.
type Probe func(ctx context.Context) (died, known bool)

// doubt is a run whose endpoint may have died of it.
type doubt struct {
	run   Run
	death Death
	probe Probe
}

// ResolveLater takes over a run that broke off at an endpoint of which nobody knows
// whether it died. The run counts as if it still went on, so that no further
// endpoint is put at risk, until the probe tells or the run's time is over.
func (s *Suspects) ResolveLater(r Run, d Death, probe Probe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.doubts) < maxDoubts {
		s.doubts = append(s.doubts, doubt{run: r, death: d, probe: probe})
	}
}

// settle asks the probes of the doubts that are meant and ends the runs of those
// that tell.
func (s *Suspects) settle(ctx context.Context, meant func(doubt) bool) {
	var doubts []doubt
	s.mu.Lock()
	s.doubts = slices.DeleteFunc(s.doubts, func(d doubt) bool {
		if meant(d) {
			doubts = append(doubts, d)
			return true
		}
		return false
	})
	s.mu.Unlock()
	var probes sync.WaitGroup
	defer probes.Wait()
	for _, d := range doubts {
		probes.Go(func() { s.settleOne(ctx, d) })
	}
}

func (s *Suspects) settleOne(ctx context.Context, d doubt) {
	died, known := d.probe(ctx)
	switch {
	case known && died:
		d.death.At = time.Now()
		s.RecordDeath(ctx, d.run, d.death)
	case known:
		s.End(d.run, false)
	case time.Now().Before(d.run.Until):
		s.ResolveLater(d.run, d.death, d.probe)
	}
}
