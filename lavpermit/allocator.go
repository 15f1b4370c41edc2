package lavpermit

import (
	"math"
	"time"
)

const (
	// PermitTTL is how long after it was asked for a permit may be used.
	PermitTTL = 1500 * time.Millisecond
	// BurstPermits is the number of permits that the holder saves up if nobody asks. With a
	// single one, a bound below a request a second would often be unused, as requests rarely
	// come when the next permit is due.
	BurstPermits = 2
	// BurstTime is the time for which the holder saves up permits in addition to BurstPermits.
	BurstTime = 250 * time.Millisecond
	// MinPerSecond replaces a lower rate. Without any request a host would not learn that the
	// endpoint takes more again.
	MinPerSecond = 0.1
)

// Times between two questions of a host for the permits of one bound.
const (
	MinAskInterval = 100 * time.Millisecond
	// askIntervalPerAsker bounds the questions that a holder gets for one bound from many hosts.
	askIntervalPerAsker = 2500 * time.Microsecond
)

// minAskerTTL is the least time for which a host that has asked counts as one that shares a bound.
const minAskerTTL = time.Second

// idleBucketTTL is how long a bound for which nobody asks is remembered.
const idleBucketTTL = 30 * time.Second

// Grant is the holder's answer to a host.
type Grant struct {
	// Permits is how many requests the host may send.
	Permits int
	// Interval is the mean time between two permits for a host, if all who have asked lately
	// go on asking.
	Interval time.Duration
	// AskAfter is when the host should ask again.
	AskAfter time.Duration
}

// Allocator hands out the permits of the bounds that one host holds. It isn't safe for concurrent
// use.
type Allocator[K comparable] struct {
	buckets map[K]*bucket
	sweptAt time.Time
	// share is the part of each bound that this holder hands out.
	share float64
}

// bucket holds the permits of one bound that nobody has yet.
type bucket struct {
	// permits may be a fraction. They were counted at filledAt.
	permits  float64
	filledAt time.Time
	askers   askers
}

// NewAllocator returns an allocator that holds no bounds yet.
func NewAllocator[K comparable]() *Allocator[K] {
	return &Allocator[K]{buckets: make(map[K]*bucket), share: 1}
}

// SetShare sets the part of each bound that this holder hands out. It is below 1 where it doesn't reach
// all hosts, so that there may be other holders: what they save up, and what each hands out at
// least, adds up too.
func (a *Allocator[K]) SetShare(share float64) { a.share = share }

// Grant answers a host that asks for permits of a bound, which allows perSecond requests.
func (a *Allocator[K]) Grant(now time.Time, bound K, perSecond float64, asker string, want int) Grant {
	a.sweep(now)
	perSecond = max(perSecond, MinPerSecond) * a.share
	b := a.buckets[bound]
	if b == nil {
		b = &bucket{filledAt: now, askers: make(askers)}
		a.buckets[bound] = b
	}
	b.fill(now, perSecond, a.share)
	b.askers[asker] = now
	b.askers.forget(now)
	return Grant{
		Permits:  b.take(want, perSecond),
		Interval: time.Duration(float64(len(b.askers)) / perSecond * float64(time.Second)),
		AskAfter: b.askers.askAfter(),
	}
}

// fill adds the permits for the time since the last call. A holder of a share saves up its part of
// BurstPermits, but one at least, since it hands out whole ones.
func (b *bucket) fill(now time.Time, perSecond, share float64) {
	most := max(BurstPermits*share, 1) + perSecond*BurstTime.Seconds()
	b.permits = min(b.permits+now.Sub(b.filledAt).Seconds()*perSecond, most)
	b.filledAt = now
}

// take hands out permits: no more than are wanted, and no more than the asker's share of those that
// there are, or that there will be until it asks again.
func (b *bucket) take(want int, perSecond float64) int {
	toShare := max(b.permits, perSecond*b.askers.askAfter().Seconds())
	share := max(1, int(math.Ceil(toShare/float64(len(b.askers)))))
	granted := max(min(want, int(b.permits), share), 0)
	b.permits -= float64(granted)
	return granted
}

// sweep drops the bounds for which nobody asks.
func (a *Allocator[K]) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < idleBucketTTL {
		return
	}
	a.sweptAt = now
	for bound, b := range a.buckets {
		if now.Sub(b.filledAt) > idleBucketTTL {
			delete(a.buckets, bound)
		}
	}
}
