package lavhost

import (
	"context"
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
	watcherCheckInterval = 100 * time.Millisecond
	// watcherCount is how many hosts watch the store continuously.
	watcherCount = 3
	// watchTimeout is how long a watch call waits for a change. It is bounded
	// so that a silent connection is detected.
	watchTimeout = 300 * time.Millisecond
	// callTimeout bounds a call. A watch call may take watchTimeout in
	// addition.
	callTimeout = 900 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
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
	// peerSettledAt returns the latest time at which a peer is known to have been in
	// continuous contact with the store, or the zero time.
	peerSettledAt func() time.Time
	// reliesOnWatchers reports whether this host is not a watcher and receives
	// changes from one.
	reliesOnWatchers func() bool
	// recordList records that the entries have been read as of a time, and needsList reports
	// whether they must be read at once.
	recordList func(askedAt time.Time)
	needsList  func() bool
	// announceContact tells the peers that this host is in contact with the store again, if
	// it watches it.
	announceContact func()

	contact storeContact
}

// Serve implements suture.Service.
func (f *storeFollower) Serve(ctx context.Context) error {
	var after lavstore.Revision
	for ctx.Err() == nil {
		epoch, confirmed := f.confirmation.check()
		askedAt := f.now()
		next, err := f.poll(ctx, epoch, after, confirmed)
		wasInContact := f.inContact()
		f.recordResult(err)
		if err == nil {
			if !wasInContact {
				f.announceContact()
			}
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
		relevant = f.state.replace(all, next, f.removalsFinal())
	} else {
		var changed []lavmirror.Entry
		changed, next, err = f.source.Changes(ctx, "", after, wait)
		if err != nil {
			return after, err
		}
		relevant = f.state.apply(changed, f.removalsFinal())
	}
	if f.confirmation.confirm(epoch) {
		f.logger.Info().Uint64("Revision", uint64(next)).Msg("knowledge confirmed by the store")
	}
	if len(relevant) > 0 && !firstListing {
		f.broadcast(relevant, f.removalsFinal())
	}
	return next, nil
}

// recordResult records whether a call succeeded. A response that the history has been
// discarded counts as a success, since the store is available.
func (f *storeFollower) recordResult(err error) {
	if err != nil && !errors.Is(err, platform.ErrCompacted) {
		if f.contact.recordFailure(f.now()) {
			f.logger.Warn().Err(err).Msg("store lost")
		}
		return
	}
	if away := f.contact.recordResponse(f.now(), f.settledAt()); away > 0 {
		f.logger.Info().Dur("Away", away).Msg("store regained")
	}
}

// unavailable reports whether the last call to the store failed.
func (f *storeFollower) unavailable() bool { return f.contact.unavailable() }

// inContact reports whether the store answered recently.
func (f *storeFollower) inContact() bool { return f.contact.inContact(f.now()) }

// continuousContact reports whether this host has been in contact with the store for so
// long that no entry can have expired only because the store was unavailable.
func (f *storeFollower) continuousContact() bool { return f.contact.continuous(f.now()) }

// removalsFinal reports whether an entry that is found removed now is gone and has not
// merely expired during an outage of the store.
func (f *storeFollower) removalsFinal() bool {
	return f.now().Sub(f.settledAt()) < entryLapseTime
}

// settledAt returns the latest time at which this host or a peer is known to have been in
// continuous contact with the store, or the zero time.
func (f *storeFollower) settledAt() time.Time {
	own, peer := f.contact.settledAt(f.now()), f.peerSettledAt()
	if peer.After(own) {
		return peer
	}
	return own
}

// now returns the current time including that for which the machine was suspended.
func (f *storeFollower) now() time.Time { return time.Now().Add(f.confirmation.clock()) }
