package lavhost

import (
	"context"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpause"
)

// Timing of a planned stop.
const (
	// exitMargin is the part at the end of the grace period that is reserved
	// for the process to exit.
	exitMargin = 600 * time.Millisecond
	// lingerTime is how long a draining host keeps listening even without
	// requests: callers may use a directory response for three times its
	// validity.
	lingerTime = 3 * directoryTTL
	// maxCloseWait and minCloseWait bound the wait for requests that were accepted just
	// before the listener for callers closed. Together with the exit they fit into
	// exitMargin if the grace period has ended.
	maxCloseWait = 2 * time.Second
	minCloseWait = 200 * time.Millisecond
	// drainPollInterval is the time between checks whether the last request has
	// ended.
	drainPollInterval = 50 * time.Millisecond
	// streamAcceptTime is how long a draining host accepts new streams. A
	// stream that is accepted later may still run at the end of the grace
	// period.
	streamAcceptTime = 2500 * time.Millisecond
)

// drain tracks a planned stop of the host.
type drain struct {
	// grace is the time from SIGTERM to SIGKILL in nanoseconds.
	grace atomic.Int64
	// startedAt is when the drain started, nil before that. The value keeps its
	// monotonic reading, since the wall clock may be set during a drain.
	startedAt atomic.Pointer[time.Time]
}

func newDrain(grace time.Duration) *drain {
	d := &drain{}
	d.setGrace(grace)
	return d
}

func (d *drain) setGrace(grace time.Duration) { d.grace.Store(int64(grace)) }

func (d *drain) start() {
	now := time.Now()
	d.startedAt.Store(&now)
}

func (d *drain) started() bool { return d.startedAt.Load() != nil }

// remaining returns how much of the grace period is left for requests.
func (d *drain) remaining() time.Duration {
	grace := time.Duration(d.grace.Load())
	startedAt := d.startedAt.Load()
	if startedAt == nil {
		return grace
	}
	return grace - exitMargin - time.Since(*startedAt)
}

// rejects reports whether a new request for a route must be rejected because it
// may not end within the grace period.
func (d *drain) rejects(r *lavconfig.Route) bool {
	startedAt := d.startedAt.Load()
	if startedAt == nil {
		return false
	}
	if r.Kind == lavconfig.KindStreaming {
		return time.Since(*startedAt) > streamAcceptTime
	}
	return d.remaining() < r.Timeout
}

// wait returns at the end of the grace period, or earlier once lingerTime has
// passed and no request is running.
func (d *drain) wait(ctx context.Context, i *ingress) {
	started := time.Now()
	for d.remaining() > 0 && ctx.Err() == nil {
		if time.Since(started) > lingerTime && i.running.Load() == 0 {
			return
		}
		_ = lavpause.For(ctx, drainPollInterval)
	}
}
