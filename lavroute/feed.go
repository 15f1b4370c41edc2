package lavroute

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Times and bounds of the feed.
const (
	feedEvery   = 500 * time.Millisecond
	feedTimeout = 2 * time.Second
	// maxNews bounds the events of one message; the rest follow in the next.
	maxNews = 2048
)

// CacheUpdate are cache events of one endpoint, as its owner passes them on.
type CacheUpdate struct {
	Endpoint    string
	Incarnation lavengine.Incarnation
	Marks       []Mark
}

// Mark is one cache event.
type Mark struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Prefix  uint64
	Evicted bool
}

// CacheFeed keeps a CacheIndex. Each endpoint's owner asks it for its events and
// passes them on, so that an endpoint is asked once however many hosts there
// are.
type CacheFeed struct {
	parts CacheFeedConfig
}

// CacheFeedConfig are what a feed is made of.
type CacheFeedConfig struct {
	Index     *CacheIndex
	Endpoints interface{ Snapshot() *lavendpoint.Snapshot }
	Engine    func(e *lavendpoint.Endpoint) lavengine.Engine
	// Owns reports whether this host owns an endpoint.
	Owns func(endpoint string) bool
	// Broadcast passes news on to the other hosts. What is lost shows as a gap.
	Broadcast func(n CacheUpdate)
}

// NewCacheFeed returns a feed made of those parts.
func NewCacheFeed(parts CacheFeedConfig) *CacheFeed { return &CacheFeed{parts: parts} }

// Serve asks for events until the context ends.
func (f *CacheFeed) Serve(ctx context.Context) error {
	tick := time.NewTicker(feedEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		f.poll(ctx)
	}
}

// poll asks every endpoint that this host owns, and waits for their answers.
func (f *CacheFeed) poll(ctx context.Context) {
	snapshot := f.parts.Endpoints.Snapshot()
	f.parts.Index.Keep(func(name string) bool { return snapshot.Index(name) >= 0 })
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if e.Service == "" && e.Phase.TakesWork() && f.parts.Owns(e.Name) {
			asked.Go(func() { f.ask(ctx, e) })
		}
	}
	asked.Wait()
}

func (f *CacheFeed) ask(ctx context.Context, e *lavendpoint.Endpoint) {
	incarnation, last := f.parts.Index.Last(e.Name)
	if incarnation != e.Report.Incarnation {
		last = 0
	}
	events, err := f.parts.Engine(e).Events(ctx, last)
	if err != nil || len(events) == 0 {
		return
	}
	events = events[:min(len(events), maxNews)]
	f.parts.Index.Apply(e.Name, events)
	f.parts.Broadcast(newNews(e.Name, events))
}

func newNews(endpoint string, events []lavengine.CacheEvent) CacheUpdate {
	n := CacheUpdate{Endpoint: endpoint, Incarnation: events[len(events)-1].Incarnation}
	for _, e := range events {
		if e.Incarnation == n.Incarnation {
			n.Marks = append(n.Marks, Mark{Number: e.Number, Prefix: uint64(e.Prefix), Evicted: e.Evicted})
		}
	}
	return n
}

// Receive takes news from another host.
func (f *CacheFeed) Receive(n CacheUpdate) {
	events := make([]lavengine.CacheEvent, 0, len(n.Marks))
	for _, m := range n.Marks {
		events = append(events, lavengine.CacheEvent{
			Number: m.Number, Incarnation: n.Incarnation, Prefix: lavrequest.PrefixHash(m.Prefix), Evicted: m.Evicted,
		})
	}
	f.parts.Index.Apply(n.Endpoint, events)
}
