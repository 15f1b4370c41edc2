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
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/lavrelay"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// Timing of questions to schedulers.
const (
	// answerTimeout is how long a host waits for the first sign of a scheduler, and signTimeout for
	// the next one while a prompt waits there.
	answerTimeout = 40 * time.Millisecond
	signTimeout   = 500 * time.Millisecond
	// maxUnanswered questions in a row to a scheduler make a host ask it nothing for avoidTime.
	maxUnanswered = 2
	avoidTime     = time.Second
	// maxSigns is how many responses to a question wait to be read.
	maxSigns = 4
)

// scheduleClient asks schedulers where the prompts of this host should run.
type scheduleClient struct {
	choice *schedulerChoice
	fleet  *lavfleet.Fleet
	socket *lavdatagram.Socket
	logger *log.Logger
	// own is the scheduler on this host.
	own    *scheduler
	counts scheduleCounts

	// number is that of the last question.
	number atomic.Uint64

	mu sync.Mutex
	// open holds the channels of the responses to the questions without an answer.
	open map[uint64]chan scheduleResponse
	// unanswered holds the schedulers, by incarnation, that have not answered the last question.
	unanswered map[string]silentScheduler
	grants     grantLog
}

// silentScheduler is a scheduler that has not answered.
type silentScheduler struct {
	questions  int
	avoidUntil time.Time
}

// scheduleCounts counts what became of questions.
type scheduleCounts struct {
	asked, placed, waited, refused, unanswered, declined tally.Counter
	took                                                 tally.Histogram
}

// Buckets of the time that questions take.
const (
	minTookBucket    = time.Millisecond
	tookBucketFactor = 2
	tookBucketCount  = 12
)

func newScheduleCounts(scope tally.Scope) scheduleCounts {
	return scheduleCounts{
		asked:      scope.Counter("asked"),
		placed:     scope.Counter("placed"),
		waited:     scope.Counter("waited"),
		refused:    scope.Counter("refused"),
		unanswered: scope.Counter("unanswered"),
		declined:   scope.Counter("declined"),
		took:       scope.Histogram("took", tally.MustMakeExponentialDurationBuckets(minTookBucket, tookBucketFactor, tookBucketCount)),
	}
}

// newScheduleClient returns a client, with the scheduler on its host.
func newScheduleClient(socket *lavdatagram.Socket, fleet *lavfleet.Fleet, views lavmesh.Membership, logger *log.Logger, scope tally.Scope) *scheduleClient {
	s := scope.SubScope("schedule")
	choice := &schedulerChoice{views: views}
	c := &scheduleClient{
		choice:     choice,
		fleet:      fleet,
		socket:     socket,
		logger:     logger,
		own:        newScheduler(choice, fleet, socket, logger, scope),
		counts:     newScheduleCounts(s),
		open:       make(map[uint64]chan scheduleResponse),
		unanswered: make(map[string]silentScheduler),
		grants:     newGrantLog(),
	}
	// Numbers differ from those of earlier questions from this address, which may still be answered.
	c.number.Store(uint64(rand.Uint32()))
	c.own.reply = c.reply
	handleDatagrams(socket, lavdatagram.KindScheduleResponse, logger, c.accept)
	return c
}

// Active implements lavrelay.Scheduler.
func (c *scheduleClient) Active() bool { return c.choice.active() }

// Place implements lavrelay.Scheduler.
func (c *scheduleClient) Place(ctx context.Context, service string, a lavplan.Ask) (lavrelay.Placing, bool) {
	cell := c.drawCell(service)
	to, ok := c.choice.schedulerOf(cell)
	if !ok || c.avoids(to) {
		return lavrelay.Placing{}, false
	}
	ctx, stop := context.WithDeadline(ctx, a.GiveUp)
	defer stop()
	start := time.Now()
	answer, ok := c.question(ctx, to, c.newRequest(cell, a))
	c.counts.record(ctx, answer, ok, time.Since(start))
	ok = ok && answer.Verdict != verdictDeclined
	if ctx.Err() == nil {
		c.recordAnswer(to, ok)
	}
	if !ok {
		return lavrelay.Placing{}, false
	}
	return c.placing(to, answer), true
}

// question asks a scheduler and waits for the answer. Without one it takes the question back and
// returns false.
func (c *scheduleClient) question(ctx context.Context, to lavmember.Member, r scheduleRequest) (scheduleResponse, bool) {
	signs := c.openQuestion(r.Number)
	c.ask(to, r)
	answer, ok := c.await(ctx, signs)
	c.closeQuestion(r.Number, signs)
	if !ok {
		c.takeBack(to, scheduleCancel{Number: r.Number, Host: r.Host, Cell: r.Cell})
	}
	return answer, ok
}

// drawCell returns a random cell of a service.
func (c *scheduleClient) drawCell(service string) cellID {
	cells := countCells(c.fleet.CountEndpoints(service))
	return cellID{Service: service, Cell: rand.N(cells), Cells: cells}
}

// newRequest returns a question with a new number.
func (c *scheduleClient) newRequest(cell cellID, a lavplan.Ask) scheduleRequest {
	r := scheduleRequest{
		Number: c.number.Add(1),
		Host:   c.choice.views.Self().Incarnation,
		Cell:   cell,
		Prompt: askedPrompt(a.Prompt),
		Age:    time.Since(a.Arrived),
		Left:   time.Until(a.GiveUp),
	}
	for life := range a.Excluded {
		if cell.contains(life) {
			r.Excluded = append(r.Excluded, hashIncarnation(life))
		}
	}
	return r
}

