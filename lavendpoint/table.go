package lavendpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// Polling intervals and timeouts.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Releases provides the release state in force.
type Releases interface {
	State() *lavrelease.State
	Changed() <-chan struct{}
}

// Dial returns the engine at an endpoint.
type Dial func(e *Endpoint) lavengine.Engine

// Table maintains the current snapshot of the endpoints.
type Table struct {
	releases Releases
	hostList HostList
	dial     Dial
	sharing  Sharing
	snapshot atomic.Pointer[Snapshot]
	// wake is signalled when an update arrives that must not wait for the next
	// tick.
	wake chan struct{}

	mu          sync.Mutex
	reports     map[string]polledReport
	lifecycles  map[string]Lifecycle
	hostEntries map[string]HostChange
	changed     chan struct{}
	// inFlight holds the endpoints that are being polled. lastPolled is the time of
	// this host's last poll of each endpoint. For an endpoint of another owner,
	// jitter may set it later than the poll, and a missed report earlier. missed holds
	// the digest of the missed report of each endpoint.
	inFlight   map[string]bool
	lastPolled map[string]time.Time
	missed     map[string]uint32
	// sentReports holds the last full report sent for each endpoint that this host
	// owns. loadsSentAt is when load updates were last sent. pendingHostChanges are
	// the host list changes yet to be sent.
	sentReports        map[string]polledReport
	loadsSentAt        time.Time
	pendingHostChanges []HostChange
	hostListReadAt     time.Time
}

// polledReport is the newest load report of an endpoint.
type polledReport struct {
	report lavengine.LoadReport
	// polledAt is when the endpoint was polled for the report.
	polledAt time.Time
	// failedPolls counts the failed polls since the report. dead is true once their
	// number has reached maxFailedPolls.
	failedPolls int
	dead        bool
}

// New returns a table of the endpoints in the release in force.
func New(releases Releases, hosts HostList, dial Dial) *Table {
	t := &Table{
		releases:    releases,
		hostList:    hosts,
		dial:        dial,
		wake:        make(chan struct{}, 1),
		reports:     make(map[string]polledReport),
		lifecycles:  make(map[string]Lifecycle),
		hostEntries: make(map[string]HostChange),
		changed:     make(chan struct{}),
		inFlight:    make(map[string]bool),
		lastPolled:  make(map[string]time.Time),
		missed:      make(map[string]uint32),
		sentReports: make(map[string]polledReport),
	}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Snapshot returns the current snapshot.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// Changed returns a channel that is closed when the snapshot is next rebuilt.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Engine returns the engine at an endpoint.
func (t *Table) Engine(e *Endpoint) lavengine.Engine { return t.dial(e) }

// Serve polls the endpoints and rebuilds the snapshot until ctx ends.
func (t *Table) Serve(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	// The loads are sent after a delay, so that most polls of the round have
	// returned.
	loadTimer := time.NewTimer(loadSendDelay)
	defer loadTimer.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for loadsDue := false; ; {
		changed := t.releases.Changed()
		now := time.Now()
		t.rebuild(now)
		t.sendBatch(now, loadsDue)
		t.startPolls(ctx, &polls, now)
		loadsDue = false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-t.wake:
		case <-tick.C:
			loadTimer.Reset(loadSendDelay)
		case <-loadTimer.C:
			loadsDue = true
		}
	}
}

func (t *Table) wakeServe() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// startPolls starts a poll of each endpoint that this host is due to poll, and a
// read of the host list when that is due.
func (t *Table) startPolls(ctx context.Context, polls *sync.WaitGroup, now time.Time) {
	snapshot := t.Snapshot()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if t.inFlight[e.Name] || now.Sub(t.lastPolled[e.Name]) < pollInterval/2 || !t.shouldPoll(e.Name, now) {
			continue
		}
		t.inFlight[e.Name] = true
		if t.lastPolled[e.Name].Before(now) {
			t.lastPolled[e.Name] = now
		}
		polls.Go(func() { t.pollEndpoint(ctx, e) })
	}
	if now.Sub(t.hostListReadAt) >= t.hostListInterval() {
		t.hostListReadAt = now
		polls.Go(func() { t.pollHostList(ctx) })
	}
}

func (t *Table) pollEndpoint(ctx context.Context, e *Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	polledAt := time.Now()
	report, err := t.dial(e).Load(ctx)
	t.mu.Lock()
	delete(t.inFlight, e.Name)
	t.mu.Unlock()
	if err == nil {
		t.RecordReport(e.Name, report, polledAt)
		return
	}
	t.recordFailedPoll(e.Name)
}

// recordFailedPoll counts a poll that the endpoint didn't answer.
func (t *Table) recordFailedPoll(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.reports[name]
	if !ok {
		return
	}
	last.failedPolls++
	if last.failedPolls >= maxFailedPolls && !last.dead {
		last.dead = true
		t.wakeServe()
	}
	t.reports[name] = last
}

// RecordReport stores a load report that was returned by a poll sent at polledAt. A
// report that is older than the last one of the same incarnation is dropped, but
// its poll still shows that the endpoint is alive.
func (t *Table) RecordReport(name string, report lavengine.LoadReport, polledAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.reports[name]
	if last.report.Incarnation == report.Incarnation && report.Taken.Before(last.report.Taken) {
		last.polledAt, last.failedPolls, last.dead = polledAt, 0, false
		t.reports[name] = last
		return
	}
	t.reports[name] = polledReport{report: report, polledAt: polledAt}
	if last.dead || !sameStaticPart(&last.report, &report) {
		t.wakeServe()
	}
}

// rebuild merges the sources into a new snapshot.
func (t *Table) rebuild(now time.Time) {
	state := t.releases.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoints := make([]Endpoint, 0, len(state.Endpoints))
	lifecycles := make(map[string]Lifecycle, len(state.Endpoints))
	for _, e := range state.Endpoints {
		host, _ := state.Host(e.Host)
		last := t.reports[e.Name]
		lifecycle := t.lifecycles[e.Name].Next(t.evidence(state, e, last), now)
		lifecycles[e.Name] = lifecycle
		endpoints = append(endpoints, Endpoint{
			Name:          e.Name,
			Host:          e.Host,
			FailureDomain: host.FailureDomain,
			Region:        state.Region(host.FailureDomain),
			Addr:          e.Addr,
			Service:       e.Service,
			Phase:         lifecycle.Phase,
			Limit:         lifecycle.Limit,
			Report:        last.report,
			Heard:         last.polledAt,
		})
	}
	t.lifecycles = lifecycles
	t.pruneReports(lifecycles)
	t.snapshot.Store(NewSnapshot(state.Version, endpoints))
	close(t.changed)
	t.changed = make(chan struct{})
}

// pruneReports drops the state of endpoints that are no longer in the release.
func (t *Table) pruneReports(current map[string]Lifecycle) {
	if len(t.reports) <= len(current) {
		return
	}
	for name := range t.reports {
		if _, known := current[name]; !known {
			delete(t.reports, name)
			delete(t.lastPolled, name)
			delete(t.missed, name)
			delete(t.sentReports, name)
		}
	}
}

func (t *Table) evidence(state *lavrelease.State, e lavrelease.Endpoint, last polledReport) Evidence {
	hostEntry := t.hostEntries[e.Host]
	return Evidence{
		Withdrawn:   state.HostOutOfService(e.Host),
		HostLeaving: hostEntry.Leaving,
		HostGone:    hostEntry.Gone,
		Dead:        last.dead,
		Report:      last.report,
		Heard:       last.polledAt,
		Silence:     t.silenceLimit(e.Name),
	}
}
