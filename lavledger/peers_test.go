package lavledger_test

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// delayedWriteStore accepts writes, loses their replies, and applies them after
// a delay. Reads of existing keys fail during that time. After until it behaves
// normally.
type delayedWriteStore struct {
	*lavfake.Store
	delay time.Duration
	until time.Time
}

func (s *delayedWriteStore) CompareAndSwap(ctx context.Context, key string, want lavstore.Revision, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error) {
	if time.Now().After(s.until) {
		return s.Store.CompareAndSwap(ctx, key, want, value, lease)
	}
	time.AfterFunc(s.delay, func() {
		// The write has no effect if the revision has changed by then.
		_, _ = s.Store.CompareAndSwap(context.WithoutCancel(ctx), key, want, value, lease)
	})
	return 0, lavstore.ErrOutcomeUnknown
}

func (s *delayedWriteStore) Get(ctx context.Context, key string) (lavstore.Entry, error) {
	if time.Now().After(s.until) {
		return s.Store.Get(ctx, key)
	}
	// Reads succeed until the first write takes effect.
	if e, err := s.Store.Get(ctx, key); errors.Is(err, lavstore.ErrNotFound) {
		return e, err
	}
	return lavstore.Entry{}, lavstore.ErrUnavailable
}

// unreachablePeers implements Peers for a host that commits ops itself. The field
// unclaimed is the result of ConfirmUnclaimed.
type unreachablePeers struct{ unclaimed bool }

func (p unreachablePeers) Owner(int) string { return "" }

// notJoinedPeers implements Peers for a host that the other hosts do not know
// as a member yet.
type notJoinedPeers struct{ unreachablePeers }

func (notJoinedPeers) Joined() bool { return false }

func (p unreachablePeers) Joined() bool { return true }

func (p unreachablePeers) Replicates(int) bool { return true }

func (p unreachablePeers) Commit(context.Context, string, lavledger.Op) (lavledger.Record, error) {
	return lavledger.Record{}, errors.New("peer can't be reached")
}

func (p unreachablePeers) ConfirmUnclaimed(context.Context, lavledger.CallKey, time.Time) bool {
	return p.unclaimed
}

// forwardingPeers forwards the ops of several ledgers to the first ledger,
// which owns all shards.
type forwardingPeers struct{ first *lavledger.Ledger }

func (p *forwardingPeers) Owner(int) string {
	if p.first == nil {
		return ""
	}
	return "first"
}

func (p *forwardingPeers) Joined() bool { return true }

func (p *forwardingPeers) Replicates(int) bool { return false }

func (p *forwardingPeers) Commit(ctx context.Context, _ string, op lavledger.Op) (lavledger.Record, error) {
	return p.first.Commit(ctx, op)
}

func (p *forwardingPeers) ConfirmUnclaimed(context.Context, lavledger.CallKey, time.Time) bool {
	return false
}
