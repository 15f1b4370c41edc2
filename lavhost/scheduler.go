package lavhost

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmember"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Timing and bounds of a scheduler.
const (
	// decideInterval is the time between two decisions while prompts wait.
	decideInterval = 20 * time.Millisecond
	// waitingInterval is the time between two messages that a prompt still waits.
	waitingInterval = 200 * time.Millisecond
	// maxScheduleAge is the age of the totals above which a host doesn't decide for others.
	maxScheduleAge = time.Second
	// maxScheduleInbox bounds the questions that have not been looked at.
	maxScheduleInbox = 2048
	// cellTTL is how long a scheduler remembers a cell without questions. It is longer than hosts
	// report grants, since the numbers begin anew afterwards.
	cellTTL = time.Minute
)

// scheduler decides for all hosts where prompts run, in the cells of which this host is the
// scheduler.
type scheduler struct {
	choice *schedulerChoice
	fleet  *lavfleet.Fleet
	// reply sends a response to a host, which may be this one.
	reply func(to lavmember.Member, r scheduleResponse)
	wake  chan struct{}
	// prompts is true while prompts wait, which new totals may place.
	prompts atomic.Bool
	// decided and declined count the questions. cellCount is the number of cells of which this host is
	// the scheduler and was asked lately, and waiting that of the prompts that wait.
	decided, declined  tally.Counter
	cellCount, waiting tally.Gauge

	mu          sync.Mutex
	inbox       scheduleInbox
	settlements settlements

	// cells and work are used by Serve only. work is the time spent on decisions.
	cells map[cellID]*scheduleCell
	work  workBudget
}

// scheduleInbox is what has come since the last decision.
type scheduleInbox struct {
	requests []scheduleRequest
	cancels  []scheduleCancel
	settled  []settledGrant
}

func newScheduler(choice *schedulerChoice, fleet *lavfleet.Fleet, socket *lavdatagram.Socket, logger *log.Logger, scope tally.Scope) *scheduler {
	sub := scope.SubScope("scheduler")
	s := &scheduler{
		choice:    choice,
		fleet:     fleet,
		wake:      make(chan struct{}, 1),
		decided:   sub.Counter("decided"),
		declined:  sub.Counter("declined"),
		cellCount: sub.Gauge("cells"),
		waiting:   sub.Gauge("waiting"),
		cells:     make(map[cellID]*scheduleCell),
	}
	handleDatagrams(socket, lavdatagram.KindScheduleRequest, logger, s.request)
	handleDatagrams(socket, lavdatagram.KindScheduleCancel, logger, s.cancel)
	handleDatagrams(socket, lavdatagram.KindGrants, logger, s.settle)
	return s
}

// request takes a question in.
func (s *scheduler) request(r scheduleRequest) {
	s.mu.Lock()
	if len(s.inbox.requests) < maxScheduleInbox {
		s.inbox.requests = append(s.inbox.requests, r)
	}
	s.mu.Unlock()
	s.notify()
}

// cancel takes a question back.
func (s *scheduler) cancel(c scheduleCancel) {
	s.mu.Lock()
	if len(s.inbox.cancels) < maxScheduleInbox {
		s.inbox.cancels = append(s.inbox.cancels, c)
	}
	s.mu.Unlock()
	s.notify()
}

// settle takes in which placements the totals contain.
func (s *scheduler) settle(t grantTotals) {
	s.mu.Lock()
	s.inbox.settled = append(s.inbox.settled, s.settlements.add(t)...)
	s.mu.Unlock()
}

// totalsApplied says that this host has applied the totals with a number.
func (s *scheduler) totalsApplied(aggregator string, number uint64) {
	s.mu.Lock()
	s.inbox.settled = append(s.inbox.settled, s.settlements.apply(aggregator, number)...)
	settled := len(s.inbox.settled) > 0
	s.mu.Unlock()
	if settled || s.prompts.Load() {
		s.notify()
	}
}

// settleOwn says that the load of this host contains its placements up to a grant.
func (s *scheduler) settleOwn(cell nameHash, grant uint64) {
	own := settledGrant{Cell: cell, Host: hashName(s.choice.views.Self().Incarnation), Grant: grant}
	s.mu.Lock()
	s.inbox.settled = append(s.inbox.settled, own)
	s.mu.Unlock()
}

