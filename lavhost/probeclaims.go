package lavhost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavrelay"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// A block may be wrong, so that a few requests are let through as probes. All hosts together may let
// through no more than a block allows. A host therefore claims each probe by a conditional write
// to the block's entry in the store, which counts them: of several hosts one succeeds, and without the store
// none does.

const (
	// claimTimeout bounds the write, for which the caller waits.
	claimTimeout = 300 * time.Millisecond
	// claimRetryDelay is how long after a claim that failed this host tries again.
	claimRetryDelay = time.Second
	// ownerTime is how long the owner of a trait may claim a probe before the others do, which then
	// take their turns within claimSpread, or longer in a large fleet.
	ownerTime          = time.Second
	claimSpread        = 2 * time.Second
	claimSpreadPerHost = 20 * time.Millisecond
)

// probeOwnerKey precedes the trait in the key of the rendezvous hash that selects its owner. All hosts of a
// fleet must use the same text.
const probeOwnerKey = "probe of "

// probeClaims claims the probes of blocked traits for the requests of this host.
type probeClaims struct {
	store  BlockStore
	logger *log.Logger
	// claimed counts the requests that this host has let through.
	claimed tally.Counter
	// view returns the members of the fleet, and self this host's incarnation.
	view func() *lavmember.View
	self func() string
	// claimAt is when this host may next claim a probe of a trait. The lock of the crash tracker
	// guards it.
	claimAt map[lavcrash.Trait]claimTime
}

// claimTime is when a host may claim the probe that follows a number of others.
type claimTime struct {
	probes int
	at     time.Time
}

func newProbeClaims(store BlockStore, logger *log.Logger, scope tally.Scope) *probeClaims {
	return &probeClaims{
		store:   store,
		logger:  logger,
		claimed: scope.Counter("probes"),
		view:    func() *lavmember.View { return &lavmember.View{} },
		self:    func() string { return "" },
		claimAt: make(map[lavcrash.Trait]claimTime),
	}
}

// Probe implements lavrelay.Suspects.
func (c *crashTracker) Probe(ctx context.Context, call *lavrelay.Call) bool {
	claim, due := c.dueClaim(call)
	if !due {
		return false
	}
	err := c.probes.write(ctx, claim)
	if err != nil && !errors.Is(err, lavstore.ErrConflict) {
		c.logger.Warn().Err(err).Str("ID", claim.block.Trait.ID).Msg("failed to claim a probe of a block")
	}
	if err != nil {
		return false
	}
	c.recordProbe(claim.block)
	c.probes.claimed.Inc(1)
	c.logger.Info().Str("Kind", claim.block.Trait.Kind.String()).Str("ID", claim.block.Trait.ID).
		Str("Request", call.ID).Int("Probes", claim.block.Probes).Msg("let a blocked request through as a probe")
	return true
}

// recordProbe records a probe that this host has claimed.
func (c *crashTracker) recordProbe(b lavcrash.Block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attribution.RecordProbe(time.Now(), b)
}

// probeClaim is a block as it stands with the next probe, and the revision of its entry without that.
type probeClaim struct {
	block    lavcrash.Block
	revision lavstore.Revision
}

// dueClaim returns the claim of a probe for a request, if this host may make it now.
func (c *crashTracker) dueClaim(call *lavrelay.Call) (probeClaim, bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.onlyBlock(now, call.Traits)
	if !ok || !c.attribution.ProbeDue(now, b.Trait) || c.stored[b.Trait] == noRevision {
		return probeClaim{}, false
	}
	if !c.probes.mayClaim(now, b) {
		return probeClaim{}, false
	}
	return probeClaim{block: c.attribution.NextProbe(now, b), revision: c.stored[b.Trait]}, true
}

// onlyBlock returns the block of the one trait that is blocked. A request with several says little about any
// of them. The caller holds the lock.
func (c *crashTracker) onlyBlock(now time.Time, traits []lavcrash.Trait) (lavcrash.Block, bool) {
	var only lavcrash.Block
	count := 0
	for _, t := range traits {
		if b, blocked := c.attribution.Blocked(now, []lavcrash.Trait{t}); blocked {
			only = b
			count++
		}
	}
	return only, count == 1
}

// mayClaim reports whether it is this host's turn to claim the next probe of a block, and takes it for
// claimed.
func (p *probeClaims) mayClaim(now time.Time, b lavcrash.Block) bool {
	turn, ok := p.claimAt[b.Trait]
	if !ok || turn.probes != b.Probes {
		turn = claimTime{probes: b.Probes, at: now.Add(p.turn(b.Trait))}
	}
	due := !now.Before(turn.at)
	if due {
		turn.at = now.Add(claimRetryDelay)
	}
	p.claimAt[b.Trait] = turn
	return due
}

// turn returns how long this host leaves a probe that is due to others.
func (p *probeClaims) turn(t lavcrash.Trait) time.Duration {
	view := p.view()
	if owner, ok := lavmember.Owner(view, probeOwnerKey+t.ID); ok && owner.Incarnation == p.self() {
		return 0
	}
	spread := max(claimSpread, time.Duration(len(view.Members))*claimSpreadPerHost)
	return ownerTime + rand.N(spread)
}

// forget drops the turns of traits that are not blocked any more.
func (p *probeClaims) forget(blocked map[lavcrash.Trait]bool) {
	for t := range p.claimAt {
		if !blocked[t] {
			delete(p.claimAt, t)
		}
	}
}

// write counts a probe in the store.
func (p *probeClaims) write(ctx context.Context, claim probeClaim) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := json.Marshal(newStoredBlock(claim.block))
	if err != nil {
		return err
	}
	return p.store.Replace(ctx, blockKey(claim.block.Trait), value, claim.revision)
}