// openQuestion returns the channel of the responses to a question.
func (c *scheduleClient) openQuestion(number uint64) chan scheduleResponse {
	signs := make(chan scheduleResponse, maxSigns)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[number] = signs
	return signs
}

// ask sends a question to a scheduler, which may be on this host.
func (c *scheduleClient) ask(to lavmember.Member, r scheduleRequest) {
	if to.Incarnation == r.Host {
		c.own.request(r)
		return
	}
	c.send(to, lavdatagram.KindScheduleRequest, r)
}

// takeBack takes a question back from a scheduler, which may be on this host.
func (c *scheduleClient) takeBack(to lavmember.Member, m scheduleCancel) {
	if to.Incarnation == m.Host {
		c.own.cancel(m)
		return
	}
	c.send(to, lavdatagram.KindScheduleCancel, m)
}

// await waits for the answer while the scheduler gives signs. It returns false if there is none.
func (c *scheduleClient) await(ctx context.Context, signs chan scheduleResponse) (scheduleResponse, bool) {
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	waited := false
	for {
		select {
		case <-ctx.Done():
			return scheduleResponse{}, false
		case <-timer.C:
			return scheduleResponse{}, false
		case r := <-signs:
			if r.Verdict != verdictWaiting {
				return r, true
			}
			if !waited {
				waited = true
				c.counts.waited.Inc(1)
			}
			timer.Reset(signTimeout)
		}
	}
}

// closeQuestion ends a question. A placement that nobody has read comes to nothing.
func (c *scheduleClient) closeQuestion(number uint64, signs chan scheduleResponse) {
	c.mu.Lock()
	delete(c.open, number)
	c.mu.Unlock()
	for {
		select {
		case r := <-signs:
			c.countGrant(r)
		default:
			return
		}
	}
}

// placing returns an answer in the form in which the relay uses it.
func (c *scheduleClient) placing(from lavmember.Member, r scheduleResponse) lavrelay.Placing {
	return lavrelay.Placing{Decision: r.decision(c.fleet.KnownEndpoints()), Host: from.Host, Counted: func() { c.countGrant(r) }}
}

// reply sends a response of the scheduler on this host.
func (c *scheduleClient) reply(to lavmember.Member, r scheduleResponse) {
	if to.Incarnation == c.choice.views.Self().Incarnation {
		c.accept(r)
		return
	}
	c.send(to, lavdatagram.KindScheduleResponse, r)
}

// accept takes a response in. One that comes too late is dropped.
func (c *scheduleClient) accept(r scheduleResponse) {
	if !c.deliver(r) {
		c.countGrant(r)
	}
}

// deliver passes a response to the question that it answers, or returns false if there is none.
func (c *scheduleClient) deliver(r scheduleResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Verdict == verdictPlaced {
		c.grants.receive(time.Now(), r.Account, r.Grant)
	}
	select {
	case c.open[r.Number] <- r:
		return true
	default:
		return false
	}
}

// countGrant records that the load of this host contains a placement, or that there is no run.
func (c *scheduleClient) countGrant(r scheduleResponse) {
	if r.Verdict != verdictPlaced {
		return
	}
	c.mu.Lock()
	counted := c.grants.count(r.Account, r.Grant)
	c.mu.Unlock()
	if r.Account.Scheduler == hashName(c.choice.views.Self().Incarnation) {
		c.own.settleOwn(r.Account.Cell, counted)
	}
}

// countedGrants returns the grants that the load of this host contains.
func (c *scheduleClient) countedGrants() []countedGrant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.grants.counted(time.Now())
}

// totalsApplied implements grantAccounts.
func (c *scheduleClient) totalsApplied(aggregator string, number uint64) {
	c.own.totalsApplied(aggregator, number)
}

// settle implements grantAccounts.
func (c *scheduleClient) settle(t grantTotals) { c.own.settle(t) }

// avoids reports whether this host doesn't ask a scheduler for a time.
func (c *scheduleClient) avoids(m lavmember.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unanswered[m.Incarnation].avoidUntil)
}

// recordAnswer records whether a scheduler has answered a question.
func (c *scheduleClient) recordAnswer(m lavmember.Member, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		delete(c.unanswered, m.Incarnation)
		return
	}
	s := c.unanswered[m.Incarnation]
	s.questions++
	if s.questions >= maxUnanswered {
		s.avoidUntil = time.Now().Add(avoidTime)
	}
	c.unanswered[m.Incarnation] = s
}

// record counts what became of a question. One that was taken back counts as asked only.
func (c *scheduleCounts) record(ctx context.Context, r scheduleResponse, answered bool, took time.Duration) {
	c.asked.Inc(1)
	c.took.RecordDuration(took)
	switch {
	case !answered && ctx.Err() == nil:
		c.unanswered.Inc(1)
	case !answered:
	case r.Verdict == verdictPlaced:
		c.placed.Inc(1)
	case r.Verdict == verdictRefused:
		c.refused.Inc(1)
	case r.Verdict == verdictDeclined:
		c.declined.Inc(1)
	}
}

func (c *scheduleClient) send(to lavmember.Member, kind lavdatagram.Kind, message any) {
	data, err := lavdatagram.Encode(kind, message)
	if err != nil {
		c.logger.Error().Err(err).Str("Host", to.Host).Msg("failed to encode a message about the placement of a prompt")
		return
	}
	if to.Datagrams.IsValid() {
		c.socket.Send(to.Datagrams, data)
	}
}
