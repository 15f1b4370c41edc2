package lavendpoint

import (
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// Lifecycle timeouts.
const (
	// silenceTimeout is the report age beyond which an endpoint is out.
	silenceTimeout = 5 * time.Second
	// rampStep is the minimum time between two doublings of a warming endpoint's
	// limit.
	rampStep = time.Second
)

// Evidence is the combined input about one endpoint at one time.
type Evidence struct {
	// Withdrawn is set by the release. HostLeaving and HostGone are set by the host
	// list.
	Withdrawn   bool
	HostLeaving bool
	HostGone    bool
	// Dead is true if the endpoint's owner can't reach it.
	Dead bool
	// Report is the last load report, and Heard the time of the poll that returned
	// it. Heard is zero if there has been no report.
	Report lavengine.LoadReport
	Heard  time.Time
	// Silence is the maximum age of a report before the endpoint counts as silent.
	// Values below silenceTimeout have no effect.
	Silence time.Duration
}

// Lifecycle is the lifecycle state of one endpoint.
type Lifecycle struct {
	Phase Phase
	// Limit is the maximum number of tokens that the endpoint can process at a
	// time.
	Limit int
	// reported is true once a report of the endpoint has been evaluated.
	// rampPending is true from the time at which the endpoint is cold, out or
	// leaving, or has restarted, until its limit has been raised to the full
	// capacity.
	reported    bool
	rampPending bool
	lastStep    time.Time
	incarnation lavengine.Incarnation
}

// Next returns the state that follows l, given the evidence at time now. The most
// cautious source decides: a single source is enough to put the endpoint out or to
// mark it as leaving. An endpoint that returns to service starts with the limit of
// a cold endpoint. The limit doubles after each rampStep, provided that no work is
// waiting at the endpoint.
func (l Lifecycle) Next(e Evidence, now time.Time) Lifecycle {
	next := l
	r := &e.Report
	if r.Incarnation != l.incarnation && l.reported {
		next.rampPending, next.Limit = true, 0
	}
	next.incarnation = r.Incarnation
	switch {
	case e.Heard.IsZero():
		next.Phase, next.Limit = PhaseOut, 0
		return next
	case e.Dead || e.HostGone || now.Sub(e.Heard) > max(e.Silence, silenceTimeout):
		next.Phase = PhaseOut
	case e.Withdrawn || e.HostLeaving:
		next.Phase = PhaseLeaving
	case r.Cold:
		next.Phase = PhaseCold
	case next.rampPending:
		return next.raiseLimit(r, now)
	default:
		next.Phase, next.Limit, next.reported = PhaseReady, r.MemoryTokens, true
		return next
	}
	next.reported, next.rampPending, next.Limit, next.lastStep = true, true, 0, time.Time{}
	if next.Phase == PhaseCold {
		next.Limit = r.ColdLimit
	}
	return next
}

// raiseLimit applies one step of the ramp of a warming endpoint.
func (l Lifecycle) raiseLimit(r *lavengine.LoadReport, now time.Time) Lifecycle {
	l.Phase, l.reported = PhaseWarming, true
	switch {
	case l.lastStep.IsZero() || l.Limit == 0:
		l.Limit, l.lastStep = r.ColdLimit, now
	case now.Sub(l.lastStep) >= rampStep && r.Waiting == 0:
		l.Limit, l.lastStep = 2*l.Limit, now
	}
	if l.Limit >= r.MemoryTokens || r.ColdLimit == 0 {
		l.Phase, l.Limit, l.rampPending = PhaseReady, r.MemoryTokens, false
	}
	return l
}
