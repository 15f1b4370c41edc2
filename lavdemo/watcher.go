package lavdemo

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pollInterval is the interval at which the entry hosts are polled for readiness
// and for the releases in force.
const pollInterval = 100 * time.Millisecond

// releaseWatcher observes through the public API at which entry hosts a release
// is in force. A host that applies a release accepts the credential that the
// release added.
type releaseWatcher struct {
	client     *http.Client
	entryHosts []*entryHost

	mu       sync.Mutex
	releases []*watchedRelease
}

// watchedRelease is a release with the results of its probes.
type watchedRelease struct {
	// probe is the credential that only this release and later ones contain.
	probe      string
	acceptedAt time.Time
	// inForceAt holds for each host whether its last probe found the release in
	// force.
	inForceAt map[*entryHost]bool
	// timeToInForce is the time from the acceptance of the release until all
	// running hosts applied it. It is valid once inForceEverywhere is true.
	timeToInForce     time.Duration
	inForceEverywhere bool
	// reverts counts how often a host that applied the release no longer applied
	// it at a later probe.
	reverts int
}

func newReleaseWatcher(entryHosts []*entryHost) *releaseWatcher {
	return &releaseWatcher{client: &http.Client{Transport: &http.Transport{}, Timeout: time.Second}, entryHosts: entryHosts}
}

// watch adds a release to those that are polled.
func (w *releaseWatcher) watch(probe string, acceptedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.releases = append(w.releases, &watchedRelease{probe: probe, acceptedAt: acceptedAt, inForceAt: make(map[*entryHost]bool)})
}

// run polls all hosts for all releases every pollInterval until the context
// ends.
func (w *releaseWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	defer w.client.CloseIdleConnections()
	for {
		w.mu.Lock()
		releases := append([]*watchedRelease(nil), w.releases...)
		w.mu.Unlock()
		for _, r := range releases {
			w.pollHosts(ctx, r)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollHosts probes all running hosts concurrently for one release.
func (w *releaseWatcher) pollHosts(ctx context.Context, r *watchedRelease) {
	var polls sync.WaitGroup
	for _, e := range w.entryHosts {
		if e.stopping.Load() {
			continue
		}
		polls.Go(func() {
			inForce, answered := w.probeHost(ctx, e, r.probe)
			if answered {
				w.recordProbe(r, e, inForce)
			}
		})
	}
	polls.Wait()
	w.updateInForceEverywhere(r)
}

// probeHost sends a request with an invalid body. A host that accepts the
// credential rejects the body with status 400; one that doesn't answers 401.
// Any other result leaves answered false.
func (w *releaseWatcher) probeHost(ctx context.Context, e *entryHost, probe string) (inForce, answered bool) {
	url := "http://" + e.settings.Entry.String() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		return false, false
	}
	request.Header.Set("Authorization", "Bearer "+probe)
	answer, err := w.client.Do(request)
	if err != nil {
		return false, false
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusBadRequest:
		return true, true
	case http.StatusUnauthorized:
		return false, true
	default:
		return false, false
	}
}

// recordProbe stores the result of a probe and counts a revert.
func (w *releaseWatcher) recordProbe(r *watchedRelease, e *entryHost, inForce bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.inForceAt[e] && !inForce {
		r.reverts++
	}
	r.inForceAt[e] = inForce
}

// updateInForceEverywhere marks the release as in force everywhere once all running
// hosts apply it, and records how long that took.
func (w *releaseWatcher) updateInForceEverywhere(r *watchedRelease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.inForceEverywhere {
		return
	}
	for _, e := range w.entryHosts {
		if !e.stopping.Load() && !r.inForceAt[e] {
			return
		}
	}
	r.inForceEverywhere = true
	r.timeToInForce = time.Since(r.acceptedAt)
}

// allInForceEverywhere reports whether each watched release has been in force at
// all running hosts.
func (w *releaseWatcher) allInForceEverywhere() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.releases {
		if !r.inForceEverywhere {
			return false
		}
	}
	return true
}

// summary returns the longest time that a release took to be in force at all
// running hosts, and the number of reverts. For a release that is not yet in
// force everywhere it counts the time until now.
func (w *releaseWatcher) summary(now time.Time) (time.Duration, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest, reverts := time.Duration(0), 0
	for _, r := range w.releases {
		took := r.timeToInForce
		if !r.inForceEverywhere {
			took = now.Sub(r.acceptedAt)
		}
		longest = max(longest, took)
		reverts += r.reverts
	}
	return longest, reverts
}
