package lavhost

import (
	"context"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpause"
)

// Times of a planned stop.
const (
	// drainMargin is left of the grace for the end of the process.
	drainMargin = 600 * time.Millisecond
	// lingerTime is how long a leaving host goes on listening without requests:
	// callers may keep a directory answer three times its validity.
	lingerTime = 3 * directoryTTL
	// drainLook is the time between looks whether the last request has ended.
	drainLook = 50 * time.Millisecond
	// streamsFor is how long a leaving host takes streams: one that is taken
	// later may still run as the grace ends.
	streamsFor = 2500 * time.Millisecond
)

// drain is a planned stop of the host.
type drain struct {
	grace atomic.Int64
	// since is when the stop began, nil if it has not. It keeps its monotonic
	// reading: the time of day may be set while a host stops.
	since atomic.Pointer[time.Time]
}

func newDrain(grace time.Duration) *drain {
	d := &drain{}
	d.setGrace(grace)
	return d
}

func (d *drain) setGrace(grace time.Duration) { d.grace.Store(int64(grace)) }

func (d *drain) begin() {
	now := time.Now()
	d.since.Store(&now)
}

func (d *drain) begun() bool { return d.since.Load() != nil }

// left returns how much of the grace is left.
func (d *drain) left() time.Duration {
	grace := time.Duration(d.grace.Load())
	since := d.since.Load()
	if since == nil {
		return grace
	}
	return grace - drainMargin - time.Since(*since)
}

// tooLate reports whether a request of a route is not expected to end within
// the grace.
func (d *drain) tooLate(r *lavconfig.Route) bool {
	since := d.since.Load()
	if since == nil {
		return false
	}
	if r.Kind == lavconfig.KindStreaming {
		return time.Since(*since) > streamsFor
	}
	return d.left() < r.Timeout
}

// wait returns once the running requests have ended and no new ones are to be
// expected, or at the end of the grace.
func (d *drain) wait(ctx context.Context, i *ingress) {
	begun := time.Now()
	for d.left() > 0 && ctx.Err() == nil {
		if time.Since(begun) > lingerTime && i.running.Load() == 0 {
			return
		}
		_ = lavpause.For(ctx, drainLook)
	}
}
