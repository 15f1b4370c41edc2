package lavstream

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavdispatch"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Limits of a relay.
const (
	initialRetryDelay = 25 * time.Millisecond
	maxRetryDelay     = time.Second
	// maxAvoidedEndpoints is the number of endpoints that a retry avoids at
	// most.
	maxAvoidedEndpoints = 4
	// avoidTimeout is how long a retry waits for an endpoint at which the
	// request has not failed yet. After it, the retry accepts any endpoint.
	avoidTimeout = 300 * time.Millisecond
	// maxRunDuration is how long a run counts as running for its fingerprint if
	// the end of the run is never reported.
	maxRunDuration = 2 * time.Minute
)

// Dispatcher assigns requests to endpoints.
type Dispatcher interface {
	AssignWith(ctx context.Context, r *lavrequest.Request, o lavdispatch.Options) (*lavdispatch.Assignment, error)
}

// Dependencies are the components that a relay uses.
type Dependencies struct {
	Dispatcher Dispatcher
	Engine     func(e *lavendpoint.Endpoint) lavengine.Engine
	// Confirm returns a load report of the endpoint that is recent enough to
	// submit a prompt there.
	Confirm       func(ctx context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error)
	Suspects      *lavretry.Suspects
	ActiveStreams *ActiveStreams
	Cleanup       *Cleanup
	// Customers and Endpoints are the retry budgets by customer and by
	// endpoint.
	Customers *lavretry.Budget[string]
	Endpoints *lavretry.Budget[string]
	Scope     tally.Scope
}

// Relay runs prompts at endpoints and delivers their answers.
type Relay struct {
	deps Dependencies
}

// NewRelay returns a relay that uses deps.
func NewRelay(deps Dependencies) *Relay { return &Relay{deps: deps} }

// Job is a prompt to run.
type Job struct {
	Request *lavrequest.Request
	Text    string
	// Resumable is true if the caller may resume the stream at another entry
	// host.
	Resumable bool
	Emit      EmitFunc
}

// errConcurrentRun means that the request is suspected of killing endpoints and
// has to wait until another run with its fingerprint has ended.
var errConcurrentRun = errors.New("another run of a suspect request is in progress")

// jobRun is the state of one job while the relay runs it.
type jobRun struct {
	*Relay
	job          *Job
	delivery     *Delivery
	attempts     lavretry.Attempts
	avoided      []string
	mustRunAlone bool
}

// Run runs a job until its whole answer is delivered. The returned attempts
// show whether any byte of the request may have reached an endpoint.
func (r *Relay) Run(ctx context.Context, job *Job) (lavretry.Attempts, error) {
	ctx, end := r.deps.ActiveStreams.Register(ctx, job.Request.ID)
	defer end()
	j := &jobRun{Relay: r, job: job, delivery: NewDelivery(0, job.Emit)}
	err := j.run(ctx)
	return j.attempts, err
}

// run retries until the answer is complete, the error is permanent, or a retry
// budget is exhausted.
func (j *jobRun) run(ctx context.Context) error {
	backoff := lavretry.Backoff{First: initialRetryDelay, Longest: maxRetryDelay}
	for {
		err := j.tryEndpoint(ctx)
		if err == nil {
			j.deps.Customers.RecordSuccess(j.job.Request.Customer)
			return nil
		}
		if ctx.Err() != nil || !j.mayRetry(err) {
			return err
		}
		if waitErr := backoff.Wait(ctx); waitErr != nil {
			return errors.Mark(err, waitErr)
		}
		j.deps.Scope.Counter("retries").Inc(1)
	}
}

// mayRetry reports whether another attempt could succeed and the retry budgets
// allow it. Waiting for another run of a suspect request uses no budget.
func (j *jobRun) mayRetry(err error) bool {
	if errors.Is(err, errConcurrentRun) {
		return true
	}
	if !errors.IsAny(err, lavengine.ErrNotSent, lavengine.ErrRefused, lavengine.ErrBroken, lavengine.ErrGone) {
		return false
	}
	failed := ""
	if len(j.avoided) > 0 {
		failed = j.avoided[len(j.avoided)-1]
	}
	allowed := j.deps.Customers.Spend(j.job.Request.Customer) && j.deps.Endpoints.Spend(failed)
	if !allowed {
		j.deps.Scope.Counter("retries_over_budget").Inc(1)
	}
	return allowed
}
