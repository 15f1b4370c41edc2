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

// eventLog is an engine with a fixed list of cache events. It counts how often
// it is polled.
type eventLog struct {
	lavengine.Engine
	events []lavengine.CacheEvent
	calls  int
}

func (log *eventLog) Events(_ context.Context, after uint64) ([]lavengine.CacheEvent, error) {
	log.calls++
	var found []lavengine.CacheEvent
	for _, e := range log.events {
		if e.Number > after {
			found = append(found, e)
		}
	}
	return found, nil
}

// fixedSnapshot provides the same endpoint snapshot on every call.
type fixedSnapshot struct{ snapshot *lavendpoint.Snapshot }

func (s fixedSnapshot) Snapshot() *lavendpoint.Snapshot { return s.snapshot }

func TestFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &eventLog{events: storeEvents(1, "a", prompt...)}
		owner, peer := lavroute.NewCacheIndex(), lavroute.NewCacheIndex()
		receiver := lavroute.NewCacheFeed(lavroute.CacheFeedConfig{Index: peer})
		feed := lavroute.NewCacheFeed(lavroute.CacheFeedConfig{
			Index:     owner,
			Endpoints: fixedSnapshot{lavendpoint.NewSnapshot(1, endpoints(2))},
			Engine:    func(*lavendpoint.Endpoint) lavengine.Engine { return engine },
			Owns:      func(name string) bool { return name == "engine-1" },
			Broadcast: func(update lavroute.CacheUpdate) {
				body, err := cbor.Marshal(update)
				lavassert.NoError(t, err)
				var received lavroute.CacheUpdate
				lavassert.NoError(t, cbor.Unmarshal(body, &received))
				receiver.Receive(received)
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2700*time.Millisecond)
		defer cancel()
		lavassert.ErrorIs(t, feed.Serve(ctx), context.DeadlineExceeded)
		checkKnownBlocks(t, owner, "engine-1", 4)
		checkKnownBlocks(t, peer, "engine-1", 4)
		checkKnownBlocks(t, owner, "engine-0", 0)
		lavassert.Equal(t, "polls, all by the owner", engine.calls, 5)
	})
}
