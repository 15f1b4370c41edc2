package lavpermit

import "time"

const (
	// PermitTTL is how long after it was asked for a permit may be used.
	PermitTTL = 1500 * time.Millisecond
	// BurstTime is the time for which the holder saves up permits that nobody asks for, beyond
	// the first one.
	BurstTime = 250 * time.Millisecond
	// MinPerSecond replaces a lower rate. Without any request a host would not learn that the
	// endpoint takes more again.
	MinPerSecond = 0.1
)

// Times between two questions of a host for the permits of one bound.
const (
	MinAskInterval = 100 * time.Millisecond
	maxAskInterval = 5 * time.Second
	// askIntervalPerAsker bounds the questions that a holder gets for one bound from many hosts.
	askIntervalPerAsker = 2500 * time.Microsecond
	// asksPerPermit is how often a host that gets no permit asks in the time after which it
	// may expect one.
	asksPerPermit = 8
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
}

// bucket holds the permits of one bound that nobody has yet.
type bucket struct {
	// permits may be a fraction. They were counted at filledAt.
	permits  float64
	filledAt time.Time
	// askers is when each host last asked.
	askers map[string]time.Time
}

// NewAllocator returns an allocator that holds no bounds yet.
func NewAllocator[K comparable]() *Allocator[K] {
	return &Allocator[K]{buckets: make(map[K]*bucket)}
}

// Grant answers a host that asks for permits of a bound, which allows perSecond requests.
func (a *Allocator[K]) Grant(now time.Time, bound K, perSecond float64, asker string, want int) Grant {
	a.sweep(now)
	perSecond = max(perSecond, MinPerSecond)
	b := a.buckets[bound]
	if b == nil {
		b = &bucket{filledAt: now, askers: make(map[string]time.Time)}
		a.buckets[bound] = b
	}
	b.fill(now, perSecond)
	b.askers[asker] = now
	b.forgetAskers(now, perSecond)
	granted := b.take(want)
	return Grant{
		Permits:  granted,
		Interval: b.intervalPerAsker(perSecond),
		AskAfter: b.askAfter(perSecond, granted >= want),
	}
}

// fill adds the permits for the time since the last call.
func (b *bucket) fill(now time.Time, perSecond float64) {
	most := 1 + perSecond*BurstTime.Seconds()
	b.permits = min(b.permits+now.Sub(b.filledAt).Seconds()*perSecond, most)
	b.filledAt = now
}

// take hands out permits: no more than are wanted, and of several no more than the asker's share.
func (b *bucket) take(want int) int {
	whole := int(b.permits)
	share := max(1, (whole+len(b.askers)-1)/len(b.askers))
	granted := max(min(want, whole, share), 0)
	b.permits -= float64(granted)
	return granted
}

func (b *bucket) intervalPerAsker(perSecond float64) time.Duration {
	return time.Duration(float64(len(b.askers)) / perSecond * float64(time.Second))
}

// askAfter returns when a host should ask again, which depends on whether it got all it wants.
func (b *bucket) askAfter(perSecond float64, satisfied bool) time.Duration {
	least := max(MinAskInterval, time.Duration(len(b.askers))*askIntervalPerAsker)
	if satisfied {
		return least
	}
	return min(max(b.intervalPerAsker(perSecond)/asksPerPermit, least), maxAskInterval)
}

// forgetAskers drops the hosts that have not asked for two of their intervals.
func (b *bucket) forgetAskers(now time.Time, perSecond float64) {
	ttl := max(2*b.askAfter(perSecond, false), minAskerTTL)
	for asker, at := range b.askers {
		if now.Sub(at) > ttl {
			delete(b.askers, asker)
		}
	}
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
