package lavpressure

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// heldFraction is the part of a host's memory that requests may hold. The limit of the Go
// runtime is 0.7 of the memory, so that half of the memory is left to the state of the fleet,
// goroutines and garbage, and 0.3 to socket buffers and the program itself.
const heldFraction = 0.2

// Bound returns how many bytes requests may hold on a host with the given memory.
func Bound(memoryBytes int64) int64 { return int64(heldFraction * float64(memoryBytes)) }

// Levels of the account, as fractions of its bound.
const (
	// holdBackLevel is where callers who are behind hold back their endpoints.
	holdBackLevel = 0.5
	// refuseLevel is where large bodies are refused.
	refuseLevel = 0.7
	// cutLevel is where stalled callers are cut off. The rest up to the bound is for what
	// comes in until their requests have ended.
	cutLevel = 0.85
)

const (
	// largeBodyBytes is the size from which a body is refused at refuseLevel.
	largeBodyBytes = 16 << 10
	// maxHoldFraction is the part of the bound above which the caller of a single request is
	// held back at any level.
	maxHoldFraction = 1.0 / 16
	// StallTime is how long a caller accepts nothing before it counts as stalled. It is
	// longer than a lost packet and its repetition take.
	StallTime = 500 * time.Millisecond
	// cutInterval is the shortest time between two searches for callers to cut off that
	// have found none.
	cutInterval = 20 * time.Millisecond
)

// Buffers are the sizes of the socket buffers that the kernel holds for requests.
type Buffers struct {
	// Caller is what it holds for a caller who doesn't accept what was written.
	Caller int64
	// Endpoint is what it holds for an answer that is left unread.
	Endpoint int64
}

// Account counts what a host holds for its requests. It is safe for concurrent use.
type Account struct {
	bound   int64
	buffers Buffers
	metrics metrics

	mu   sync.Mutex
	held int64
	// cutting is the part of held that belongs to requests that were cut off and have not
	// ended yet.
	cutting int64
	holds   map[*Hold]struct{}
	// nextCut is the earliest time of the next search for callers to cut off.
	nextCut time.Time
}

// metrics are the metrics of an account.
type metrics struct {
	held, holds                       tally.Gauge
	cut, heldBack, refused, unreadCut tally.Counter
}

// New returns an account with a bound in bytes.
func New(bound int64, buffers Buffers, scope tally.Scope) *Account {
	s := scope.SubScope("pressure")
	return &Account{
		bound:   bound,
		buffers: buffers,
		holds:   make(map[*Hold]struct{}),
		metrics: metrics{
			held:      s.Gauge("held_bytes"),
			holds:     s.Gauge("holds"),
			cut:       s.Counter("callers_cut"),
			heldBack:  s.Counter("endpoints_held_back"),
			refused:   s.Counter("bodies_refused"),
			unreadCut: s.Counter("unread_answers_cut"),
		},
	}
}

// Held returns how many bytes are held, and the bound.
func (a *Account) Held() (held, bound int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held, a.bound
}

// Publish updates the gauges.
func (a *Account) Publish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.metrics.held.Update(float64(a.held))
	a.metrics.holds.Update(float64(len(a.holds)))
}

// Begin returns the part of a new request, which holds nothing yet. Resumable is true if an answer
// that its endpoint cuts off can be resumed.
func (a *Account) Begin(resumable bool) *Hold {
	h := &Hold{account: a, resumable: resumable, beganAt: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holds[h] = struct{}{}
	return h
}

// above reports whether a level is exceeded. The caller holds the lock.
func (a *Account) above(level float64) bool { return float64(a.held) > level*float64(a.bound) }

// cutStalled cuts off stalled callers until the rest is below cutLevel. The caller holds the
// lock.
func (a *Account) cutStalled(now time.Time) {
	for float64(a.held-a.cutting) > cutLevel*float64(a.bound) && !now.Before(a.nextCut) {
		h := a.largestStalled(now)
		if h == nil {
			a.nextCut = now.Add(cutInterval)
			return
		}
		h.isCut, h.cutAfter = true, h.stalledFor(now)
		a.cutting += h.bytes
		a.metrics.cut.Inc(1)
		h.cut()
	}
}

// largestStalled returns the stalled request that holds the most, of equals the one that is
// stalled longest. It returns nil if there is none.
func (a *Account) largestStalled(now time.Time) *Hold {
	var largest *Hold
	for h := range a.holds {
		if h.cut == nil || h.isCut || h.stalledFor(now) < StallTime {
			continue
		}
		if largest == nil || h.bytes > largest.bytes || h.bytes == largest.bytes && h.writingSince.Before(largest.writingSince) {
			largest = h
		}
	}
	return largest
}
