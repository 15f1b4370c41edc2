package lavroute

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cespare/xxhash/v2"
)

// Board is a snapshot laid out for picking. It is immutable; a host makes one
// for each new snapshot, so that a pick looks only at endpoints which serve
// the model, and touches little memory for each.
type Board struct {
	Snapshot *lavendpoint.Snapshot
	made     time.Time
	mix      Mix
	places   []place
	// models lists, by model, the endpoints that take work and hold it.
	models map[string]*candidates
	names  map[string]int32
}

// candidates are the endpoints that take work and hold one model.
type candidates struct {
	// nearest lists them by their base time, least first.
	nearest []int32
	// ring lists them by their hash.
	ring []int32
}

// none are the candidates for a model that nobody holds.
var none candidates

// place is what a pick needs of one endpoint. Times are in seconds and speeds
// in tokens a second, as they are multiplied for each candidate.
type place struct {
	hash  uint64
	phase lavendpoint.Phase
	// reserve is the memory in tokens that all others leave to short prompts.
	reserve int
	// crossing is the time to the endpoint's failure domain; base is that and
	// all else that a prompt of any length takes.
	crossing float64
	base     float64
	// rate is the reading speed and perToken its inverse.
	rate     float64
	perToken float64
	// waiting are the prompt tokens that were not yet read as the board was
	// made, as far as the report tells.
	waiting float64
	running float64
	// hot is the time to read again what a long prompt drives out of the
	// cache.
	hot float64
}

// fallbackRate stands for the speed of an endpoint that reports none, in
// tokens a second.
const fallbackRate = 10_000

// Site is where a host stands; it tells how dear the way to an endpoint is.
type Site struct {
	FailureDomain string
	// SameRegion and OtherRegion are the times that a request loses on its
	// way to another failure domain, links' delay and losses included.
	SameRegion  time.Duration
	OtherRegion time.Duration
	// Near, if not nil, reports whether an endpoint is among those to which
	// this host goes first. Hosts that divide the endpoints so seldom meet at
	// one, which they could learn only too late.
	Near func(e *lavendpoint.Endpoint) bool
	// Hot, if not nil, returns the cached tokens of an endpoint that are of
	// use to others.
	Hot func(endpoint string) int
}

// farCost keeps a host to the endpoints near to it, unless they are slower by
// this, in seconds.
const farCost = 0.004

// Crossing times of a Site that sets none.
const (
	defaultSameRegion  = 15 * time.Millisecond
	defaultOtherRegion = 100 * time.Millisecond
)

// Mix is the part of the unread prompt tokens at the endpoints that goes before
// a request, by its lane: shorter lanes have the higher priority.
type Mix [lavrequest.ClassCount]float64

// DefaultMix stands until a host has measured its own.
func DefaultMix() Mix { return Mix{0.02, 0.2, 0.5, 1} }

// NewBoard lays out a snapshot as seen from site.
func NewBoard(now time.Time, s *lavendpoint.Snapshot, site Site, mix Mix) *Board {
	b := &Board{
		Snapshot: s,
		mix:      mix,
		made:     now,
		places:   make([]place, len(s.Endpoints)),
		models:   make(map[string]*candidates),
		names:    make(map[string]int32, len(s.Endpoints)),
	}
	region := site.region(s)
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		b.names[e.Name] = int32(i)
		b.places[i] = newPlace(now, e, site.crossing(e, region))
		if site.Near != nil && !site.Near(e) {
			b.places[i].base += farCost
		}
		if site.Hot != nil {
			b.places[i].hot = float64(site.Hot(e.Name)) * b.places[i].perToken
		}
		if e.Service != "" || !e.Phase.TakesWork() {
			continue
		}
		for _, model := range e.Report.Models {
			c := b.models[model]
			if c == nil {
				c = &candidates{}
				b.models[model] = c
			}
			c.nearest = append(c.nearest, int32(i))
		}
	}
	for _, c := range b.models {
		c.ring = slices.Clone(c.nearest)
		slices.SortStableFunc(c.nearest, func(x, y int32) int { return cmp.Compare(b.places[x].base, b.places[y].base) })
		slices.SortFunc(c.ring, func(x, y int32) int { return cmp.Compare(b.places[x].hash, b.places[y].hash) })
	}
	return b
}

// of returns the candidates for a model.
func (b *Board) of(model string) *candidates {
	if c := b.models[model]; c != nil {
		return c
	}
	return &none
}

func newPlace(now time.Time, e *lavendpoint.Endpoint, crossing time.Duration) place {
	p := place{
		hash:     xxhash.Sum64String(e.Name),
		phase:    e.Phase,
		reserve:  e.Report.MemoryTokens / reservePart,
		crossing: crossing.Seconds(),
		rate:     e.Report.PrefillRate,
		running:  float64(e.Report.Running),
	}
	if p.rate <= 0 {
		p.rate = fallbackRate
	}
	p.perToken = 1 / p.rate
	p.waiting = float64(e.Report.WaitingTokens)
	if !e.Report.Taken.IsZero() {
		p.waiting = max(p.waiting-p.rate*max(now.Sub(e.Report.Taken).Seconds(), 0), 0)
	}
	p.base = p.crossing + requestCost*p.running
	switch e.Phase {
	case lavendpoint.PhaseCold:
		p.base += coldCost
	case lavendpoint.PhaseWarming:
		p.base += warmingCost
	default:
	}
	return p
}

// region returns the region of the host, as the endpoints of its failure
// domain tell.
func (s Site) region(snapshot *lavendpoint.Snapshot) string {
	for i := range snapshot.Endpoints {
		if e := &snapshot.Endpoints[i]; e.FailureDomain == s.FailureDomain {
			return e.Region
		}
	}
	return ""
}

func (s Site) crossing(e *lavendpoint.Endpoint, region string) time.Duration {
	switch {
	case e.FailureDomain == s.FailureDomain:
		return 0
	case e.Region == region || e.Region == "" || region == "":
		return orDefault(s.SameRegion, defaultSameRegion)
	default:
		return orDefault(s.OtherRegion, defaultOtherRegion)
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Index returns the index of the endpoint of that name, or -1.
func (b *Board) Index(name string) int {
	i, ok := b.names[name]
	if !ok {
		return -1
	}
	return int(i)
}

// Serves reports whether any endpoint that takes work holds the model.
func (b *Board) Serves(model string) bool { return len(b.of(model).nearest) > 0 }
