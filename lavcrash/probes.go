package lavcrash

import (
	"maps"
	"time"
)

// A block may be wrong: endpoints crash for other reasons, too. Once it stands, no request with
// its trait can complete. So a few requests are let through as probes, one at a time and each later
// than the one before. One that completes, or survives, ends the block.

// maxProbes limits the probes of a block, of all hosts together. With them a request that crashes
// endpoints stays within three retries after its third crash.
const maxProbes = 2

// Times from the beginning of a block to its first probe, and from one probe to the next. A doubtful
// block is probed as soon as endpoints that have crashed are back.
var (
	doubtfulDelays = [maxProbes]time.Duration{2 * time.Second, 8 * time.Second}
	sureDelays     = [maxProbes]time.Duration{10 * time.Minute, time.Hour}
)

// probes are how many probes of a block there were, and when the next one may be.
type probes struct {
	count  int
	nextAt time.Time
	// begunAt is when the block began, zero if another host has reported it.
	begunAt time.Time
}

// ProbeDue reports whether a request with a blocked trait may be let through now.
func (a *Attribution) ProbeDue(now time.Time, t Trait) bool {
	p, ok := a.probes[t]
	return ok && p.count < maxProbes && !now.Before(p.nextAt)
}

// NextProbe returns the block of a trait as it stands once a request is let through now.
func (a *Attribution) NextProbe(now time.Time, b Block) Block {
	b.Probes++
	b.ProbeAt = now.Add(a.probeDelay(b.Trait, b.Probes))
	return b
}

// RecordProbe records that a request was let through, unless the block has ended meanwhile.
func (a *Attribution) RecordProbe(now time.Time, b Block) {
	if _, blocked := a.Blocked(now, []Trait{b.Trait}); blocked {
		a.recordProbes(b.Trait, probes{count: b.Probes, nextAt: b.ProbeAt})
	}
}

// probeDelay returns the time until the next probe of a trait after a number of them.
func (a *Attribution) probeDelay(t Trait, count int) time.Duration {
	delays := sureDelays
	if a.doubtful(t) {
		delays = doubtfulDelays
	}
	return delays[min(count, maxProbes-1)]
}

// doubtful reports whether each crash that a trait may have caused lost several requests with it. One
// that crashes endpoints does so with its first request, so that a second one is seldom there in time.
func (a *Attribution) doubtful(t Trait) bool {
	crashes := 0
	for _, c := range a.crashes {
		if !a.candidate(t, c) {
			continue
		}
		if c.traits[t] < 2 {
			return false
		}
		crashes++
	}
	return crashes > 0
}

// beginProbes sets when the first probe of a block may be. Further reports of the same crashes may show
// that the block is doubtful, so that the time is set anew with each of them.
func (a *Attribution) beginProbes(now time.Time, t Trait) {
	p, known := a.probes[t]
	if !known {
		p.begunAt = now
	}
	if p.count == 0 && !p.begunAt.IsZero() {
		p.nextAt = p.begunAt.Add(a.probeDelay(t, 0))
	}
	a.probes[t] = p
}

// recordProbes merges what another host states about the probes of a block.
func (a *Attribution) recordProbes(t Trait, p probes) {
	known, ok := a.probes[t]
	if !ok || p.count > known.count {
		a.probes[t] = p
	}
}

// expireProbes forgets the probes of traits that are not blocked any more.
func (a *Attribution) expireProbes(now time.Time) {
	maps.DeleteFunc(a.probes, func(t Trait, _ probes) bool {
		_, blocked := a.Blocked(now, []Trait{t})
		return !blocked
	})
}

func (a *Attribution) block(t Trait, until time.Time) Block {
	p := a.probes[t]
	return Block{Trait: t, Until: until, Probes: p.count, ProbeAt: p.nextAt}
}
