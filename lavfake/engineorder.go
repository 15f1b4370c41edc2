package lavfake

import (
	"maps"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// applyOrder sets the engine's models, adapters and role. If the engine checks
// fencing tokens, it rejects an order with a fencing token lower than the
// highest that it has seen.
func (e *Engine) applyOrder(o lavengine.Order) (lavengine.OrderReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		if e.settings.ChecksFence {
			e.counts.FenceRefused++
			return lavengine.OrderReport{}, lavengine.ErrFenced
		}
		e.counts.FenceViolations++
	}
	now := time.Now()
	e.counts.Orders++
	e.fence = max(e.fence, o.Fence)
	e.role = o.Role
	e.models = updateLoadTimes(e.models, o.Models, now.Add(e.settings.LoadTime))
	e.adapters = updateLoadTimes(e.adapters, o.Adapters, now.Add(e.settings.LoadTime))
	return lavengine.OrderReport{
		Incarnation: e.incarnation,
		Fence:       e.fence,
		Models:      loadedNames(e.models, now),
		Adapters:    loadedNames(e.adapters, now),
		Role:        e.role,
	}, nil
}

// loadTimes returns a map from each name to the same load time.
func loadTimes(names []string, loadTime time.Time) map[string]time.Time {
	set := make(map[string]time.Time, len(names))
	for _, name := range names {
		set[name] = loadTime
	}
	return set
}

// updateLoadTimes returns the load times of the wanted names. Names that are in
// current keep their load time, and the others get loadTime.
func updateLoadTimes(current map[string]time.Time, wanted []string, loadTime time.Time) map[string]time.Time {
	next := loadTimes(wanted, loadTime)
	for name := range next {
		if since, ok := current[name]; ok {
			next[name] = since
		}
	}
	return next
}

func isLoaded(set map[string]time.Time, name string, now time.Time) bool {
	since, ok := set[name]
	return ok && !since.After(now)
}

// loadedNames returns the sorted names that are loaded at now.
func loadedNames(set map[string]time.Time, now time.Time) []string {
	names := []string{}
	for _, name := range slices.Sorted(maps.Keys(set)) {
		if isLoaded(set, name, now) {
			names = append(names, name)
		}
	}
	return names
}

// visibleReport returns the newest load report that is at least Lag old, or the
// oldest one if none is. It also removes expired streams and reservations.
func (e *Engine) visibleReport() lavengine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.removeExpired(now)
	e.reports = append(e.reports, e.currentReport(now))
	for len(e.reports) > 1 && now.Sub(e.reports[1].Taken) >= e.settings.Lag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

func (e *Engine) currentReport(now time.Time) lavengine.LoadReport {
	report := lavengine.LoadReport{
		Incarnation:   e.incarnation,
		Taken:         now,
		Cold:          e.isCold(now),
		ColdLimit:     e.settings.ColdLimit,
		Running:       len(e.batch),
		RunningTokens: e.memoryInUse(),
		MemoryTokens:  e.settings.MemoryTokens,
		PrefillRate:   e.settings.PrefillRate,
		DecodeRate:    e.settings.DecodeRate,
		Models:        loadedNames(e.models, now),
		Adapters:      loadedNames(e.adapters, now),
		Reservations:  slices.Sorted(maps.Keys(e.reservations)),
		Fence:         e.fence,
	}
	for _, s := range e.batch {
		if s.prefillLeft > 0 {
			report.Waiting++
			report.WaitingTokens += s.prefillLeft
		}
		report.Streams = append(report.Streams, string(s.submission.ID))
	}
	return report
}
