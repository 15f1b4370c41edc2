package lavroute

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Intervals and limits of the feed.
const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
	// maxEventsPerUpdate limits the events sent in one message. Further events
	// follow in the next one.
	maxEventsPerUpdate = 2048
)

// CacheUpdate carries cache events of one endpoint from its owner to the other
// hosts.
type CacheUpdate struct {
	Endpoint    string
	Incarnation lavengine.Incarnation
	// Marks holds the events. The field is encoded under this name.
	Marks []CacheChange
}

// CacheChange is one cache event.
type CacheChange struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Prefix  uint64
	Evicted bool
}

// CacheFeed keeps a CacheIndex up to date. Only the host that owns an endpoint
// polls it for events and broadcasts them, so that each endpoint is polled
// once, independent of the number of hosts.
type CacheFeed struct {
	config CacheFeedConfig
}

// CacheFeedConfig holds the dependencies of a CacheFeed.
type CacheFeedConfig struct {
	Index     *CacheIndex
	Endpoints interface{ Snapshot() *lavendpoint.Snapshot }
	Engine    func(e *lavendpoint.Endpoint) lavengine.Engine
	// Owns reports whether this host owns an endpoint.
	Owns func(endpoint string) bool
	// Broadcast sends an update to the other hosts. Lost updates appear there
	// as gaps in the event numbers.
	Broadcast func(update CacheUpdate)
}

// NewCacheFeed returns a feed with the given dependencies.
func NewCacheFeed(config CacheFeedConfig) *CacheFeed { return &CacheFeed{config: config} }

// Serve polls for events until the context ends.
func (f *CacheFeed) Serve(ctx context.Context) error {
	return lavpause.Every(ctx, pollInterval, func() { f.poll(ctx) })
}

// poll requests events from every endpoint that this host owns, and waits until
// all requests have ended.
func (f *CacheFeed) poll(ctx context.Context) {
	snapshot := f.config.Endpoints.Snapshot()
	f.config.Index.Retain(func(name string) bool { return snapshot.Index(name) >= 0 })
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var polls sync.WaitGroup
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if e.Service == "" && e.Phase.TakesWork() && f.config.Owns(e.Name) {
			polls.Go(func() { f.pollEndpoint(ctx, e) })
		}
	}
	polls.Wait()
}

// pollEndpoint fetches new events from one endpoint, applies them to the index
// and broadcasts them.
func (f *CacheFeed) pollEndpoint(ctx context.Context, e *lavendpoint.Endpoint) {
	incarnation, last := f.config.Index.LastEvent(e.Name)
	if incarnation != e.Report.Incarnation {
		last = 0
	}
	events, err := f.config.Engine(e).Events(ctx, last)
	if err != nil || len(events) == 0 {
		return
	}
	events = events[:min(len(events), maxEventsPerUpdate)]
	f.config.Index.Apply(e.Name, events)
	f.config.Broadcast(newCacheUpdate(e.Name, events))
}

// newCacheUpdate returns an update with those events that belong to the
// incarnation of the last one.
func newCacheUpdate(endpoint string, events []lavengine.CacheEvent) CacheUpdate {
	update := CacheUpdate{Endpoint: endpoint, Incarnation: events[len(events)-1].Incarnation}
	for _, e := range events {
		if e.Incarnation == update.Incarnation {
			update.Marks = append(update.Marks, CacheChange{Number: e.Number, Prefix: uint64(e.Prefix), Evicted: e.Evicted})
		}
	}
	return update
}

// Receive applies an update from another host to the index.
func (f *CacheFeed) Receive(update CacheUpdate) {
	events := make([]lavengine.CacheEvent, 0, len(update.Marks))
	for _, change := range update.Marks {
		events = append(events, lavengine.CacheEvent{
			Number: change.Number, Incarnation: update.Incarnation, Prefix: lavrequest.PrefixHash(change.Prefix), Evicted: change.Evicted,
		})
	}
	f.config.Index.Apply(update.Endpoint, events)
}
