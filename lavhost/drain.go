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
	// maxCloseWait and minCloseWait bound the wait for the last answers to be written, and for new
	// connections on which nothing has arrived yet. Together with the exit they fit into exitMargin if
	// the grace period has ended.
	maxCloseWait = 2 * time.Second
	minCloseWait = 200 * time.Millisecond
	// drainPollInterval is the time between checks whether the last request has
	// ended.
	drainPollInterval = 50 * time.Millisecond
	// maxStreamAcceptTime bounds how long a draining host accepts streams that may last longer than
	// the grace period. Most streams that begin until then end in time. streamAcceptFraction bounds it
	// as a fraction of the grace period.
	maxStreamAcceptTime  = 2500 * time.Millisecond
	streamAcceptFraction = 1.0 / 3
)

// drain is a planned stop of the host. It implements lavrelay.Departure, and decides on all requests
// that have not begun.
type drain struct {
	// grace is the time from SIGTERM to SIGKILL in nanoseconds.
	grace atomic.Int64
	// startedAt is when the drain started, nil before that. The value keeps its
	// monotonic reading, since the wall clock may be set during a drain.
	startedAt atomic.Pointer[time.Time]
	// closed is true once nothing more may begin.
	closed atomic.Bool
	// leaving ends when the drain starts, refusing at the end of streamAcceptTime, and left when all
	// requests must end.
	leaving, refusing, left stage
}

// stage is a context that ends at a time of the drain.
type stage struct {
	context.Context
	end context.CancelFunc
}

func newStage() stage {
	ctx, end := context.WithCancel(context.Background())
	return stage{ctx, end}
}

func newDrain(grace time.Duration) *drain {
	d := &drain{leaving: newStage(), refusing: newStage(), left: newStage()}
	d.setGrace(grace)
	return d
}

// setGrace sets the grace period. One in progress only becomes shorter, since the process may be killed
// at the end of the one that held when it began.
func (d *drain) setGrace(grace time.Duration) {
	if d.started() {
		grace = min(grace, time.Duration(d.grace.Load()))
	}
	d.grace.Store(int64(grace))
}

// start starts the drain.
func (d *drain) start() {
	now := time.Now()
	d.startedAt.Store(&now)
	d.leaving.end()
	time.AfterFunc(d.streamAcceptTime(), d.refusing.end)
}

func (d *drain) started() bool { return d.startedAt.Load() != nil }

// streamAcceptTime is how long a draining host accepts streams that may last longer than the grace
// period.
func (d *drain) streamAcceptTime() time.Duration {
	return min(maxStreamAcceptTime, time.Duration(float64(d.grace.Load())*streamAcceptFraction))
}

// remaining returns how much of the grace period is left for requests.
func (d *drain) remaining() time.Duration {
	grace := time.Duration(d.grace.Load())
	startedAt := d.startedAt.Load()
	if startedAt == nil {
		return grace
	}
	return grace - exitMargin - time.Since(*startedAt)
}

// MayBegin implements lavrelay.Departure.
func (d *drain) MayBegin(r *lavconfig.Route, deadline time.Time) bool {
	startedAt := d.startedAt.Load()
	switch {
	case startedAt == nil:
		return true
	case d.closed.Load():
		return false
	case time.Until(deadline) <= d.remaining():
		return true
	default:
		return r.Kind == lavconfig.KindStreaming && time.Since(*startedAt) <= d.streamAcceptTime()
	}
}

// Refusing implements lavrelay.Departure.
func (d *drain) Refusing(r *lavconfig.Route) context.Context {
	if r.Kind == lavconfig.KindStreaming {
		return d.refusing
	}
	return d.leaving
}

// Left implements lavrelay.Departure.
func (d *drain) Left() context.Context { return d.left }

// wait returns at the end of the grace period, or earlier once lingerTime has
// passed and no request is running. Nothing begins after that.
func (d *drain) wait(ctx context.Context, i *ingress) {
	started := time.Now()
	d.poll(ctx, func() bool { return time.Since(started) > lingerTime && i.running.Load() == 0 })
	d.closed.Store(true)
	// A request may have begun just before.
	d.poll(ctx, func() bool { return i.running.Load() == 0 })
}

// poll returns once a condition holds, or at the end of the grace period.
func (d *drain) poll(ctx context.Context, ended func() bool) {
	for d.remaining() > 0 && ctx.Err() == nil && !ended() {
		_ = lavpause.For(ctx, drainPollInterval)
	}
}

// end ends all requests that still run: those that haven't run are refused, and the others are broken
// off.
func (d *drain) end() {
	d.refusing.end()
	d.left.end()
}
