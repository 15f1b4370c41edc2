package lavnode

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavburn"
	"lavenderrack.example/lavenderrack/lavendpoint"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = 2 * time.Second

// adminHandler returns the handler of the admin address, which operators and
// their monitoring use.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.HandleFunc("GET "+StatusPath, n.serveStatus)
	mux.Handle("GET "+lavburn.Path, n.errorBudget)
	if n.deps.Metrics != nil {
		mux.Handle("GET /metrics", n.deps.Metrics)
	}
	return mux
}

// readyz answers 200 if callers may use this host, that is, if a release is in
// force and the host is not leaving. Otherwise it answers 503.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.members.Self().Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case n.releases.State().Version == 0:
		http.Error(w, "no release in force", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(n.status(time.Now()))
}

// setGauges exports the release version, the number of members and the number of
// endpoints per phase as gauges until the context ends.
func (n *Node) setGauges(ctx context.Context) error {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	for {
		scope := n.deps.Scope
		scope.Gauge("release_version").Update(float64(n.releases.State().Version))
		scope.Gauge("members").Update(float64(len(n.members.View().Members)))
		for phase, count := range phaseCounts(n.table.Snapshot()) {
			scope.Tagged(map[string]string{"phase": phase}).Gauge("endpoints").Update(count)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// phaseCounts returns the number of endpoints in each phase. It includes phases
// without endpoints, so that their gauges are reset to zero.
func phaseCounts(s *lavendpoint.Snapshot) map[string]float64 {
	counts := make(map[string]float64)
	for _, p := range lavendpoint.Phases() {
		counts[p.String()] = 0
	}
	for i := range s.Endpoints {
		counts[s.Endpoints[i].Phase.String()]++
	}
	return counts
}
