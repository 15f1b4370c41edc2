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

// Sizes of the ledger.
const (
	// Shards is the number of logs that the ledger is split into. Together
	// with commitEvery it bounds the ledger's writes, whatever the fleet.
	Shards = 4
	// MaxKeptBody is the longest answer that is kept whole for a resend.
	MaxKeptBody = 4 << 10
)

// Times of the ledger.
const (
	// Window is how long the outcome of a call is kept.
	Window = 10 * time.Minute
	// clockMargin bounds the difference between two hosts' clocks.
	clockMargin = 5 * time.Second
	// claimTimeout bounds the tries to claim while the store is down.
	claimTimeout = 2 * time.Second
	// defaultTimeout is the time of a call whose context has no deadline.
	defaultTimeout = time.Minute
	forwardTimeout = 500 * time.Millisecond
	followEvery    = 15 * time.Second
	// askReserve is what asking the peers takes at most.
	askReserve  = 600 * time.Millisecond
	waitFirst   = 50 * time.Millisecond
	waitLongest = time.Second
)

// Peers reaches the ledgers of other hosts.
type Peers interface {
	// Joined reports whether the other hosts can know of this one. Until then
	// it claims nothing, since no host could ask it in an outage.
	Joined() bool
	// Owner returns the peer that commits to a shard, or "" if this host does.
	Owner(shard int) string
	// Replicates reports whether this host keeps a copy of a shard that is new
	// even if nothing is asked of it.
	Replicates(shard int) bool
	// Commit has a peer commit op, and returns the record after it.
	Commit(ctx context.Context, peer string, op Op) (Record, error)
	// ConfirmUnclaimed reports whether it is certain that no host, alive or dead, has
	// claimed the call between since and now.
	ConfirmUnclaimed(ctx context.Context, key CallKey, since time.Time) bool
}

// alone is the Peers of a ledger that no other host shares.
type alone struct{}

func (alone) Joined() bool { return true }

func (alone) Owner(int) string { return "" }

func (alone) Replicates(int) bool { return true }

func (alone) Commit(context.Context, string, Op) (Record, error) {
	return Record{}, errors.New("there is no peer")
}

// ConfirmUnclaimed is never certain: other ledgers may use the same store.
func (alone) ConfirmUnclaimed(context.Context, CallKey, time.Time) bool { return false }

// errNotJoined means that this host is no member yet.
var errNotJoined = errors.New("this host has not joined the others yet")

// Ledger runs calls at most once.
type Ledger struct {
	peers  Peers
	shards [Shards]*shard
}

// New returns a ledger in that store that no other host shares its memory
// with. Other ledgers may use the same store.
func New(store lavstore.Store) *Ledger { return NewWithPeers(store, alone{}) }

// NewWithPeers returns a ledger in that store that commits through peers.
func NewWithPeers(store lavstore.Store, peers Peers) *Ledger {
	l := &Ledger{peers: peers}
	for i := range l.shards {
		l.shards[i] = newShard(store, i)
	}
	return l
}

// Run claims the call and sends it, or waits for the outcome of an earlier
// claim. A nil error comes with a result; an error wraps ErrNotClaimed if this
// host has not sent the call, and ErrUncertain besides if another may have.
func (l *Ledger) Run(ctx context.Context, c Call, send Send) (Result, error) {
	if !l.peers.Joined() {
		return Result{}, errors.Mark(errors.Mark(errNotJoined, ErrNotClaimed), ErrUncertain)
	}
	key := c.callKey()
	defer l.shards[key.shard()].try(key)()
	for {
		op := newClaim(ctx, key, c.Fingerprint)
		found, err := l.claim(ctx, op)
		switch {
		case err != nil:
			return l.unclaimed(ctx, op, err)
		case found.Fingerprint != c.Fingerprint:
			return Result{}, lavstep.Wrap(ErrKeyReused, lavstep.LedgerReadBack, c.Customer)
		case found.Nonce == op.Record.Nonce && found.State == Claimed:
			return l.send(ctx, found, send)
		}
		result := l.wait(ctx, found)
		if result.Outcome != lavrequest.OutcomeNotRun {
			return result, nil
		}
		// The earlier claim ended without running: claim anew.
	}
}

// newClaim returns a claim with a fresh nonce.
func newClaim(ctx context.Context, key CallKey, fingerprint uint64) Op {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultTimeout)
	}
	until := deadline.Add(clockMargin)
	return Op{Kind: OpClaim, Record: Record{
		Key: key, Nonce: rand.Uint64(), Fingerprint: fingerprint, State: Claimed,
		Until: until, Expires: until.Add(Window + clockMargin),
	}}
}

// claim commits a claim, at most for claimTimeout, and leaves time before the
// caller's deadline to ask the peers if it fails.
func (l *Ledger) claim(ctx context.Context, op Op) (Record, error) {
	allowed := claimTimeout
	if deadline, ok := ctx.Deadline(); ok {
		allowed = min(allowed, time.Until(deadline)-askReserve)
	}
	ctx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	if err := lavstep.Reach(ctx, lavstep.LedgerClaim, ""); err != nil {
		return Record{}, err
	}
	found, err := l.commit(ctx, op)
	return found, lavstep.Wrap(err, lavstep.LedgerClaim, "")
}