func (s *scheduler) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take returns what has come since the last call.
func (s *scheduler) take() scheduleInbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.inbox
	s.inbox = scheduleInbox{}
	return in
}

// Serve implements suture.Service. It decides when questions or totals come, and every
// decideInterval while prompts wait.
func (s *scheduler) Serve(ctx context.Context) error {
	for {
		interval := decideInterval
		if s.decide() == 0 {
			interval = sweepInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// decide answers the questions that can be answered now, and returns the number of those that wait.
func (s *scheduler) decide() int {
	in := s.take()
	for _, r := range in.requests {
		s.cell(r.Cell).receive(r)
	}
	for _, c := range in.cancels {
		if cell := s.cells[c.Cell]; cell != nil {
			cell.cancel(c)
		}
	}
	s.settleCells(in.settled)
	now := time.Now()
	chosen, waiting := 0, 0
	for id, cell := range s.cells {
		s.decideCell(cell)
		waiting += len(cell.open)
		if len(cell.received) > 0 {
			s.notify()
		}
		if s.chosen(id) {
			chosen++
		}
		if now.Sub(cell.usedAt) > cellTTL {
			delete(s.cells, id)
		}
	}
	s.prompts.Store(waiting > 0)
	s.cellCount.Update(float64(chosen))
	s.waiting.Update(float64(waiting))
	return waiting
}

// settleCells records which placements the loads contain.
func (s *scheduler) settleCells(settled []settledGrant) {
	for _, cell := range s.cells {
		cell.settle(settled)
	}
}

// maxSnapshots bounds how often a snapshot is made again because it may contain placements that the
// account still has.
const maxSnapshots = 4

// snapshot returns the endpoints of a service, after it has dropped from the account what their loads
// contain.
func (s *scheduler) snapshot(service string) (b lavfleet.Snapshot, known bool) {
	for range maxSnapshots {
		b, known = s.fleet.SharedSnapshot(service)
		settled := s.takeSettled()
		if len(settled) == 0 {
			break
		}
		s.settleCells(settled)
	}
	return b, known
}

// takeSettled returns which placements the loads have contained since the last call.
func (s *scheduler) takeSettled() []settledGrant {
	s.mu.Lock()
	defer s.mu.Unlock()
	settled := s.inbox.settled
	s.inbox.settled = nil
	return settled
}

// cell returns the state of a cell.
func (s *scheduler) cell(id cellID) *scheduleCell {
	c := s.cells[id]
	if c == nil {
		account := accountID{Scheduler: hashName(s.choice.views.Self().Incarnation), Cell: id.hash()}
		c = newScheduleCell(id, account, rand.Float64)
		s.cells[id] = c
	}
	return c
}

// chosen reports whether this host takes itself for the scheduler of a cell.
func (s *scheduler) chosen(cell cellID) bool {
	m, _ := s.choice.schedulerOf(cell)
	return s.choice.active() && m.Incarnation == s.choice.views.Self().Incarnation
}

// decideCell decides in one cell and sends the responses.
func (s *scheduler) decideCell(c *scheduleCell) {
	if len(c.open) == 0 {
		return
	}
	start := time.Now()
	responses := s.answer(start, c)
	s.work.spend(time.Now(), time.Since(start))
	view := s.choice.views.View()
	for _, r := range responses {
		s.count(r.Verdict)
		if host, ok := view.Member(r.host); ok {
			s.reply(host, r.scheduleResponse)
		}
	}
}

// answer returns the responses of a cell that are due. This host declines if it isn't the scheduler
// of the cell or doesn't know the loads. If it has too much to decide, it declines what is new.
func (s *scheduler) answer(now time.Time, c *scheduleCell) []addressedResponse {
	if s.work.exhausted(now) {
		return c.declineReceived()
	}
	snapshot, known := s.snapshot(c.id.Service)
	if !known || !s.chosen(c.id) || snapshot.Service.Engine == nil || snapshot.Age > maxScheduleAge {
		return c.decline()
	}
	return c.decide(now, snapshot)
}

// count counts a response.
func (s *scheduler) count(v scheduleVerdict) {
	switch v {
	case verdictDeclined:
		s.declined.Inc(1)
	case verdictPlaced, verdictRefused:
		s.decided.Inc(1)
	case verdictWaiting:
	}
}
