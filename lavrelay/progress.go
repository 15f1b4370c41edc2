package lavrelay

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavcrash"
)

// progress tracks when events of a stream arrive. Only events count: an endpoint that sends
// a byte or a comment now and then makes no progress.
type progress struct {
	task      *task
	placement *placement
	response  *lavconn.Response
	// ctx is the context of the call, for queries of a slow endpoint.
	ctx context.Context
	// begun is true once an event has arrived, the first one at firstEventAt and the last one at
	// lastEventAt.
	begun                     bool
	firstEventAt, lastEventAt time.Time
}

func (t *task) newProgress(ctx context.Context, c *placement, response *lavconn.Response) *progress {
	return &progress{task: t, placement: c, response: response, ctx: ctx}
}

// awaitCaller waits while the stream must not be read any further because its caller is behind. The
// time counts neither as silence nor as a gap of the endpoint.
func (p *progress) awaitCaller() error {
	if !p.task.spool.heldBack() {
		return nil
	}
	if err := p.task.awaitCaller(p.ctx, p.response); err != nil {
		return err
	}
	p.lastEventAt = time.Now()
	return nil
}

// recordEvent records that an event has arrived.
func (p *progress) recordEvent() {
	now := time.Now()
	switch {
	case !p.begun:
		p.firstEventAt = now
		p.task.stopWatch()
		p.placement.run.RecordFirstEvent()
	case p.placement.run.RecordGap(now.Sub(p.lastEventAt)):
		p.task.querySlowdown(p.ctx, p.placement.endpoint)
	}
	p.begun, p.lastEventAt = true, now
	if !p.task.survived && now.Sub(p.firstEventAt) >= lavcrash.SurvivalTime {
		p.task.survived = true
		p.task.relay.suspects.Survived(p.task.call)
	}
	p.task.reservations.heard.Store(true)
	p.task.trace.recordEvent(p.placement.run)
	p.response.RestartSilence()
}
