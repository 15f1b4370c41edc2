package lavledger

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// Size limits of the ledger.
const (
	// ShardCount is the number of logs that the ledger is split into. Together
	// with commitInterval it limits the rate of writes to the store, regardless
	// of the number of hosts.
	ShardCount = 4
	// MaxStoredBodyBytes is the size of the longest response body that the
	// ledger stores whole. A repeated call gets only the beginning of a longer
	// body.
	MaxStoredBodyBytes = 4 << 10
)

// Durations of the ledger.
const (
	// OutcomeRetention is how long the outcome of a call is kept.
	OutcomeRetention = 10 * time.Minute
	// maxClockSkew is the largest assumed difference between the clocks of two
	// hosts.
	maxClockSkew = 5 * time.Second
	// claimTimeout limits a claim, including its retries while the store is
	// unavailable, and each attempt to commit a group of ops.
	claimTimeout = 2 * time.Second
	// defaultCallTimeout applies to a call whose context has no deadline.
	defaultCallTimeout = time.Minute
	// forwardTimeout limits the wait for the shard's owner. After it, this host
	// commits the op itself.
	forwardTimeout = 500 * time.Millisecond
	// refreshInterval is how often Serve refreshes the caches of the shards
	// that this host replicates.
	refreshInterval = 15 * time.Second
	// peerQueryReserve is the time that a claim leaves before the caller's
	// deadline. Asking the peers about a failed claim takes at most this long.
	peerQueryReserve = 600 * time.Millisecond
	// initialPollInterval and maxPollInterval limit how often a waiting caller
	// polls for the outcome of another claim. The interval doubles after each
	// poll.
	initialPollInterval = 50 * time.Millisecond
	maxPollInterval     = time.Second
)

// Peers gives access to the ledgers of the other hosts.
type Peers interface {
	// Joined reports whether the other hosts know this host as a member. Until
	// then this host claims no calls, because the other hosts could not ask it
	// about its claims while the store is unavailable.
	Joined() bool
	// Owner returns the peer that commits ops to a shard, or "" if this host
	// commits them.
	Owner(shard int) string
	// Replicates reports whether this host refreshes its cache of a shard
	// periodically, even if no caller asks for a record of the shard.
	Replicates(shard int) bool
	// Commit asks a peer to commit op and returns the resulting record.
	Commit(ctx context.Context, peer string, op Op) (Record, error)
	// ConfirmUnclaimed reports whether it is certain that no host, including
	// hosts that have died, claimed the call between since and now.
	ConfirmUnclaimed(ctx context.Context, key CallKey, since time.Time) bool
}

// noPeers implements Peers for a ledger without peers.
type noPeers struct{}

func (noPeers) Joined() bool { return true }

func (noPeers) Owner(int) string { return "" }

func (noPeers) Replicates(int) bool { return true }

func (noPeers) Commit(context.Context, string, Op) (Record, error) {
	return Record{}, errors.New("ledger has no peers")
}

// ConfirmUnclaimed returns false because other ledgers may use the same store.
func (noPeers) ConfirmUnclaimed(context.Context, CallKey, time.Time) bool { return false }

// errNotJoined means that the other hosts do not know this host as a member
// yet.
var errNotJoined = errors.New("host has not joined the fleet yet")

// Ledger runs each call at most once. It is safe for concurrent use.
type Ledger struct {
	peers  Peers
	shards [ShardCount]*shard
}

// New returns a ledger on the store without peers. Other ledgers may use the
// same store.
func New(store lavstore.Store) *Ledger { return NewWithPeers(store, noPeers{}) }

// NewWithPeers returns a ledger on the store that forwards ops to the owners of
// their shards and asks the peers about claims while the store is unavailable.
func NewWithPeers(store lavstore.Store, peers Peers) *Ledger {
	l := &Ledger{peers: peers}
	for i := range l.shards {
		l.shards[i] = newShard(store, i)
	}
	return l
}

