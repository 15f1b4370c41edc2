package lavhost

import (
	"context"
	"encoding/json"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Timing of the host's member entry. The entry only lets new hosts find the
// others, which then learn from heartbeats who is alive. It may therefore
// outlive its host.
const (
	memberLeaseTTL     = 30 * time.Second
	leaseRenewInterval = memberLeaseTTL / 3
	// leaseRetryDelay is the pause after a failed call. The store charges for
	// calls that it refuses, too.
	leaseRetryDelay = leaseRenewInterval / 5
	// revokeTimeout bounds the calls that remove the entry and leave the shares.
	revokeTimeout = 300 * time.Millisecond
)

// LeaseStore is the part of the store that holds a host's member entry under a
// lease.
type LeaseStore interface {
	Grant(ctx context.Context, ttl time.Duration) (lavstore.LeaseID, error)
	Renew(ctx context.Context, lease lavstore.LeaseID) error
	Revoke(ctx context.Context, lease lavstore.LeaseID) error
	Put(ctx context.Context, key string, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error)
}

// membership keeps this host's member entry in the store under a lease.
type membership struct {
	store  HandoverStore
	peers  *peers
	logger *log.Logger
}

// Serve implements suture.Service.
func (m *membership) Serve(ctx context.Context) error {
	var lease lavstore.LeaseID
	var written lavmember.Member
	// asked is true once this host has asked for the shares of its predecessor.
	asked := false
	for ctx.Err() == nil {
		askedAt := m.peers.shareTime()
		next, entry, err := m.renew(ctx, lease, written)
		switch {
		case errors.Is(err, lavstore.ErrLeaseGone):
			lease, written = "", lavmember.Member{}
			continue
		case err != nil:
			_ = lavpause.For(ctx, leaseRetryDelay)
			continue
		}
		lease, written = next, entry
		m.peers.recordRenewal(askedAt)
		if !asked {
			asked = true
			if err := m.takeUpShares(ctx); err != nil {
				m.logger.Warn().Err(err).Msg("failed to take up shares")
			}
		}
		select {
		case <-ctx.Done():
		case <-m.peers.selfChanged:
		case <-time.After(leaseRenewInterval):
		}
	}
	m.revoke(ctx, lease)
	return ctx.Err()
}

// renew renews the lease, or requests one if there is none, and writes the
// member entry if it has changed.
func (m *membership) renew(ctx context.Context, lease lavstore.LeaseID, written lavmember.Member) (lavstore.LeaseID, lavmember.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if lease == "" {
		lease, err = m.store.Grant(ctx, memberLeaseTTL)
	} else {
		err = m.store.Renew(ctx, lease)
	}
	if err != nil {
		return lease, written, err
	}
	self := m.peers.Self()
	if self == written {
		return lease, written, nil
	}
	value, err := json.Marshal(self)
	if err != nil {
		return lease, written, err
	}
	_, err = m.store.Put(ctx, platform.PrefixMembers+self.Incarnation, value, lease)
	return lease, self, err
}

// revoke ends the lease, and leaves this host's shares to its successor. If the store can't be
// reached, the lease expires by itself.
func (m *membership) revoke(ctx context.Context, lease lavstore.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := m.store.Revoke(ctx, lease); err != nil {
		m.logger.Warn().Err(err).Msg("failed to revoke member lease")
	}
	if err := m.leaveShares(ctx); err != nil {
		m.logger.Warn().Err(err).Msg("failed to leave shares")
	}
}

func decodeMember(value []byte) (lavmember.Member, error) {
	var m lavmember.Member
	if err := json.Unmarshal(value, &m); err != nil {
		return m, errors.Wrap(err, "decode member entry")
	}
	if m.Incarnation == "" || !m.Entry.IsValid() || !m.Mesh.IsValid() {
		return m, errors.New("member entry lacks its incarnation, entry address or mesh address")
	}
	return m, nil
}
