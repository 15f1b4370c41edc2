package lavhost

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavmirror"
)

// entries is a peer's answer with all it knows.
type entries struct {
	// Packed are the entries as lavmirror packs them.
	Packed  []byte `cbor:"1,keyasint"`
	Good    bool   `cbor:"2,keyasint"`
	Settled bool   `cbor:"3,keyasint"`
}

// giveEntries is the mesh's handler of peers that ask what this host knows.
func (p *peers) giveEntries(context.Context, string, []byte) (any, error) {
	_, good := p.belief.check()
	packed, err := lavmirror.Compress(p.knowledge.Entries())
	return entries{Packed: packed, Good: good, Settled: p.sureOfStore()}, err
}

// compare asks a peer for what it knows, if the peer has known other things for
// a while or this host may not act on what it knows.
func (p *peers) compare(ctx context.Context) {
	era, good := p.belief.check()
	from, ok := p.teacher(good)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTime)
	defer cancel()
	var got entries
	if err := p.mesh.Call(ctx, from, lavmesh.TopicEntries, struct{}{}, &got); err != nil {
		p.logger.Warn().Err(err).Str("Peer", from).Msg("entries not had")
		return
	}
	known, err := lavmirror.Decompress(got.Packed)
	if err != nil {
		p.logger.Warn().Err(err).Str("Peer", from).Msg("entries not unpacked")
		return
	}
	p.knowledge.apply(known, got.Settled || p.sureOfStore())
	p.mu.Lock()
	if teacher := p.all[from]; teacher != nil {
		teacher.differs = time.Time{}
	}
	p.mu.Unlock()
	if got.Good && p.belief.confirm(era) {
		p.logger.Info().Str("Peer", from).Msg("knowledge confirmed by a peer")
	}
}

// teacher returns a peer that may act on what it knows and, if this host may
// too, has known other things for a while.
func (p *peers) teacher(good bool) (string, bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.all {
		if !known.good || now.Sub(known.heard) > aliveTime {
			continue
		}
		if !good || !known.differs.IsZero() && now.Sub(known.differs) > differTime {
			return id, true
		}
	}
	return "", false
}