// Run claims the call and sends it, or waits for the outcome of an earlier
// claim. It returns a result or an error, not both. The error wraps
// ErrNotClaimed if this host has not sent the call. It also wraps ErrUncertain
// if another attempt of the call may have run. It wraps ErrKeyReused if the key
// belongs to a call with different content.
func (l *Ledger) Run(ctx context.Context, c Call, send SendFunc) (Result, error) {
	if !l.peers.Joined() {
		return Result{}, errors.Mark(errors.Mark(errNotJoined, ErrNotClaimed), ErrUncertain)
	}
	key := c.callKey()
	defer l.shards[key.shard()].trackCaller(key)()
	for {
		op := newClaim(ctx, key, c.Fingerprint)
		record, err := l.claim(ctx, op)
		switch {
		case err != nil:
			return l.abandonClaim(ctx, op, err)
		case record.Fingerprint != c.Fingerprint:
			return Result{}, lavstep.Wrap(ErrKeyReused, lavstep.LedgerReadBack, c.Customer)
		case record.Nonce == op.Record.Nonce && record.State == Claimed:
			return l.send(ctx, record, send)
		}
		result := l.awaitOutcome(ctx, record)
		if result.Outcome != lavrequest.OutcomeNotRun {
			return result, nil
		}
		// The call has not run under the earlier claim, so it may be claimed again.
	}
}

// newClaim returns a claim with a random nonce. The claim is valid until the
// call's deadline plus maxClockSkew.
func newClaim(ctx context.Context, key CallKey, fingerprint uint64) Op {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultCallTimeout)
	}
	until := deadline.Add(maxClockSkew)
	return Op{Kind: OpClaim, Record: Record{
		Key: key, Nonce: rand.Uint64(), Fingerprint: fingerprint, State: Claimed,
		Until: until, Expires: until.Add(OutcomeRetention + maxClockSkew),
	}}
}

// claim commits a claim within claimTimeout. It returns peerQueryReserve before
// the caller's deadline at the latest, so that the peers can be asked if the
// claim fails.
func (l *Ledger) claim(ctx context.Context, op Op) (Record, error) {
	timeout := claimTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)-peerQueryReserve)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := lavstep.Failpoint(ctx, lavstep.LedgerClaim, ""); err != nil {
		return Record{}, err
	}
	record, err := l.commit(ctx, op)
	return record, lavstep.Wrap(err, lavstep.LedgerClaim, "")
}

// commit forwards op to the shard's owner. If the owner does not answer in
// time, this host commits op itself. Both may take effect without harm, since
// ops are idempotent.
func (l *Ledger) commit(ctx context.Context, op Op) (Record, error) {
	s := l.shards[op.Record.Key.shard()]
	if owner := l.peers.Owner(op.Record.Key.shard()); owner != "" {
		forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		if record, err := l.peers.Commit(forwardCtx, owner, op); err == nil {
			s.cacheRecord(record)
			return record, nil
		}
	}
	return s.commit(ctx, op)
}

// Commit commits op on behalf of a peer. This host is the owner of the op's
// shard.
func (l *Ledger) Commit(ctx context.Context, op Op) (Record, error) {
	return l.shards[op.Record.Key.shard()].commit(ctx, op)
}

// MayBeClaimed reports whether this host knows of a claim of the call, or has a
// caller that may claim it now.
func (l *Ledger) MayBeClaimed(key CallKey) bool {
	s := l.shards[key.shard()]
	record, _ := s.cached(key)
	return s.hasCaller(key) || record.State != Absent && record.State != NotRun
}

// abandonClaim voids a claim that failed because of cause. If this host has a
// cached outcome of an earlier claim, the caller gets that outcome. Otherwise
// the caller gets an error, which is marked as uncertain unless neither the
// cache nor the peers know of another claim.
func (l *Ledger) abandonClaim(ctx context.Context, op Op, cause error) (Result, error) {
	s := l.shards[op.Record.Key.shard()]
	record, readAt := s.cached(op.Record.Key)
	s.voidClaim(ctx, op.Record)
	if record.State == Done || record.State == Unknown {
		if record.Fingerprint != op.Record.Fingerprint {
			return Result{}, lavstep.Wrap(ErrKeyReused, lavstep.LedgerReadBack, "")
		}
		return record.result(), nil
	}
	err := errors.Mark(cause, ErrNotClaimed)
	if readAt.IsZero() || record.State != Absent && record.State != NotRun || !l.peers.ConfirmUnclaimed(ctx, op.Record.Key, readAt) {
		err = errors.Mark(err, ErrUncertain)
	}
	return Result{}, err
}

