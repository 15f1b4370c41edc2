package lavhost

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
)

// Timing of the writes of blocks to the store.
const (
	// publishInterval is the time between two checks of the store's blocks.
	publishInterval = 250 * time.Millisecond
	// publishDelay and publishSpread are how long a host waits before it writes what
	// another host is expected to write. They allow for the other's call, the watch that
	// reports it, and its failure.
	publishDelay  = 2 * time.Second
	publishSpread = 2 * time.Second
)

// BlockStore is the part of the store that keeps blocks for hosts that start later.
type BlockStore interface {
	// Create writes an entry, unless there is one with the key.
	Create(ctx context.Context, key string, value []byte) error
	// Replace writes an entry, unless the one with the key has another revision.
	Replace(ctx context.Context, key string, value []byte, at lavstore.Revision) error
	// Delete removes an entry, if there is one with the key.
	Delete(ctx context.Context, key string) error
}

// storedBlock is the value of a block's entry. Its fields are those of lavcrash.Block.
type storedBlock struct {
	Until   time.Time
	Probes  int       `json:",omitempty"`
	ProbeAt time.Time `json:",omitzero"`
}

func newStoredBlock(b lavcrash.Block) storedBlock {
	return storedBlock{Until: b.Until, Probes: b.Probes, ProbeAt: b.ProbeAt}
}

// maxStoredBlocks bounds the blocks in the store. Each takes crashes of its own, so that there are few.
const maxStoredBlocks = 1024

// blockPublisher keeps the blocks in the store, so that they reach hosts that start or that have missed
// what others told them.
type blockPublisher struct {
	store  BlockStore
	blocks *crashTracker
	logger *log.Logger
	// due is when this host writes or removes the entry of a trait that the store
	// should or should not have.
	due map[lavcrash.Trait]time.Time
}

// Serve implements suture.Service.
func (p *blockPublisher) Serve(ctx context.Context) error {
	p.due = make(map[lavcrash.Trait]time.Time)
	for ctx.Err() == nil {
		p.blocks.retractAnswered()
		p.publish(ctx)
		select {
		case <-ctx.Done():
		case <-p.blocks.blocksChanged:
		case <-time.After(publishInterval):
		}
	}
	return ctx.Err()
}

// publish makes the calls that are due.
func (p *blockPublisher) publish(ctx context.Context) {
	missing, obsolete := p.blocks.compareStored()
	differing := make(map[lavcrash.Trait]bool)
	for _, m := range missing {
		differing[m.Trait] = true
		if p.isDue(m.Trait, m.urgent) {
			p.call(ctx, m.Trait, func(ctx context.Context) error { return p.create(ctx, m.Block) })
		}
	}
	for _, t := range obsolete {
		differing[t] = true
		if p.isDue(t, false) {
			p.call(ctx, t, func(ctx context.Context) error { return p.store.Delete(ctx, blockKey(t)) })
		}
	}
	maps.DeleteFunc(p.due, func(t lavcrash.Trait, _ time.Time) bool { return !differing[t] })
}

// isDue reports whether this host must make the call for a trait now. Without urgency
// it leaves another host the time to make it.
func (p *blockPublisher) isDue(t lavcrash.Trait, urgent bool) bool {
	at, waiting := p.due[t]
	if !waiting {
		at = time.Now()
		if !urgent {
			at = at.Add(publishDelay + time.Duration(rand.Int64N(int64(publishSpread))))
		}
		p.due[t] = at
	}
	return !time.Now().Before(at)
}

// call makes a call for a trait, and sets when it is due again should it have no effect.
func (p *blockPublisher) call(ctx context.Context, t lavcrash.Trait, do func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := do(ctx); err != nil && !errors.Is(err, lavstore.ErrConflict) {
		p.logger.Warn().Err(err).Str("ID", t.ID).Msg("failed to update a block in the store")
	}
	p.due[t] = time.Now().Add(publishDelay + time.Duration(rand.Int64N(int64(publishSpread))))
}

func (p *blockPublisher) create(ctx context.Context, b lavcrash.Block) error {
	value, err := json.Marshal(newStoredBlock(b))
	if err != nil {
		return err
	}
	return p.store.Create(ctx, blockKey(b.Trait), value)
}

func blockKey(t lavcrash.Trait) string {
	return platform.PrefixBlocks + strings.ToLower(t.Kind.String()) + "/" + t.ID
}

// traitOfKey returns the trait of a block's key, and false for any other key.
func traitOfKey(key string) (lavcrash.Trait, bool) {
	for _, kind := range []lavcrash.TraitKind{lavcrash.TraitRequest, lavcrash.TraitSegment} {
		prefix := blockKey(lavcrash.Trait{Kind: kind})
		if id, ok := strings.CutPrefix(key, prefix); ok {
			return lavcrash.Trait{Kind: kind, ID: id}, true
		}
	}
	return lavcrash.Trait{}, false
}

// mergeStored applies the entry of a block. A removal that is not final may only mean
// that the store has lost the entry.
func (c *crashTracker) mergeStored(t lavcrash.Trait, e lavmirror.Entry, removalsFinal bool) {
	if e.Removed {
		c.setStored(t, noRevision)
		if removalsFinal {
			c.removeBlock(t)
		}
		return
	}
	var b storedBlock
	if err := json.Unmarshal(e.Value, &b); err != nil {
		c.logger.Warn().Err(err).Str("ID", t.ID).Msg("ignoring invalid block entry")
		return
	}
	c.setStored(t, e.Revision)
	c.addBlocks(lavcrash.Block{Trait: t, Until: b.Until, Probes: b.Probes, ProbeAt: b.ProbeAt})
}

// noRevision is the revision of a block that the store doesn't have.
const noRevision lavstore.Revision = 0

// setStored records the revision of a block's entry.
func (c *crashTracker) setStored(t lavcrash.Trait, at lavstore.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at == noRevision {
		delete(c.stored, t)
		return
	}
	c.stored[t] = at
}

// missingBlock is a block that the store should have. It is urgent if this host's own
// report led to it, so that no other host is expected to write it.
type missingBlock struct {
	lavcrash.Block
	urgent bool
}

// compareStored returns the blocks that the store doesn't have, and the
// traits of which it has a block that no longer holds.
func (c *crashTracker) compareStored() (missing []missingBlock, obsolete []lavcrash.Trait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Blocks end with time, too.
	c.updateBlocks()
	holds := make(map[lavcrash.Trait]bool)
	for _, b := range c.attribution.Blocks(time.Now()) {
		holds[b.Trait] = true
		if c.stored[b.Trait] == noRevision && len(c.stored)+len(missing) < maxStoredBlocks {
			missing = append(missing, missingBlock{Block: b, urgent: c.byOwnReport[b.Trait]})
		}
	}
	for t := range c.stored {
		if !holds[t] {
			obsolete = append(obsolete, t)
		}
	}
	return missing, obsolete
}
