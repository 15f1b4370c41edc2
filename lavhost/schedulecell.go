package lavhost

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
)

// scheduleCell is the state of the scheduler of one cell. It is not safe for concurrent use.
type scheduleCell struct {
	id        cellID
	account   accountID
	scheduler *lavplan.Scheduler
	// received are the questions that the scheduler has not been asked yet, and open all without an
	// answer.
	received []scheduleRequest
	open     map[lavplan.AskID]*openQuestion
	// hosts are the incarnations of the hosts that have asked.
	hosts  map[nameHash]string
	usedAt time.Time
}

// openQuestion is a question without an answer.
type openQuestion struct {
	giveUp time.Time
	// passed is true once the scheduler has been asked.
	passed bool
	// toldAt is when its host was last told that it waits.
	toldAt time.Time
}

// addressedResponse is a response with the incarnation of the host that it is for.
type addressedResponse struct {
	scheduleResponse
	host string
}

func newScheduleCell(id cellID, account accountID, draw func() float64) *scheduleCell {
	return &scheduleCell{
		id:        id,
		account:   account,
		scheduler: lavplan.NewScheduler(draw),
		open:      make(map[lavplan.AskID]*openQuestion),
		hosts:     make(map[nameHash]string),
	}
}

// receive adds a question.
func (c *scheduleCell) receive(r scheduleRequest) {
	now := time.Now()
	c.usedAt = now
	c.hosts[hashName(r.Host)] = r.Host
	if c.open[r.askID()] != nil || r.Left <= 0 {
		return
	}
	c.open[r.askID()] = &openQuestion{giveUp: now.Add(r.Left)}
	c.received = append(c.received, r)
}

// cancel drops a question. One that is answered already is none any more.
func (c *scheduleCell) cancel(m scheduleCancel) {
	id := lavplan.AskID{Host: m.Host, Number: m.Number}
	c.drop(id)
	c.received = slices.DeleteFunc(c.received, func(r scheduleRequest) bool { return r.askID() == id })
}

func (c *scheduleCell) drop(id lavplan.AskID) {
	delete(c.open, id)
	c.scheduler.Cancel(id)
}

// settle records which placements the loads contain.
func (c *scheduleCell) settle(settled []settledGrant) {
	for _, g := range settled {
		if host, ok := c.hosts[g.Host]; ok && g.Cell == c.account.Cell {
			c.scheduler.Settle(host, g.Grant)
		}
	}
}

// decline drops all questions and returns responses that say so.
func (c *scheduleCell) decline() []addressedResponse {
	c.received = nil
	out := make([]addressedResponse, 0, len(c.open))
	for id := range c.open {
		c.drop(id)
		out = append(out, c.respond(id, verdictDeclined))
	}
	return out
}

// declineReceived drops the questions that the scheduler has not been asked yet, and returns
// responses that say so.
func (c *scheduleCell) declineReceived() []addressedResponse {
	out := make([]addressedResponse, 0, len(c.received))
	for _, r := range c.received {
		delete(c.open, r.askID())
		out = append(out, c.respond(r.askID(), verdictDeclined))
	}
	c.received = nil
	return out
}

func (c *scheduleCell) respond(id lavplan.AskID, v scheduleVerdict) addressedResponse {
	return addressedResponse{scheduleResponse{Number: id.Number, Verdict: v, Account: c.account}, id.Host}
}

// decide returns the responses that are due: the decisions, and the news that prompts wait.
func (c *scheduleCell) decide(now time.Time, b lavfleet.Snapshot) []addressedResponse {
	view := c.view(b)
	c.passReceived(now, view)
	var out []addressedResponse
	for _, d := range c.scheduler.Decide(now, view) {
		delete(c.open, d.ID)
		out = append(out, addressedResponse{newScheduleResponse(d, c.account), d.ID.Host})
	}
	for id, q := range c.open {
		if q.passed && !now.Before(q.giveUp) {
			c.drop(id)
			continue
		}
		if q.passed && now.Sub(q.toldAt) >= waitingInterval {
			q.toldAt = now
			out = append(out, c.respond(id, verdictWaiting))
		}
	}
	return out
}

// maxBatch bounds the questions on which the scheduler decides at a time, so that the answers to the
// first don't wait for the last.
const maxBatch = 16

// passReceived passes the first questions that have come to the scheduler.
func (c *scheduleCell) passReceived(now time.Time, view lavplan.View) {
	if len(c.received) == 0 {
		return
	}
	endpoints := make(map[nameHash]lavconfig.Incarnation, len(view.Endpoints))
	for _, endpoint := range view.Endpoints {
		endpoints[hashIncarnation(endpoint)] = endpoint
	}
	batch := c.received[:min(len(c.received), maxBatch)]
	for _, r := range batch {
		c.open[r.askID()].passed = true
		c.scheduler.Ask(r.ask(now, endpoints))
	}
	c.received = c.received[len(batch):]
}

// view returns the endpoints of the cell.
func (c *scheduleCell) view(b lavfleet.Snapshot) lavplan.View {
	v := lavplan.View{Engine: b.Service.Engine, Absence: b.Absence()}
	for i := range b.Endpoints {
		endpoint := b.Endpoints[i].Incarnation()
		if c.id.contains(endpoint) {
			v.Endpoints = append(v.Endpoints, endpoint)
			v.Candidates = append(v.Candidates, b.Candidates[i])
		}
	}
	return v
}
