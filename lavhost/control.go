package lavhost

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Times of following the store. A change must be in force two seconds after the
// store has acknowledged it.
const (
	// batchTime lets changes gather, since each answer is a priced call.
	batchTime = 400 * time.Millisecond
	// checkTime is the time between calls of hosts that hear of changes from
	// the watchers, and lookTime that between looks whether they still do.
	checkTime = 30 * time.Second
	lookTime  = 200 * time.Millisecond
	// watchers is how many hosts follow the store closely.
	watchers = 3
	// watchTime bounds a watch, so that a silent connection is noticed.
	watchTime = 700 * time.Millisecond
	// callTime bounds a call, and a watch beyond its wait.
	callTime = 900 * time.Millisecond
	// retryTime is the pause after a failed call.
	retryTime = 250 * time.Millisecond
	// lapseTime is how long the store must be away for entries of endpoints
	// that live to lapse.
	lapseTime = 2 * time.Second
	// steadyGap is the longest time between two answers of a store that is
	// followed closely.
	steadyGap = batchTime + watchTime + callTime
)

// Source is the part of the store that a host follows.
type Source interface {
	List(ctx context.Context, prefix string) ([]lavmirror.Entry, lavstore.Revision, error)
	Changes(ctx context.Context, prefix string, after lavstore.Revision, wait time.Duration) ([]lavmirror.Entry, lavstore.Revision, error)
}

// control follows the store.
type control struct {
	source    Source
	knowledge *knowledge
	belief    *belief
	logger    *log.Logger
	// tell spreads news that matter.
	tell func(news []lavmirror.Entry, settled bool)
	// sureOfStore reports whether this host or a peer is sure of the store.
	sureOfStore func() bool
	// told reports whether this host is no watcher and a watcher tells it of
	// changes.
	told func() bool

	mu sync.Mutex
	// heard is when the store last answered, and awaySince when it began to
	// fail; backAt is when it last came back after a long time.
	heard     time.Time
	awaySince time.Time
	backAt    time.Time
	// steadySince is since when the store has answered again and again.
	steadySince time.Time
}

// Serve implements suture.Service.
func (c *control) Serve(ctx context.Context) error {
	var after lavstore.Revision
	for ctx.Err() == nil {
		era, good := c.belief.check()
		next, err := c.step(ctx, era, after, good)
		c.note(err)
		if err == nil {
			after = next
			c.pause(ctx)
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			after = 0
			continue
		}
		_ = lavpause.For(ctx, retryTime)
	}
	return ctx.Err()
}

// pause waits for the next call. A host that is no watcher waits for as long as
// it hears of changes from one that is.
func (c *control) pause(ctx context.Context) {
	_ = lavpause.For(ctx, batchTime)
	until := time.Now().Add(checkTime)
	for ctx.Err() == nil && time.Now().Before(until) {
		_, good := c.belief.check()
		if !good || !c.told() {
			return
		}
		_ = lavpause.For(ctx, lookTime)
	}
}

// step makes one call and takes over what it tells. A host that doubts what it
// knows doesn't wait for a change.
func (c *control) step(ctx context.Context, era uint64, after lavstore.Revision, good bool) (lavstore.Revision, error) {
	wait := watchTime
	if !good {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTime)
	defer cancel()
	var news []lavmirror.Entry
	var next lavstore.Revision
	var err error
	if after == 0 {
		var all []lavmirror.Entry
		all, next, err = c.source.List(ctx, "")
		if err != nil {
			return after, err
		}
		news = c.knowledge.replace(all, next, c.sureOfStore())
	} else {
		var changed []lavmirror.Entry
		changed, next, err = c.source.Changes(ctx, "", after, wait)
		if err != nil {
			return after, err
		}
		news = c.knowledge.apply(changed, c.sureOfStore())
	}
	if c.belief.confirm(era) {
		c.logger.Info().Uint64("Revision", uint64(next)).Msg("knowledge confirmed by the store")
	}
	if len(news) > 0 {
		c.tell(news, c.sureOfStore())
	}
	return next, nil
}

// note keeps when the store answered and when not.
func (c *control) note(err error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, platform.ErrCompacted) {
		if c.awaySince.IsZero() {
			c.awaySince = now
			c.logger.Warn().Err(err).Msg("store lost")
		}
		return
	}
	if !c.awaySince.IsZero() {
		c.logger.Info().Dur("Away", now.Sub(c.awaySince)).Msg("store regained")
		if now.Sub(c.awaySince) > lapseTime {
			c.backAt = now
		}
	}
	if !c.awaySince.IsZero() || now.Sub(c.heard) > steadyGap {
		c.steadySince = now
	}
	c.awaySince = time.Time{}
	c.heard = now
}

// away reports whether the store fails.
func (c *control) away() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.awaySince.IsZero()
}

// settled reports whether an entry that goes is gone: the store has not been
// away for long, and it is not just back.
func (c *control) settled() bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaySince.IsZero() && now.Sub(c.awaySince) > lapseTime {
		return false
	}
	return c.backAt.IsZero() || now.Sub(c.backAt) > returnTime
}

// sure reports whether this host has heard the store all the time for so long
// that no entry can have lapsed while the store was away.
func (c *control) sure() bool {
	if !c.fresh() || !c.settled() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.steadySince) > returnTime
}

// fresh reports whether the store answered lately.
func (c *control) fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaySince.IsZero() && !c.heard.IsZero() && time.Since(c.heard) < watchTime+callTime
}
