package lavrelay

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
)

// Scheduler decides for all hosts where the prompts for model engines run.
type Scheduler interface {
	// Active reports whether there are schedulers for a fleet of this size.
	Active() bool
	// Place asks where a prompt for a service should run, and waits for the decision. It returns
	// false if nobody decides in time.
	Place(ctx context.Context, service string, a lavplan.Ask) (Placing, bool)
}

// Placing is the decision of a scheduler.
type Placing struct {
	lavplan.Decision
	// Host is the host that decided.
	Host string
	// Counted must be called once for each prompt that was placed: the load of this host
	// contains the run, or there is none.
	Counted func()
}

// noScheduler leaves all decisions to this host.
type noScheduler struct{}

func (noScheduler) Active() bool { return false }

func (noScheduler) Place(context.Context, string, lavplan.Ask) (Placing, bool) {
	return Placing{}, false
}

// chooseScheduled lets the scheduler of the service select endpoints, and counts the run on them.
// It returns false if this host has to select by itself.
func (t *task) chooseScheduled(ctx context.Context) (*placement, Outcome, bool) {
	if !t.relay.scheduler.Active() || t.relay.fleet.Engine(t.call.Service) == nil {
		return nil, 0, false
	}
	snapshot, ok := t.relay.fleet.Snapshot(t.call.Service, t.hasTried)
	if !ok || len(snapshot.Candidates) == 0 {
		return nil, 0, false
	}
	start := time.Now()
	a := t.ask()
	a.Excluded = excluded(snapshot)
	p, ok := t.relay.scheduler.Place(ctx, t.call.Service, a)
	t.trace.recordQuestion(p.Host, ok, time.Since(start))
	switch {
	case ctx.Err() != nil:
		p.cancel()
		return nil, OutcomeFull, true
	case !ok:
		return nil, 0, false
	case p.Grant == 0:
		return t.refuseScheduled(snapshot, p)
	default:
		t.trace.recordPlan(snapshot, p.Plan)
		c := t.beginScheduled(snapshot, p)
		t.trace.waited = time.Since(start)
		return c, 0, c != nil
	}
}

// cancel records that there will be no run of a prompt, if it was placed.
func (p Placing) cancel() {
	if p.Counted != nil {
		p.Counted()
	}
}

// ask returns the question where the call should run.
func (t *task) ask() lavplan.Ask {
	// The caller of a stream that has begun has waited since its last event.
	silentSince := t.call.Arrived
	if t.trace.lastEvent.After(silentSince) {
		silentSince = t.trace.lastEvent
	}
	giveUp := silentSince.Add(t.call.Prompt.AbandonAfter())
	if t.call.Deadline.Before(giveUp) {
		giveUp = t.call.Deadline
	}
	return lavplan.Ask{Prompt: t.call.Prompt, Arrived: t.call.Arrived, GiveUp: giveUp}
}

// excluded returns the endpoints that this host should not use although others may. Those in
// backoff are among them, unless all are.
func excluded(b lavfleet.Snapshot) map[lavconfig.Incarnation]bool {
	out := make(map[lavconfig.Incarnation]bool, len(b.Barred))
	for _, life := range b.Barred {
		out[life] = true
	}
	if lavplan.CountInBackoff(b.Candidates) == len(b.Candidates) {
		return out
	}
	for i, c := range b.Candidates {
		if c.InBackoff {
			out[b.Endpoints[i].Incarnation()] = true
		}
	}
	return out
}

// refuseScheduled refuses a call as the scheduler decided. This host selects by itself for a call
// that may have run, since that one is not refused for want of capacity. It doesn't for others: all
// hosts that the scheduler refuses a place would send to the same few endpoints.
func (t *task) refuseScheduled(b lavfleet.Snapshot, p Placing) (*placement, Outcome, bool) {
	if t.arrivals > 0 {
		return nil, 0, false
	}
	t.trace.recordPlan(b, p.Plan)
	t.retryAfter = p.RetryAfter
	return nil, OutcomeFull, true
}

// beginScheduled counts the run on the endpoints that the scheduler selected. It returns nil if
// this host doesn't know one of them, or may not use it.
func (t *task) beginScheduled(b lavfleet.Snapshot, p Placing) *placement {
	defer p.Counted()
	primary, ok := t.relay.fleet.Endpoint(p.Primary)
	if !ok {
		return nil
	}
	c := &placement{endpoint: primary, plan: p.Plan, engine: b.Service.Engine, known: b.Candidate(p.Primary)}
	for _, life := range p.Helpers {
		helper, ok := t.relay.fleet.Endpoint(life)
		if !ok {
			return nil
		}
		c.helpers = append(c.helpers, helper)
	}
	return t.beginRun(c)
}

// recordQuestion records who decided on the last question, if anybody did, and how long it took. A
// decision takes long if the call waits for the prefill of others.
func (t *trace) recordQuestion(host string, decided bool, took time.Duration) {
	t.scheduler = host
	t.asked += took
	t.recordWait(decided, took)
}
