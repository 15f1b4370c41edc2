package lavroute

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Balanced picks the endpoint at which the first token is expected soonest.
type Balanced struct {
	caches *CacheIndex
}

// NewBalanced returns the policy. caches may be nil.
func NewBalanced(caches *CacheIndex) *Balanced { return &Balanced{caches: caches} }

// Weights of the estimate.
const (
	// requestCost is what each running request slows the next one by, in
	// seconds.
	requestCost = 0.0005
	// coldCost and warmingCost keep work off endpoints that have just
	// started while others are no slower than this, in seconds.
	coldCost    = 1.0
	warmingCost = 0.1
	// aloneCost keeps others away from a request that may kill its endpoint,
	// in seconds.
	aloneCost = 30.0
	// longQueue is the reading time that may stand before a long prompt at an
	// endpoint, in seconds. What comes on top waits at the entry hosts, where
	// it can still go to whichever endpoint is first free.
	longQueue = 1.0
	// reservePart is the part of an endpoint's memory that all others leave to
	// short prompts: one part in so many.
	reservePart = 16
	// tieNoise and tieShare spread requests over endpoints that are nearly
	// equal, since other hosts decide by the same lagging reports: a time in
	// seconds, and a part of the reading time.
	tieNoise = 0.002
	tieShare = 0.1
	// homeShare is the part of a prefix's reading time that a request gives
	// up to go where requests with the same prefix will go, if no endpoint is
	// known to have cached it.
	homeShare = 0.5
)

// hitWorth is what reading less is worth beyond the request's own time, over
// that time, by lane: the endpoint has the time for others.
var hitWorth = [lavrequest.ClassCount]float64{0.5, 2, 2, 2}

// estimate is the part of the choice that all candidates share.
type estimate struct {
	query
	own     []Own
	seed    uint64
	elapsed float64
	prompt  float64
	share   float64
}

// Pick implements Policy.
func (p *Balanced) Pick(now time.Time, b *Board, own []Own, a *Ask) int {
	e := estimate{
		query:   newQuery(b, a),
		own:     own,
		seed:    requestHash(a),
		elapsed: max(now.Sub(b.made).Seconds(), 0),
		prompt:  float64(a.Request.PromptTokens),
		share:   b.mix[a.Lane],
	}
	best, least := -1, 0.0
	left := maxScored
	for _, i := range b.of(a.Request.Model).nearest {
		// Those that follow are no quicker, whatever they have on hand.
		if best >= 0 && b.places[i].base >= least || left == 0 {
			break
		}
		if !e.fits(i) {
			continue
		}
		left--
		if t := e.expected(i, e.prompt); best < 0 || t < least {
			if t += e.noise(e.seed, i); best < 0 || t < least {
				best, least = int(i), t
			}
		}
	}
	if best < 0 || len(a.Request.Prefixes) == 0 {
		return best
	}
	return p.nearPrefix(&e, best, least)
}

// nearPrefix returns an endpoint that has cached a part of the prompt, or is
// the home of its prefix, if it is quicker than best for that.
func (p *Balanced) nearPrefix(e *estimate, best int, least float64) int {
	var buffer [maxHits]Hit
	var hits []Hit
	if p.caches != nil {
		hits = p.caches.Hits(e.ask.Request.Prefixes, e.seed, buffer[:0])
	}
	for _, h := range hits {
		i, ok := e.board.names[h.Endpoint]
		if !ok || !e.serves(i) || !e.fits(i) {
			continue
		}
		// The noise is the prefix's own, so that of several copies one is used
		// as long as it is quick, and the others make room.
		cached := min(float64(lavrequest.PrefixTokens(h.Blocks)), e.prompt)
		t := e.expected(i, e.prompt-cached) + e.noise(uint64(e.ask.Request.Prefixes[0]), i)
		t -= hitWorth[e.ask.Lane] * cached * e.board.places[i].perToken
		if t < least {
			best, least = int(i), t
		}
	}
	if len(hits) > 0 {
		return best
	}
	home := e.home()
	shared := min(float64(lavrequest.PrefixTokens(len(e.ask.Request.Prefixes))), e.prompt)
	if home >= 0 && e.seconds(home, 0) <= least+homeShare*shared*e.board.places[home].perToken {
		return int(home)
	}
	return best
}

