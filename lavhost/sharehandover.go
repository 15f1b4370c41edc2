package lavhost

import (
	"context"
	"encoding/json"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavshare"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

// shareHandoverTTL is how long a handover may be taken up. It is shorter than shareLease, so that all hosts
// still count the one that left it.
const shareHandoverTTL = shareLease / 2

// HandoverStore is the part of the store in which a host that ends leaves its shares to its successor.
type HandoverStore interface {
	ChangeSource
	LeaseStore
	// Take removes an entry that still has a revision, and reports whether this call removed it.
	Take(ctx context.Context, key string, at lavstore.Revision) (bool, error)
}

// shareHandover is the value of the entry under which a host leaves its shares to its successor, which takes
// it before it uses them. One that is killed thus leaves none.
type shareHandover struct {
	lavshare.Handover
	// Retries is the retries that it has sent to each service and that still count.
	Retries map[string]int
	// Lease is that of the entry. It names the era of the store in which the entry was written: a store
	// that comes back from an older copy could list one that has been taken.
	Lease lavstore.LeaseID
	// LeftAt is the wall clock at the host's end.
	LeftAt time.Time
}

// shareHandoverKey returns the key under which a host leaves its shares.
func shareHandoverKey(host string) string { return platform.PrefixShares + host }

// handOverShares returns what this host leaves to its successor, and false if it has no shares to leave. This
// host sends no further retries.
func (p *peers) handOverShares() (shareHandover, bool) {
	now := p.shareTime()
	p.mu.Lock()
	defer p.mu.Unlock()
	roster, ok := p.roster.Handover(now)
	return shareHandover{Handover: roster, Retries: p.fleet.HandOverRetries(), LeftAt: time.Now()}, ok
}

// takeUpShares makes this host go on with the shares that its predecessor has left.
func (p *peers) takeUpShares(left shareHandover) {
	now := p.shareTime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.TakeOverRetries(left.Retries)
	p.roster.TakeUp(now, left.Handover)
	p.updateShares(now)
	p.announce()
}

// leaveShares leaves this host's shares to its successor.
func (m *membership) leaveShares(ctx context.Context) error {
	left, ok := m.peers.handOverShares()
	if !ok {
		return nil
	}
	var err error
	if left.Lease, err = m.store.Grant(ctx, shareHandoverTTL); err != nil {
		return err
	}
	value, err := json.Marshal(left)
	if err != nil {
		return err
	}
	_, err = m.store.Put(ctx, shareHandoverKey(m.peers.Self().Host), value, left.Lease)
	return err
}

// takeUpShares takes the shares that the predecessor of this host has left, if there are any. It also reads
// the list of members, without which they may not be used.
func (m *membership) takeUpShares(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := m.peers.shareTime()
	entries, _, err := m.store.List(ctx, platform.PrefixOwn)
	if err != nil {
		return err
	}
	key := shareHandoverKey(m.peers.Self().Host)
	var members []lavmember.Member
	for _, e := range entries {
		if e.Key == key {
			err = errors.CombineErrors(err, m.take(ctx, e))
		}
		if _, ok := platform.MemberID(e.Key); !ok {
			continue
		}
		if member, failed := decodeMember(e.Value); failed == nil {
			members = append(members, member)
		}
	}
	m.peers.recordMembers(askedAt, members)
	return err
}

// take takes a handover and uses it. After a failed call it isn't known whether it was taken, so that it is
// not used.
func (m *membership) take(ctx context.Context, e lavmirror.Entry) error {
	var left shareHandover
	if err := json.Unmarshal(e.Value, &left); err != nil {
		return errors.Wrap(err, "decode shares")
	}
	taken, err := m.store.Take(ctx, e.Key, e.Revision)
	if err != nil {
		return err
	}
	age := time.Since(left.LeftAt)
	if taken && platform.SameEra(left.Lease, e.Revision) && age >= 0 && age < shareHandoverTTL {
		m.peers.takeUpShares(left)
	}
	return nil
}
