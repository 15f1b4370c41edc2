package lavroute_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavroute"

	"github.com/fxamacker/cbor/v2"
)

// logged is an engine with a list of cache events.
type logged struct {
	lavengine.Engine
	events []lavengine.CacheEvent
	asked  int
}

func (l *logged) Events(_ context.Context, after uint64) ([]lavengine.CacheEvent, error) {
	l.asked++
	var found []lavengine.CacheEvent
	for _, e := range l.events {
		if e.Number > after {
			found = append(found, e)
		}
	}
	return found, nil
}

type still struct{ snapshot *lavendpoint.Snapshot }

func (s still) Snapshot() *lavendpoint.Snapshot { return s.snapshot }

func TestFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &logged{events: stored(1, "a", prompt...)}
		owner, other := lavroute.NewCacheIndex(), lavroute.NewCacheIndex()
		hearer := lavroute.NewCacheFeed(lavroute.CacheFeedConfig{Index: other})
		feed := lavroute.NewCacheFeed(lavroute.CacheFeedConfig{
			Index:     owner,
			Endpoints: still{lavendpoint.NewSnapshot(1, endpoints(2))},
			Engine:    func(*lavendpoint.Endpoint) lavengine.Engine { return engine },
			Owns:      func(name string) bool { return name == "engine-1" },
			Broadcast: func(n lavroute.CacheUpdate) {
				body, err := cbor.Marshal(n)
				lavassert.NoError(t, err)
				var heard lavroute.CacheUpdate
				lavassert.NoError(t, cbor.Unmarshal(body, &heard))
				hearer.Receive(heard)
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2700*time.Millisecond)
		defer cancel()
		lavassert.ErrorIs(t, feed.Serve(ctx), context.DeadlineExceeded)
		knows(t, owner, "engine-1", 4)
		knows(t, other, "engine-1", 4)
		knows(t, owner, "engine-0", 0)
		lavassert.Equal(t, "times asked, by the owner alone", engine.asked, 5)
	})
}