// home returns the endpoint at which requests with the same prefix meet while
// nobody is known to have cached it: the first on the ring of hashes that may
// take the request and isn't busy with long prompts, which drive others out of
// its cache. All hosts name the same one as far as their reports agree.
func (e *estimate) home() int32 {
	ring := e.board.of(e.ask.Request.Model).ring
	seed := mix(uint64(e.ask.Request.Prefixes[0]), homeSeed)
	start, _ := slices.BinarySearchFunc(ring, seed, func(i int32, want uint64) int {
		return cmp.Compare(e.board.places[i].hash, want)
	})
	for step := range min(len(ring), maxHomes) {
		i := ring[(start+step)%len(ring)]
		if place := &e.board.places[i]; e.fits(i) && place.waiting*place.perToken < longQueue {
			return i
		}
	}
	return -1
}

// Bounds of one decision.
const (
	// maxScored is how many endpoints that may take a request are compared.
	maxScored = 384
	// maxHomes is how many are tried on the ring.
	maxHomes = 8
	// homeSeed makes hashes of prefixes independent of those of names.
	homeSeed = 0x9e3779b97f4a7c15
)

// serves reports whether an endpoint of the snapshot holds the model and takes
// work.
func (e *estimate) serves(i int32) bool {
	endpoint := &e.board.Snapshot.Endpoints[i]
	return endpoint.Phase.TakesWork() && endpoint.Serves(e.ask.Request.Model, "")
}

// fits reports whether the endpoint may take the request now. All but short
// prompts leave room for short ones, and long ones are not queued behind much
// work.
func (e *estimate) fits(i int32) bool {
	own := &e.own[i]
	if !e.open(i, own) {
		return false
	}
	if e.ask.Lane == lavrequest.ClassShort || e.ask.AnyRoom {
		return true
	}
	place := &e.board.places[i]
	if place.phase == lavendpoint.PhaseReady && own.Requests > 0 && own.Room < e.tokens+place.reserve {
		return false
	}
	return e.ask.Lane < lavrequest.ClassLong || e.ahead(i)*place.perToken <= longQueue
}

// ahead returns the prompt tokens that the endpoint reads before this prompt.
func (e *estimate) ahead(i int32) float64 {
	place, own := &e.board.places[i], &e.own[i]
	all := place.waiting - place.rate*e.elapsed
	if all < 0 {
		all = 0
	}
	all = e.share * (all + float64(own.SinceUnread))
	mine := own.Unread[0]
	for lane := lavrequest.ClassMedium; lane <= e.ask.Lane; lane++ {
		mine += own.Unread[lane]
	}
	if float64(mine) > all {
		return float64(mine)
	}
	return all
}

// expected returns the time to the first token if the endpoint has that many
// tokens of the prompt to read.
func (e *estimate) expected(i int32, unread float64) float64 {
	place, own := &e.board.places[i], &e.own[i]
	t := place.base + (e.ahead(i)+unread)*place.perToken + requestCost*float64(own.SinceRequests)
	if e.ask.Lane >= lavrequest.ClassLong {
		t += place.hot
	}
	if own.Alone > 0 {
		t += aloneCost
	}
	if e.ask.Alone {
		t += float64(own.Requests) + place.running
	}
	return t
}

// noise spreads requests over endpoints that are nearly equal.
func (e *estimate) noise(seed uint64, i int32) float64 {
	place := &e.board.places[i]
	part := float64(mix(seed, place.hash)>>40) / (1 << 24)
	return part * (tieNoise + tieShare*e.prompt*place.perToken)
}

// seconds returns the time to the first token, noise included, if the endpoint
// has cached that many tokens of the prompt.
func (e *estimate) seconds(i int32, cached int) float64 {
	return e.expected(i, max(e.prompt-float64(cached), 0)) + e.noise(e.seed, i)
}

// Priorities for the endpoints, by lane; lower goes first. A request whose
// time grows short goes before the long lanes.
const (
	priorityStep  = 10
	priorityAged  = 5
	agedSlackPart = 4
)

// Priority implements Policy.
func (p *Balanced) Priority(now time.Time, a *Ask) int {
	priority := int(a.Lane) * priorityStep
	span := a.Request.Deadline.Sub(a.Request.Arrived)
	if left := a.Request.Deadline.Sub(now); left < span/agedSlackPart {
		priority = min(priority, priorityAged)
	}
	return priority
}
