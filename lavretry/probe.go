package lavretry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxUnresolvedRuns is the number of unresolved runs that a host keeps.
const maxUnresolvedRuns = 4096

// Probe reports whether an endpoint has died, if that is known.
type Probe func(ctx context.Context) (died, known bool)

// unresolvedRun is a run that broke off at an endpoint that may have died of it.
type unresolvedRun struct {
	run   Run
	death Death
	probe Probe
}

// ResolveLater takes over a run that broke off while it isn't known whether its
// endpoint died. The run still counts as running, so that it puts no further
// endpoint at risk, until the probe has an answer or r.Until has passed.
func (s *Suspects) ResolveLater(r Run, d Death, probe Probe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unresolved) < maxUnresolvedRuns {
		s.unresolved = append(s.unresolved, unresolvedRun{run: r, death: d, probe: probe})
	}
}

// resolve calls the probes of the selected unresolved runs and ends the runs for
// which the probe has an answer.
func (s *Suspects) resolve(ctx context.Context, selected func(unresolvedRun) bool) {
	var unresolved []unresolvedRun
	s.mu.Lock()
	s.unresolved = slices.DeleteFunc(s.unresolved, func(u unresolvedRun) bool {
		if selected(u) {
			unresolved = append(unresolved, u)
			return true
		}
		return false
	})
	s.mu.Unlock()
	var probes sync.WaitGroup
	defer probes.Wait()
	for _, u := range unresolved {
		probes.Go(func() { s.resolveRun(ctx, u) })
	}
}

// resolveRun calls the probe of one run. It keeps the run unresolved if the probe
// has no answer and its Until time hasn't passed.
func (s *Suspects) resolveRun(ctx context.Context, u unresolvedRun) {
	died, known := u.probe(ctx)
	switch {
	case known && died:
		u.death.At = time.Now()
		s.RecordDeath(ctx, u.run, u.death)
	case known:
		s.End(u.run, false)
	case time.Now().Before(u.run.Until):
		s.ResolveLater(u.run, u.death, u.probe)
	}
}