// send sends a claimed call and returns its result. The outcome is committed in
// the background.
func (l *Ledger) send(ctx context.Context, claim Record, send SendFunc) (Result, error) {
	settled := claim
	answer, err := Answer{}, lavstep.Failpoint(ctx, lavstep.LedgerSend, "")
	if err != nil {
		err = errors.Mark(err, ErrNotSent)
	} else {
		answer, err = send(ctx)
	}
	switch {
	case err == nil:
		settled.State, settled.Answer = Done, answer.truncatedForStorage()
	case errors.Is(err, ErrNotSent):
		settled.State = NotRun
	default:
		settled.State = Unknown
	}
	settled.Expires = time.Now().Add(OutcomeRetention + 2*maxClockSkew)
	result := settled.result()
	if err == nil {
		result.Answer = answer
	}
	l.settle(ctx, settled)
	return result, nil
}

// settle commits the outcome in the background for callers that wait at other
// hosts. If this host dies before the commit, those callers get the outcome
// Unknown.
func (l *Ledger) settle(ctx context.Context, settled Record) {
	if lavstep.Failpoint(ctx, lavstep.LedgerSettle, "") != nil {
		return
	}
	s := l.shards[settled.Key.shard()]
	s.cacheRecord(settled)
	s.startGoroutine(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, settled.Expires)
		defer cancel()
		// If the commit fails, waiting callers get Unknown, which is always correct.
		_, _ = l.commit(ctx, Op{Kind: OpSettle, Record: settled})
	})
}

// awaitOutcome polls until another caller's claim has an outcome. It returns
// Unknown if the claim's deadline passes or the context ends first.
func (l *Ledger) awaitOutcome(ctx context.Context, record Record) Result {
	s := l.shards[record.Key.shard()]
	for interval := initialPollInterval; record.State == Claimed; interval = min(2*interval, maxPollInterval) {
		if time.Now().After(record.Until) {
			return Result{Outcome: lavrequest.OutcomeUnknown}
		}
		if lavpause.For(ctx, interval/2+rand.N(interval/2)) != nil {
			return Result{Outcome: lavrequest.OutcomeUnknown}
		}
		if lavstep.Failpoint(ctx, lavstep.LedgerReadBack, "") != nil {
			continue
		}
		if latest, err := s.lookup(ctx, record.Key, interval); err == nil && latest.State != Absent {
			record = latest
		}
	}
	return record.result()
}

// Serve periodically refreshes the caches of the shards that this host
// replicates, until the context ends. The caches provide outcomes, and the
// evidence for NotRun, while the store is unavailable.
func (l *Ledger) Serve(ctx context.Context) error {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		for i, s := range l.shards {
			if l.peers.Replicates(i) {
				// After a failed refresh the cache keeps its content and its age.
				_ = s.refresh(ctx, refreshInterval/2)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Flush waits until every outcome is committed or the context ends.
func (l *Ledger) Flush(ctx context.Context) error {
	for _, s := range l.shards {
		if err := s.flush(ctx); err != nil {
			return lavstep.Wrap(err, lavstep.LedgerSettle, s.prefix)
		}
	}
	return nil
}

// Close waits until every outcome is committed or the context ends, and then
// cancels the remaining commits. The ledger accepts no claims after Close.
func (l *Ledger) Close(ctx context.Context) error {
	err := l.Flush(ctx)
	for _, s := range l.shards {
		s.cancelLifetime()
	}
	// The canceled commits return soon after their context ends.
	return errors.CombineErrors(err, l.Flush(context.WithoutCancel(ctx)))
}
