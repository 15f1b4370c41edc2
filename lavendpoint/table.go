package lavendpoint

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// Times of the table.
const (
	pollEvery   = 500 * time.Millisecond
	pollTimeout = 2 * time.Second
)

// Releases tells which state is in force.
type Releases interface {
	State() *lavrelease.State
	Changed() <-chan struct{}
}

// Dial returns the engine at an endpoint.
type Dial func(e *Endpoint) lavengine.Engine

// Table keeps the newest snapshot.
type Table struct {
	releases Releases
	hosts    HostList
	dial     Dial
	sharing  Sharing
	snapshot atomic.Pointer[Snapshot]
	// wake is signalled as something came that can't wait for the next tick.
	wake chan struct{}

	mu      sync.Mutex
	reports map[string]heard
	lives   map[string]Life
	listed  map[string]HostChange
	changed chan struct{}
	// polling are the endpoints whose poll is under way, and asked when this
	// host asked one that it doesn't own.
	polling map[string]bool
	asked   map[string]time.Time
	// tellings is what was last told of the own endpoints in full, told when
	// loads were, and hostChanges what is to tell of the host list.
	tellings    map[string]heard
	told        time.Time
	hostChanges []HostChange
	listRead    time.Time
}

// heard is the newest report of an endpoint.
type heard struct {
	report lavengine.LoadReport
	// at is when the endpoint was asked for it.
	at time.Time
	// missed counts the polls that failed since, and dead is true if they are
	// too many.
	missed int
	dead   bool
}

// New returns a table of the endpoints in the release in force.
func New(releases Releases, hosts HostList, dial Dial) *Table {
	t := &Table{
		releases: releases,
		hosts:    hosts,
		dial:     dial,
		wake:     make(chan struct{}, 1),
		reports:  make(map[string]heard),
		lives:    make(map[string]Life),
		listed:   make(map[string]HostChange),
		changed:  make(chan struct{}),
		polling:  make(map[string]bool),
		asked:    make(map[string]time.Time),
		tellings: make(map[string]heard),
	}
	t.snapshot.Store(&Snapshot{})
	return t
}

// Snapshot returns the newest snapshot.
func (t *Table) Snapshot() *Snapshot { return t.snapshot.Load() }

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Engine returns the engine at an endpoint.
func (t *Table) Engine(e *Endpoint) lavengine.Engine { return t.dial(e) }

// Serve keeps the snapshot new until the context ends.
func (t *Table) Serve(ctx context.Context) error {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	// The loads are told once the polls of a round have come back.
	loads := time.NewTimer(tellDelay)
	defer loads.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for withLoads := false; ; {
		changed := t.releases.Changed()
		now := time.Now()
		t.rebuild(now)
		t.tell(now, withLoads)
		t.poll(ctx, &polls, now)
		withLoads = false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-t.wake:
		case <-tick.C:
			loads.Reset(tellDelay)
		case <-loads.C:
			withLoads = true
		}
	}
}

func (t *Table) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// poll asks the endpoints that are this host's to ask for their load, and the
// host list for its hosts.
func (t *Table) poll(ctx context.Context, polls *sync.WaitGroup, now time.Time) {
	snapshot := t.Snapshot()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if t.polling[e.Name] || now.Sub(t.asked[e.Name]) < pollEvery/2 || !t.wants(e.Name, now) {
			continue
		}
		t.polling[e.Name] = true
		if t.asked[e.Name].Before(now) {
			t.asked[e.Name] = now
		}
		polls.Go(func() { t.pollOne(ctx, e) })
	}
	if now.Sub(t.listRead) >= t.readEvery() {
		t.listRead = now
		polls.Go(func() { t.pollHosts(ctx) })
	}
}

func (t *Table) pollOne(ctx context.Context, e *Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := time.Now()
	report, err := t.dial(e).Load(ctx)
	t.mu.Lock()
	delete(t.polling, e.Name)
	t.mu.Unlock()
	if err == nil {
		t.Hear(e.Name, report, asked)
		return
	}
	t.miss(e.Name)
}

// miss notes that an endpoint didn't answer.
func (t *Table) miss(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.reports[name]
	if !ok {
		return
	}
	h.missed++
	if h.missed >= deadPolls && !h.dead {
		h.dead = true
		t.wakeUp()
	}
	t.reports[name] = h
}

// Hear takes a load report that an endpoint was asked for at that time. An older
// report than the last of the same incarnation is dropped.
func (t *Table) Hear(name string, report lavengine.LoadReport, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.reports[name]
	if last.report.Incarnation == report.Incarnation && report.Taken.Before(last.report.Taken) {
		last.at, last.missed, last.dead = asked, 0, false
		t.reports[name] = last
		return
	}
	t.reports[name] = heard{report: report, at: asked}
	if last.dead || !sameKind(&last.report, &report) {
		t.wakeUp()
	}
}

// rebuild merges the sources into a new snapshot.
func (t *Table) rebuild(now time.Time) {
	state := t.releases.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoints := make([]Endpoint, 0, len(state.Endpoints))
	lives := make(map[string]Life, len(state.Endpoints))
	for _, e := range state.Endpoints {
		host, _ := state.Host(e.Host)
		h := t.reports[e.Name]
		life := t.lives[e.Name].Next(t.evidence(state, e, h), now)
		lives[e.Name] = life
		endpoints = append(endpoints, Endpoint{
			Name:          e.Name,
			Host:          e.Host,
			FailureDomain: host.FailureDomain,
			Region:        state.Region(host.FailureDomain),
			Addr:          e.Addr,
			Service:       e.Service,
			Phase:         life.Phase,
			Limit:         life.Limit,
			Report:        h.report,
			Heard:         h.at,
		})
	}
	t.lives = lives
	t.forget(lives)
	t.snapshot.Store(NewSnapshot(state.Version, endpoints))
	close(t.changed)
	t.changed = make(chan struct{})
}

// forget drops what is kept of endpoints that the release no longer has.
func (t *Table) forget(lives map[string]Life) {
	if len(t.reports) <= len(lives) {
		return
	}
	for name := range t.reports {
		if _, known := lives[name]; !known {
			delete(t.reports, name)
			delete(t.asked, name)
			delete(t.tellings, name)
		}
	}
}

func (t *Table) evidence(state *lavrelease.State, e lavrelease.Endpoint, h heard) Evidence {
	listed := t.listed[e.Host]
	return Evidence{
		Withdrawn: state.HostOutOfService(e.Host),
		Departing: listed.Leaving,
		Gone:      listed.Gone,
		Dead:      h.dead,
		Report:    h.report,
		Heard:     h.at,
		Silence:   t.silence(e.Name),
	}
}
