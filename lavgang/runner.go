package lavgang

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Times and bounds of a runner.
const (
	// maxGangs bounds the gangs of one host that hold memory at a time.
	maxGangs = 2
	// maxLost bounds the engines that one prompt may lose.
	maxLost      = 8
	againFirst   = 200 * time.Millisecond
	againLongest = 3 * time.Second
	callTimeout  = 2 * time.Second
	renewEvery   = 2 * time.Second
	runTime      = 2 * time.Minute
	// retryAfterNoRoom is what a caller is told while too many engines are
	// away.
	retryAfterNoRoom = 5 * time.Second
)

// errNoRoom means that no failure domain has the memory now.
var errNoRoom = errors.New("no failure domain has enough free memory")

// Endpoints tells what endpoints there are.
type Endpoints interface {
	Snapshot() *lavendpoint.Snapshot
}

// Parts are what a runner is made of.
type Parts struct {
	Endpoints Endpoints
	Engine    func(e *lavendpoint.Endpoint) lavengine.Engine
	// Confirm returns a report of the endpoint that is fresh enough to begin
	// work there.
	Confirm  func(ctx context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error)
	Live     *lavstream.ActiveStreams
	Suspects *lavretry.Suspects
	// Estimate, if not nil, returns how long a prompt takes among the others.
	Estimate func(r *lavrequest.Request) time.Duration
	Scope    tally.Scope
}

// Runner runs prompts by gangs.
type Runner struct {
	parts Parts
	slots chan struct{}
	pace  pace
}

// NewRunner returns a runner made of those parts.
func NewRunner(parts Parts) *Runner {
	return &Runner{parts: parts, slots: make(chan struct{}, maxGangs)}
}

// singlePart is the part of an engine's memory above which one engine is not
// enough: it would have to be empty, and would keep every other prompt out.
const singlePart = 0.75

// Needs reports whether a request is longer than any one engine that serves it
// can hold beside other work.
func (g *Runner) Needs(r *lavrequest.Request) bool {
	largest := 0
	for _, e := range g.parts.Endpoints.Snapshot().Endpoints {
		if e.Serves(r.Model, r.Adapter) {
			largest = max(largest, e.Report.MemoryTokens)
		}
	}
	return largest > 0 && float64(r.TotalTokens()) > singlePart*float64(largest)
}

// Run runs a job until its whole answer is delivered, and frees its memory
// however it ends. A prompt that can't be held, or not read in time, is refused
// at once.
func (g *Runner) Run(ctx context.Context, job *lavstream.Job) (lavretry.Attempts, error) {
	r := &run{
		Runner:   g,
		job:      job,
		segments: cut(job.Text),
		delivery: lavstream.NewDelivery(0, job.Emit),
	}
	if err := g.admit(r); err != nil {
		return r.attempts, err
	}
	g.pace.begin(r.left())
	defer func() { g.pace.end(r.left()) }()
	select {
	case g.slots <- struct{}{}:
		defer func() { <-g.slots }()
	case <-ctx.Done():
		return r.attempts, lavstep.Wrap(ctx.Err(), lavstep.Admit, "")
	}
	r.marked = time.Now()
	ctx, end := g.parts.Live.Register(ctx, job.Request.ID)
	defer end()
	g.parts.Scope.Counter("gangs").Inc(1)
	err := r.run(ctx)
	r.end(ctx, err)
	return r.attempts, err
}

// admit refuses what has killed engines, what no domain could hold, and what
// can't be read in time even if nothing else ran.
func (g *Runner) admit(r *run) error {
	request, snapshot := r.job.Request, g.parts.Endpoints.Snapshot()
	if verdict := g.parts.Suspects.Check(request.Fingerprint); verdict.Action == lavretry.ActionRefuse {
		return quarantined(verdict)
	}
	if !fits(snapshot, request, r.segments, soon) {
		refusal := &lavqueue.Refusal{Reason: lavqueue.ReasonNoEndpoint}
		if fits(snapshot, request, r.segments, known) {
			refusal.RetryAfter = retryAfterNoRoom
		}
		return refusal
	}
	r.alone = rateOf(snapshot, request)
	if !r.alone.known() {
		return nil
	}
	answer := r.alone.answer(request.MaxTokens)
	if r.hopeless(time.Now()) {
		return &lavqueue.Refusal{Reason: lavqueue.ReasonDeadline}
	}
	if spare := time.Until(request.Deadline) - g.estimate(request, answer); spare < 0 {
		return &lavqueue.Refusal{Reason: lavqueue.ReasonDeadline, RetryAfter: max(-spare, retryAfterNoRoom)}
	}
	return nil
}

// estimate returns how long a prompt takes whose answer takes that long. Until
// this host has measured its gangs' own pace, it goes by that of the others.
func (g *Runner) estimate(r *lavrequest.Request, answer time.Duration) time.Duration {
	if own, known := g.pace.estimate(r.PromptTokens); known {
		return own + answer
	}
	if g.parts.Estimate == nil {
		return 0
	}
	return g.parts.Estimate(r)
}
