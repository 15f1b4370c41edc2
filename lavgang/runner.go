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

// Timeouts, intervals and limits of a runner.
const (
	// maxConcurrentGangs is the maximum number of gangs that one host runs at the
	// same time.
	maxConcurrentGangs = 2
	// maxLostParts is the maximum number of parts that one prompt may lose.
	maxLostParts      = 8
	minRetryDelay     = 200 * time.Millisecond
	maxRetryDelay     = 3 * time.Second
	callTimeout       = 2 * time.Second
	renewInterval     = 2 * time.Second
	suspectRunTimeout = 2 * time.Minute
	// retryAfterNoMemory is the Retry-After time of a refusal while too few
	// engines are available. It is also the shortest Retry-After time of a
	// refusal because the deadline would be missed.
	retryAfterNoMemory = 5 * time.Second
)

// errNoMemory means that no failure domain has enough free memory now.
var errNoMemory = errors.New("no failure domain has enough free memory")

// Endpoints provides snapshots of the known endpoints.
type Endpoints interface {
	Snapshot() *lavendpoint.Snapshot
}

// Config holds the dependencies of a Runner.
type Config struct {
	Endpoints Endpoints
	Engine    func(e *lavendpoint.Endpoint) lavengine.Engine
	// Confirm returns a load report of the endpoint that is recent enough to
	// start work there.
	Confirm  func(ctx context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error)
	Live     *lavstream.ActiveStreams
	Cleanup  *lavstream.Cleanup
	Suspects *lavretry.Suspects
	// Estimate, if not nil, returns the expected time for a request. It is used
	// while this host has not measured a gang of its own.
	Estimate func(r *lavrequest.Request) time.Duration
	Scope    tally.Scope
}

// Runner runs prompts on gangs of engines.
type Runner struct {
	// parts holds the dependencies of the runner.
	parts     Config
	slots     chan struct{}
	estimator prefillEstimator
}

// NewRunner returns a runner with the given dependencies.
func NewRunner(config Config) *Runner {
	return &Runner{parts: config, slots: make(chan struct{}, maxConcurrentGangs)}
}

// maxSingleEngineShare is the fraction of an engine's memory up to which a
// request runs on a single engine. A larger request would need an engine that is
// almost empty, and would block all other requests there.
const maxSingleEngineShare = 0.75

// NeedsGang reports whether a request needs a gang, because no engine that serves it
// can hold it next to other requests.
func (g *Runner) NeedsGang(r *lavrequest.Request) bool {
	largest := 0
	for _, e := range g.parts.Endpoints.Snapshot().Endpoints {
		if e.Serves(r.Model, r.Adapter) {
			largest = max(largest, e.Report.MemoryTokens)
		}
	}
	return largest > 0 && float64(r.TotalTokens()) > maxSingleEngineShare*float64(largest)
}

// Run runs a job until its whole answer is delivered, and releases its memory
// whether it succeeds or fails. It refuses immediately a prompt that the engines
// can't hold or that is expected to miss its deadline.
func (g *Runner) Run(ctx context.Context, job *lavstream.Job) (lavretry.Attempts, error) {
	r := &promptRun{
		Runner:   g,
		job:      job,
		segments: splitPrompt(job.Text),
		delivery: lavstream.NewDelivery(0, job.Emit),
	}
	if err := g.admit(r); err != nil {
		return r.attempts, err
	}
	g.estimator.addPrompt(r.remainingTokens())
	defer func() { g.estimator.removeTokens(r.remainingTokens()) }()
	select {
	case g.slots <- struct{}{}:
		defer func() { <-g.slots }()
	case <-ctx.Done():
		return r.attempts, lavstep.Wrap(ctx.Err(), lavstep.Admit, "")
	}
	r.lastProgress = time.Now()
	ctx, end := g.parts.Live.Register(ctx, job.Request.ID)
	defer end()
	g.parts.Scope.Counter("gangs").Inc(1)
	err := r.execute(ctx)
	r.finish(ctx, err)
	return r.attempts, err
}

// admit refuses a prompt that is quarantined, that no failure domain can hold,
// or that is expected to miss its deadline.
func (g *Runner) admit(r *promptRun) error {
	request, snapshot := r.job.Request, g.parts.Endpoints.Snapshot()
	if verdict := g.parts.Suspects.Check(request); verdict.Action == lavretry.ActionRefuse {
		return lavstream.QuarantineRefusal(verdict)
	}
	if !fitsWhenEmpty(snapshot, request, r.segments, acceptsWork) {
		refusal := &lavqueue.Refusal{Reason: lavqueue.ReasonNoEndpoint}
		if fitsWhenEmpty(snapshot, request, r.segments, anyPhase) {
			refusal.RetryAfter = retryAfterNoMemory
		}
		return refusal
	}
	r.idle = fastestRates(snapshot, request)
	if !r.idle.known() {
		return nil
	}
	decodeTime := r.idle.decodeTime(request.MaxTokens)
	if r.cannotMeetDeadline(time.Now()) {
		return &lavqueue.Refusal{Reason: lavqueue.ReasonDeadline}
	}
	if slack := time.Until(request.Deadline) - g.estimateTime(request, decodeTime); slack < 0 {
		return &lavqueue.Refusal{Reason: lavqueue.ReasonDeadline, RetryAfter: max(-slack, retryAfterNoMemory)}
	}
	return nil
}

// estimateTime returns the expected time for a prompt whose answer takes the
// given time to decode. Until this host has measured the prefill rate of its
// gangs, it uses Config.Estimate.
func (g *Runner) estimateTime(r *lavrequest.Request, decodeTime time.Duration) time.Duration {
	if measured, known := g.estimator.estimate(r.PromptTokens); known {
		return measured + decodeTime
	}
	if g.parts.Estimate == nil {
		return 0
	}
	return g.parts.Estimate(r)
}
