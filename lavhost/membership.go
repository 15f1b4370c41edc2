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

// Times of a host's own entry.
const (
	memberLease = 3 * time.Second
	memberRenew = time.Second
	leaveTime   = 300 * time.Millisecond
)

// Leases is the part of the store that keeps a host's own entry.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (lavstore.LeaseID, error)
	Renew(ctx context.Context, lease lavstore.LeaseID) error
	Revoke(ctx context.Context, lease lavstore.LeaseID) error
	Put(ctx context.Context, key string, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error)
}

// membership keeps this host's entry in the store under a lease.
type membership struct {
	leases Leases
	peers  *peers
	logger *log.Logger
}

// Serve implements suture.Service.
func (m *membership) Serve(ctx context.Context) error {
	var lease lavstore.LeaseID
	var written lavmember.Member
	for ctx.Err() == nil {
		next, entry, err := m.keep(ctx, lease, written)
		switch {
		case errors.Is(err, lavstore.ErrLeaseGone):
			lease, written = "", lavmember.Member{}
			continue
		case err != nil:
			_ = lavpause.For(ctx, retryTime)
			continue
		}
		lease, written = next, entry
		select {
		case <-ctx.Done():
		case <-m.peers.changedSelf:
		case <-time.After(memberRenew):
		}
	}
	m.leave(ctx, lease)
	return ctx.Err()
}

// keep makes or renews the lease, and writes the entry if it has changed.
func (m *membership) keep(ctx context.Context, lease lavstore.LeaseID, written lavmember.Member) (lavstore.LeaseID, lavmember.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var err error
	if lease == "" {
		lease, err = m.leases.Grant(ctx, memberLease)
	} else {
		err = m.leases.Renew(ctx, lease)
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
	_, err = m.leases.Put(ctx, platform.PrefixMembers+self.Incarnation, value, lease)
	return lease, self, err
}

// leave ends the lease; it lapses by itself if the store can't be reached.
func (m *membership) leave(ctx context.Context, lease lavstore.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTime)
	defer cancel()
	if err := m.leases.Revoke(ctx, lease); err != nil {
		m.logger.Warn().Err(err).Msg("lease not ended")
	}
}

func decodeMember(value []byte) (lavmember.Member, error) {
	var m lavmember.Member
	if err := json.Unmarshal(value, &m); err != nil {
		return m, errors.Wrap(err, "member entry")
	}
	if m.Incarnation == "" || !m.Entry.IsValid() || !m.Mesh.IsValid() {
		return m, errors.New("member entry lacks a field")
	}
	return m, nil
}
