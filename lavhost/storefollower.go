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

// Timing of the calls to the store. Every host must apply a change within two
// seconds after the store has acknowledged it.
const (
	// batchDelay is the pause after each call, in which changes accumulate,
	// since the store charges for each call.
	batchDelay = 400 * time.Millisecond
	// idlePollInterval is the time between calls of a host that learns of
	// changes from the watchers, and watcherCheckInterval the time between
	// checks whether it still does.
	idlePollInterval     = 30 * time.Second
	watcherCheckInterval = 200 * time.Millisecond
	// watcherCount is how many hosts watch the store continuously.
	watcherCount = 3
	// watchTimeout is how long a watch call waits for a change. It is bounded
	// so that a silent connection is detected.
	watchTimeout = 700 * time.Millisecond
	// callTimeout bounds a call. A watch call may take watchTimeout in
	// addition.
	callTimeout = 900 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
	// entryLapseTime is how long the store must be unavailable before entries
	// of live endpoints may expire.
	entryLapseTime = 2 * time.Second
	// maxResponseGap is the longest time between two responses of the store while a
	// host watches it without interruption.
	maxResponseGap = batchDelay + watchTimeout + callTimeout
)

// ChangeSource is the part of the store that a host reads entries from.
type ChangeSource interface {
	// List returns the entries under a prefix, and the revision after which
	// Changes misses none of their changes.
	List(ctx context.Context, prefix string) ([]lavmirror.Entry, lavstore.Revision, error)
	// Changes waits for up to wait for changes after a revision, and returns
	// them with the revision to continue from.
	Changes(ctx context.Context, prefix string, after lavstore.Revision, wait time.Duration) ([]lavmirror.Entry, lavstore.Revision, error)
}

// storeFollower reads the entries of the store and merges their changes into
// the host's state.
type storeFollower struct {
	source       ChangeSource
	state        *clusterState
	confirmation *confirmation
	logger       *log.Logger
	// broadcast sends changed entries to the peers.
	broadcast func(changed []lavmirror.Entry, removalsFinal bool)
	// anyContinuousContact reports whether this host or a peer has been in
	// continuous contact with the store.
	anyContinuousContact func() bool
	// reliesOnWatchers reports whether this host is not a watcher and receives
	// changes from one.
	reliesOnWatchers func() bool
	// recordList records that the entries have been read as of a time, and needsList reports
	// whether they must be read at once.
	recordList func(askedAt time.Time)
	needsList  func() bool

	mu sync.Mutex
	// lastResponse is when the store last answered. unavailableSince is when
	// calls began to fail, zero while they succeed. recoveredAt is when the
	// store last answered again after it had been unavailable for longer than
	// entryLapseTime.
	lastResponse     time.Time
	unavailableSince time.Time
	recoveredAt      time.Time
	// contactSince is when the current series of responses began that were never
	// more than maxResponseGap apart.
	contactSince time.Time
}

// Serve implements suture.Service.
func (f *storeFollower) Serve(ctx context.Context) error {
	var after lavstore.Revision
	for ctx.Err() == nil {
		epoch, confirmed := f.confirmation.check()
		askedAt := f.now()
		next, err := f.poll(ctx, epoch, after, confirmed)
		f.recordResult(err)
		if err == nil {
			f.recordList(askedAt)
			after = next
			f.waitForNextPoll(ctx)
			continue
		}
		if errors.Is(err, platform.ErrCompacted) {
			after = 0
			continue
		}
		_ = lavpause.For(ctx, retryDelay)
	}
	return ctx.Err()
}

// waitForNextPoll waits until the next call is due. A host that relies on
// watchers waits for up to idlePollInterval. It returns early if its replica
// becomes unconfirmed or it can no longer rely on the watchers.
func (f *storeFollower) waitForNextPoll(ctx context.Context) {
	_ = lavpause.For(ctx, batchDelay)
	until := time.Now().Add(idlePollInterval)
	for ctx.Err() == nil && time.Now().Before(until) {
		_, confirmed := f.confirmation.check()
		if !confirmed || !f.reliesOnWatchers() || f.needsList() {
			return
		}
		_ = lavpause.For(ctx, watcherCheckInterval)
	}
}

// poll makes one call to the store and merges the entries that it returns.
// After revision 0 it lists all entries, otherwise it asks for changes. A host
// whose replica is unconfirmed doesn't wait for a change, so that the response
// confirms the replica at once.
func (f *storeFollower) poll(ctx context.Context, epoch uint64, after lavstore.Revision, confirmed bool) (lavstore.Revision, error) {
	wait := watchTimeout
	if !confirmed {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	// Peers know what a host lists first, or request it because its digest differs.
	firstListing := f.state.mirror.HighestRevision() == 0
	var relevant []lavmirror.Entry
	var next lavstore.Revision
	var err error
	if after == 0 {
		var all []lavmirror.Entry
		all, next, err = f.source.List(ctx, "")
		if err != nil {
			return after, err
		}
		relevant = f.state.replace(all, next, f.anyContinuousContact())
	} else {
		var changed []lavmirror.Entry
		changed, next, err = f.source.Changes(ctx, "", after, wait)
		if err != nil {
			return after, err
		}
		relevant = f.state.apply(changed, f.anyContinuousContact())
	}
	if f.confirmation.confirm(epoch) {
		f.logger.Info().Uint64("Revision", uint64(next)).Msg("knowledge confirmed by the store")
	}
	if len(relevant) > 0 && !firstListing {
		f.broadcast(relevant, f.anyContinuousContact())
	}
	return next, nil
}

// recordResult records when a call succeeded and since when calls have failed.
// A response that the history has been discarded counts as a success, since the
// store is available.
func (f *storeFollower) recordResult(err error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && !errors.Is(err, platform.ErrCompacted) {
		if f.unavailableSince.IsZero() {
			f.unavailableSince = now
			f.logger.Warn().Err(err).Msg("store lost")
		}
		return
	}
	if !f.unavailableSince.IsZero() {
		f.logger.Info().Dur("Away", now.Sub(f.unavailableSince)).Msg("store regained")
		if now.Sub(f.unavailableSince) > entryLapseTime {
			f.recoveredAt = now
		}
	}
	if !f.unavailableSince.IsZero() || now.Sub(f.lastResponse) > maxResponseGap {
		f.contactSince = now
	}
	f.unavailableSince = time.Time{}
	f.lastResponse = now
}

// unavailable reports whether the last call to the store failed.
func (f *storeFollower) unavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unavailableSince.IsZero()
}

// storeStable reports whether the store has been available for long enough that
// entries of live endpoints have not expired: it has not been unavailable for
// longer than entryLapseTime, and did not recover from that within
// recoveryGrace.
func (f *storeFollower) storeStable() bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.unavailableSince.IsZero() && now.Sub(f.unavailableSince) > entryLapseTime {
		return false
	}
	return f.recoveredAt.IsZero() || now.Sub(f.recoveredAt) > recoveryGrace
}

// continuousContact reports whether this host has been in contact with the
// store without a gap for longer than recoveryGrace. Then no entry can have
// expired only because the store was unavailable.
func (f *storeFollower) continuousContact() bool {
	if !f.inContact() || !f.storeStable() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.contactSince) > recoveryGrace
}

// inContact reports whether the store answered recently.
func (f *storeFollower) inContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unavailableSince.IsZero() && !f.lastResponse.IsZero() && time.Since(f.lastResponse) < watchTimeout+callTimeout
}

// now returns the current time including that for which the machine was suspended.
func (f *storeFollower) now() time.Time { return time.Now().Add(f.confirmation.clock()) }