// commit has the shard's owner commit op, or does so itself if the owner
// doesn't answer. Both may happen, since ops are idempotent.
func (l *Ledger) commit(ctx context.Context, op Op) (Record, error) {
	s := l.shards[op.Record.Key.shard()]
	if owner := l.peers.Owner(op.Record.Key.shard()); owner != "" {
		ask, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		if found, err := l.peers.Commit(ask, owner, op); err == nil {
			s.note(found)
			return found, nil
		}
	}
	return s.commit(ctx, op)
}

// Commit commits an op for a peer, as the owner of its shard.
func (l *Ledger) Commit(ctx context.Context, op Op) (Record, error) {
	return l.shards[op.Record.Key.shard()].commit(ctx, op)
}

// MayBeClaimed reports whether this host knows that the call was claimed, or is about
// to claim it itself.
func (l *Ledger) MayBeClaimed(key CallKey) bool {
	s := l.shards[key.shard()]
	found, _ := s.known(key)
	return s.tries(key) || found.State != Absent && found.State != NotRun
}

// unclaimed gives a claim up. What this host knows from before still answers
// the caller; otherwise the call has not been sent by this host.
func (l *Ledger) unclaimed(ctx context.Context, op Op, cause error) (Result, error) {
	s := l.shards[op.Record.Key.shard()]
	found, since := s.known(op.Record.Key)
	s.void(ctx, op.Record)
	if found.State == Done || found.State == Unknown {
		if found.Fingerprint != op.Record.Fingerprint {
			return Result{}, lavstep.Wrap(ErrKeyReused, lavstep.LedgerReadBack, "")
		}
		return found.result(), nil
	}
	err := errors.Mark(cause, ErrNotClaimed)
	if since.IsZero() || found.State != Absent && found.State != NotRun || !l.peers.ConfirmUnclaimed(ctx, op.Record.Key, since) {
		err = errors.Mark(err, ErrUncertain)
	}
	return Result{}, err
}

// send sends a claimed call and settles its record behind the answer.
func (l *Ledger) send(ctx context.Context, claim Record, send Send) (Result, error) {
	settled := claim
	answer, err := Answer{}, lavstep.Reach(ctx, lavstep.LedgerSend, "")
	if err != nil {
		err = errors.Mark(err, ErrNotSent)
	} else {
		answer, err = send(ctx)
	}
	switch {
	case err == nil:
		settled.State, settled.Answer = Done, answer.kept()
	case errors.Is(err, ErrNotSent):
		settled.State = NotRun
	default:
		settled.State = Unknown
	}
	settled.Expires = time.Now().Add(Window + 2*clockMargin)
	result := settled.result()
	if err == nil {
		result.Answer = answer
	}
	l.settle(ctx, settled)
	return result, nil
}

// settle records the outcome for those who wait. The caller doesn't wait for
// it: if this host dies first, the others are told Unknown.
func (l *Ledger) settle(ctx context.Context, settled Record) {
	if lavstep.Reach(ctx, lavstep.LedgerSettle, "") != nil {
		return
	}
	s := l.shards[settled.Key.shard()]
	s.note(settled)
	s.work(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, settled.Expires)
		defer cancel()
		// What fails here ends as Unknown for those who wait, which is true.
		_, _ = l.commit(ctx, Op{Kind: OpSettle, Record: settled})
	})
}

// wait returns the outcome of another's claim.
func (l *Ledger) wait(ctx context.Context, found Record) Result {
	s := l.shards[found.Key.shard()]
	for pause := waitFirst; found.State == Claimed; pause = min(2*pause, waitLongest) {
		if time.Now().After(found.Until) {
			return Result{Outcome: lavrequest.OutcomeUnknown}
		}
		if lavpause.For(ctx, pause/2+rand.N(pause/2)) != nil {
			return Result{Outcome: lavrequest.OutcomeUnknown}
		}
		if lavstep.Reach(ctx, lavstep.LedgerReadBack, "") != nil {
			continue
		}
		if next, err := s.lookup(ctx, found.Key, pause); err == nil && next.State != Absent {
			found = next
		}
	}
	return found.result()
}

// Serve keeps this host's copy of the ledger new, so that it can answer and
// say NotRun truthfully while the store is down.
func (l *Ledger) Serve(ctx context.Context) error {
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	for {
		for i, s := range l.shards {
			if l.peers.Replicates(i) {
				// A copy that couldn't be refreshed stays as old as it is.
				_ = s.refresh(ctx, followEvery/2)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Flush waits until every outcome is written, at most until the context ends.
func (l *Ledger) Flush(ctx context.Context) error {
	for _, s := range l.shards {
		if err := s.flush(ctx); err != nil {
			return lavstep.Wrap(err, lavstep.LedgerSettle, s.prefix)
		}
	}
	return nil
}

// Close waits until every outcome is written, at most until the context ends,
// then gives up what is left. Nothing is claimed after it.
func (l *Ledger) Close(ctx context.Context) error {
	err := l.Flush(ctx)
	for _, s := range l.shards {
		s.stop()
	}
	// What is left ends soon after its context.
	return errors.CombineErrors(err, l.Flush(context.WithoutCancel(ctx)))
}
