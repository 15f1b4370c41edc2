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
	// renewalsPerSecond is how often the hosts of a fleet together renew their
	// leases, as far as minRenewInterval and maxRenewInterval allow.
	renewalsPerSecond = 4
	minRenewInterval  = 3 * time.Second
	maxRenewInterval  = 20 * time.Second
	// renewalsPerTTL is how many renewals must fail for a lease to expire.
	renewalsPerTTL    = 3
	maxMemberLeaseTTL = renewalsPerTTL * maxRenewInterval
	// revokeTimeout bounds the call that removes the entry.
	revokeTimeout = 300 * time.Millisecond
)

// renewIntervalFor returns the time between two renewals of a host's lease.
func renewIntervalFor(hosts int) time.Duration {
	interval := time.Duration(hosts) * time.Second / renewalsPerSecond
	return min(max(interval, minRenewInterval), maxRenewInterval)
}

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
	leases LeaseStore
	peers  *peers
	logger *log.Logger
}

// memberLease is the lease of the host's member entry, and the entry as it was
// last written under it.
type memberLease struct {
	id      lavstore.LeaseID
	ttl     time.Duration
	written lavmember.Member
}

// Serve implements suture.Service.
func (m *membership) Serve(ctx context.Context) error {
	var lease memberLease
	for ctx.Err() == nil {
		next, err := m.renew(ctx, lease)
		switch {
		case errors.Is(err, lavstore.ErrLeaseGone):
			lease = memberLease{}
			continue
		case err != nil:
			_ = lavpause.For(ctx, retryDelay)
			continue
		}
		lease = next
		select {
		case <-ctx.Done():
		case <-m.peers.selfChanged:
		case <-time.After(lease.ttl / renewalsPerTTL):
		}
	}
	m.revoke(ctx, lease.id)
	return ctx.Err()
}

// renew renews the lease and writes the member entry if it has changed. It
// requests a new lease if there is none, or if the fleet has grown so much since
// that the lease is renewed too often.
func (m *membership) renew(ctx context.Context, lease memberLease) (memberLease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if ttl := renewalsPerTTL * renewIntervalFor(len(m.peers.View().Members)); ttl >= 2*lease.ttl {
		lease = memberLease{ttl: ttl}
		lease.id, err = m.leases.Grant(ctx, ttl)
	} else {
		err = m.leases.Renew(ctx, lease.id)
	}
	if err != nil {
		return lease, err
	}
	self := m.peers.Self()
	if self == lease.written {
		return lease, nil
	}
	value, err := json.Marshal(self)
	if err != nil {
		return lease, err
	}
	_, err = m.leases.Put(ctx, platform.PrefixMembers+self.Incarnation, value, lease.id)
	lease.written = self
	return lease, err
}

// revoke ends the lease. If the store can't be reached, the lease expires by
// itself.
func (m *membership) revoke(ctx context.Context, lease lavstore.LeaseID) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := m.leases.Revoke(ctx, lease); err != nil {
		m.logger.Warn().Err(err).Msg("failed to revoke member lease")
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
