package lavcrash

import (
	"maps"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Limits of an Attribution.
const (
	// RequestCrashes is the number of crashes after which a whole request is blocked.
	RequestCrashes = 2
	// SegmentCrashes is the number of crashes after which a segment is blocked if no other
	// trait explains as many. A segment is shared by many callers, so that it takes more
	// than for a request.
	SegmentCrashes = 3
	// sureCrashes is the number of crashes after which a segment is blocked even if other
	// traits explain as many, as when two segments always come together.
	sureCrashes = 5
	// RequestBlockDuration and SegmentBlockDuration are how long a block lasts. Callers can
	// replace a request, but not a segment that they share with others.
	RequestBlockDuration = 24 * time.Hour
	SegmentBlockDuration = time.Hour
	// commonCauseWindow is the time between crashes that may have a common cause other than a
	// request, such as the loss of a failure domain, and maxCountedTogether how many of them
	// count. It is less than SegmentCrashes.
	commonCauseWindow  = 100 * time.Millisecond
	maxCountedTogether = SegmentCrashes - 1
	// SurvivalTime is how long after its first event an endpoint must still run a request to show
	// that the request doesn't crash it: endpoints crash when they begin to run one that does.
	SurvivalTime = time.Second
	// maxCrashes limits the crashes that are kept.
	maxCrashes = 128
	// maxBlocks limits the blocks that other hosts report.
	maxBlocks = 4096
)

// Report is the crash of an endpoint as one host sees it.
type Report struct {
	Endpoint lavconfig.Incarnation `cbor:"1,keyasint"`
	// Traits are those of the requests that the host lost with the endpoint.
	Traits []Trait `cbor:"2,keyasint"`
}

// Block refuses all requests with a trait until a time, but for probes.
type Block struct {
	Trait Trait     `cbor:"1,keyasint"`
	Until time.Time `cbor:"2,keyasint"`
	// Probes is how many requests have been let through to try whether the block is wrong, and
	// ProbeAt when the next one may be.
	Probes  int       `cbor:"3,keyasint,omitempty"`
	ProbeAt time.Time `cbor:"4,keyasint,omitempty"`
}

// crash is the crash of an endpoint as all hosts see it.
type crash struct {
	endpoint lavconfig.Incarnation
	at       time.Time
	// traits counts the lost requests with a trait.
	traits map[Trait]int
}

// Attribution decides which traits crash endpoints. It is not safe for concurrent use.
type Attribution struct {
	// crashes are in the order of their times.
	crashes []*crash
	// completed is when a request with a trait last completed, or when the last block of the
	// trait ended. It has traits of crashes only.
	completed map[Trait]time.Time
	// own are the blocks that follow from the crashes, and reported those that other hosts
	// have reported, each with its end.
	own, reported map[Trait]time.Time
	// probes are those of the traits that are blocked.
	probes map[Trait]probes
}

// NewAttribution returns an attribution without crashes.
func NewAttribution() *Attribution {
	return &Attribution{
		completed: make(map[Trait]time.Time),
		own:       make(map[Trait]time.Time),
		reported:  make(map[Trait]time.Time),
		probes:    make(map[Trait]probes),
	}
}

// RecordCrash adds a report of a crash. Reports of one crash by several hosts are merged.
func (a *Attribution) RecordCrash(now time.Time, r Report) {
	a.expire(now)
	c := a.crash(r.Endpoint)
	if c == nil {
		c = &crash{endpoint: r.Endpoint, at: now, traits: make(map[Trait]int)}
		a.add(c)
	}
	for _, t := range r.Traits {
		c.traits[t]++
	}
	a.attribute(now)
}

// add adds a crash in place of the oldest one if there are too many. The blocks that followed
// from that one last until their end.
func (a *Attribution) add(c *crash) {
	a.crashes = append(a.crashes, c)
	if len(a.crashes) <= maxCrashes {
		return
	}
	a.crashes = a.crashes[1:]
	maps.Copy(a.reported, a.own)
	clear(a.own)
}

// RecordAlive drops the crash of an endpoint that has answered since. It reports whether there
// was one.
func (a *Attribution) RecordAlive(now time.Time, endpoint lavconfig.Incarnation) bool {
	c := a.crash(endpoint)
	if c == nil {
		return false
	}
	a.crashes = slices.DeleteFunc(a.crashes, func(other *crash) bool { return other == c })
	a.attribute(now)
	return true
}

// CrashedAt returns when an endpoint crashed, and false if it is not known to have crashed.
func (a *Attribution) CrashedAt(endpoint lavconfig.Incarnation) (time.Time, bool) {
	if c := a.crash(endpoint); c != nil {
		return c.at, true
	}
	return time.Time{}, false
}

// RecordCompletion records that a request with some traits has completed, or has run for
// SurvivalTime, and returns those that were candidates for a crash or blocked. Peers need to know
// of these.
func (a *Attribution) RecordCompletion(now time.Time, traits []Trait) []Trait {
	var cleared []Trait
	for _, t := range traits {
		_, reported := a.reported[t]
		if reported || slices.ContainsFunc(a.crashes, func(c *crash) bool { return a.candidate(t, c) }) {
			a.completed[t] = now
			delete(a.reported, t)
			cleared = append(cleared, t)
		}
	}
	if len(cleared) > 0 {
		a.attribute(now)
		a.expireProbes(now)
	}
	return cleared
}

// AddBlock adds a block that another host has reported.
func (a *Attribution) AddBlock(now time.Time, b Block) {
	if !now.Before(b.Until) || len(a.reported) >= maxBlocks {
		return
	}
	a.reported[b.Trait] = b.Until
	a.recordProbes(b.Trait, probes{count: b.Probes, nextAt: b.ProbeAt})
}

// Blocked returns the block of the first of some traits that is blocked.
func (a *Attribution) Blocked(now time.Time, traits []Trait) (Block, bool) {
	for _, t := range traits {
		for _, until := range []time.Time{a.own[t], a.reported[t]} {
			if now.Before(until) {
				return a.block(t, until), true
			}
		}
	}
	return Block{}, false
}

// Blocks returns all blocks, ordered by trait.
func (a *Attribution) Blocks(now time.Time) []Block {
	var blocks []Block
	until := maps.Clone(a.reported)
	maps.Copy(until, a.own)
	for t, end := range until {
		if now.Before(end) {
			blocks = append(blocks, a.block(t, end))
		}
	}
	slices.SortFunc(blocks, func(x, y Block) int { return compareTraits(x.Trait, y.Trait) })
	return blocks
}

func (a *Attribution) crash(endpoint lavconfig.Incarnation) *crash {
	for _, c := range a.crashes {
		if c.endpoint == endpoint {
			return c
		}
	}
	return nil
}

// candidate reports whether a trait may have caused a crash: a request with the trait was lost,
// and none has completed since.
func (a *Attribution) candidate(t Trait, c *crash) bool {
	return c.traits[t] > 0 && !a.completed[t].After(c.at)
}

// expire drops what is too old to count. The crashes that led to a block count until its end,
// so that it takes as many new ones to block the trait again.
func (a *Attribution) expire(now time.Time) {
	for t, until := range a.own {
		if !now.Before(until) {
			a.completed[t] = until
			delete(a.own, t)
		}
	}
	a.crashes = slices.DeleteFunc(a.crashes, func(c *crash) bool { return now.Sub(c.at) > RequestBlockDuration })
	maps.DeleteFunc(a.reported, func(_ Trait, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(a.completed, func(t Trait, _ time.Time) bool {
		return !slices.ContainsFunc(a.crashes, func(c *crash) bool { return c.traits[t] > 0 })
	})
	a.expireProbes(now)
}
