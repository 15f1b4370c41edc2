package lavstream

import (
	"context"
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavdispatch"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Times and bounds of a relay.
const (
	retryFirst   = 25 * time.Millisecond
	retryLongest = time.Second
	// maxAvoid bounds the endpoints that a retry avoids.
	maxAvoid = 4
	// avoidTime is how long a retry waits for an endpoint that has not failed
	// the request.
	avoidTime = 300 * time.Millisecond
	// runTime bounds how long a run counts against its fingerprint if nobody
	// ends it.
	runTime = 2 * time.Minute
)

// Dispatcher assigns requests to endpoints.
type Dispatcher interface {
	AssignWith(ctx context.Context, r *lavrequest.Request, o lavdispatch.Options) (*lavdispatch.Assignment, error)
}

// Dependencies are what a relay is made of.
type Dependencies struct {
	Dispatcher Dispatcher
	Engine     func(e *lavendpoint.Endpoint) lavengine.Engine
	// Confirm returns a report of the endpoint that is fresh enough to begin
	// work there.
	Confirm  func(ctx context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error)
	Suspects *lavretry.Suspects
	ActiveStreams     *ActiveStreams
	// Customers and Endpoints are the budgets of retries.
	Customers *lavretry.Budget[string]
	Endpoints *lavretry.Budget[string]
	Scope     tally.Scope
}

// Relay runs prompts.
type Relay struct {
	parts Dependencies
}

// NewRelay returns a relay made of those parts.
func NewRelay(parts Dependencies) *Relay { return &Relay{parts: parts} }

// Job is one prompt to run.
type Job struct {
	Request *lavrequest.Request
	Text    string
	// Resumable is true if the caller may take the stream over elsewhere.
	Resumable bool
	Emit      EmitFunc
}

// errBusy means that a suspect must wait for another run of its fingerprint.
var errBusy = errors.New("another run of a suspect request must end first")

// running is one job with what has become of it.
type running struct {
	*Relay
	job      *Job
	delivery *Delivery
	attempts lavretry.Attempts
	avoid    []string
	alone    bool
}

// Run runs a job until its whole answer is delivered. The attempts say whether
// any byte of it may have reached an endpoint.
func (r *Relay) Run(ctx context.Context, job *Job) (lavretry.Attempts, error) {
	ctx, end := r.parts.ActiveStreams.Register(ctx, job.Request.ID)
	defer end()
	j := &running{Relay: r, job: job, delivery: NewDelivery(0, job.Emit)}
	err := j.run(ctx)
	return j.attempts, err
}

// run tries until the answer is whole or nothing more may be tried.
func (j *running) run(ctx context.Context) error {
	backoff := lavretry.Backoff{First: retryFirst, Longest: retryLongest}
	for {
		err := j.try(ctx)
		if err == nil {
			j.parts.Customers.RecordSuccess(j.job.Request.Customer)
			return nil
		}
		if ctx.Err() != nil || !j.mayRetry(err) {
			return err
		}
		if waitErr := backoff.Wait(ctx); waitErr != nil {
			return errors.Mark(err, waitErr)
		}
		j.parts.Scope.Counter("retries").Inc(1)
	}
}

// mayRetry reports whether another endpoint may do better and the budgets
// allow it. Waiting for another run of a suspect costs nothing.
func (j *running) mayRetry(err error) bool {
	if errors.Is(err, errBusy) {
		return true
	}
	if !errors.IsAny(err, lavengine.ErrNotSent, lavengine.ErrRefused, lavengine.ErrBroken, lavengine.ErrGone) {
		return false
	}
	failed := ""
	if len(j.avoid) > 0 {
		failed = j.avoid[len(j.avoid)-1]
	}
	allowed := j.parts.Customers.Spend(j.job.Request.Customer) && j.parts.Endpoints.Spend(failed)
	if !allowed {
		j.parts.Scope.Counter("retries_over_budget").Inc(1)
	}
	return allowed
}

// try goes on with the answer at one endpoint.
func (j *running) try(ctx context.Context) error {
	request := j.job.Request
	verdict := j.parts.Suspects.Check(request.Fingerprint)
	if verdict.Action == lavretry.ActionRefuse {
		return quarantined(verdict)
	}
	alone := j.alone || verdict.Action == lavretry.ActionAlone
	assigned, err := j.assign(ctx, alone)
	if err != nil {
		return err
	}
	defer assigned.Done()
	run := lavretry.Run{
		ID:          fmt.Sprint(request.ID, "-", j.attempts.Len()),
		Fingerprint: request.Fingerprint,
		Endpoint:    assigned.Endpoint.Name,
		Until:       time.Now().Add(runTime),
	}
	verdict = j.parts.Suspects.Begin(ctx, run)
	switch {
	case verdict.Action == lavretry.ActionRefuse:
		return quarantined(verdict)
	case verdict.Action == lavretry.ActionWait:
		// The other run may be at this very endpoint.
		j.avoidNext(run.Endpoint)
		return lavstep.Wrap(errBusy, lavstep.SuspectBegin, run.Endpoint)
	case verdict.Action == lavretry.ActionAlone && !alone:
		j.alone = true
		j.parts.Suspects.End(run, false)
		return lavstep.Wrap(errBusy, lavstep.SuspectBegin, run.Endpoint)
	}
	return j.attempt(ctx, assigned, run)
}

// quarantined refuses a request that has killed endpoints.
func quarantined(v lavretry.Verdict) error {
	return &lavqueue.Refusal{Reason: lavqueue.ReasonQuarantined, RetryAfter: time.Until(v.Until)}
}

// attempt submits the prompt and delivers the answer, and records what became
// of it.
func (j *running) attempt(ctx context.Context, assigned *lavdispatch.Assignment, run lavretry.Run) error {
	source := &EngineStream{
		Engine:      j.parts.Engine(&assigned.Endpoint),
		Endpoint:    assigned.Endpoint.Name,
		Incarnation: assigned.Credit.Incarnation,
		ID:          j.job.Request.ID,
	}
	began := time.Now()
	wrote, err := j.submit(ctx, source, assigned)
	j.attempts.Add(lavretry.Attempt{
		Endpoint: source.Endpoint, Incarnation: source.Incarnation,
		Began: began, Ended: time.Now(), Wrote: wrote, Err: err,
	})
	if err == nil {
		j.parts.Suspects.End(run, true)
		j.parts.Endpoints.RecordSuccess(source.Endpoint)
		return nil
	}
	j.fail(ctx, source, assigned, run, wrote, err)
	return err
}

// errChanged means that an endpoint is no longer what it was when a request was
// assigned to it: it has restarted, or turned cold.
var errChanged = errors.New("endpoint has restarted or turned cold")

// confirm makes sure that the endpoint still bears the request. One that can't be
// asked counts as not reached, and one that has changed as refusing.
func (j *running) confirm(ctx context.Context, assigned *lavdispatch.Assignment) error {
	report, err := j.parts.Confirm(ctx, &assigned.Endpoint)
	credit := &assigned.Credit
	switch {
	case err != nil:
		return errors.Mark(err, lavengine.ErrNotSent)
	case report.Incarnation != credit.Incarnation || report.Cold && !credit.Cold:
		return errors.Mark(errChanged, lavengine.ErrRefused)
	}
	return nil
}

// errExpired means that a request waited for so long between its assignment
// and its sending that a cold endpoint may have been given to others.
var errExpired = errors.New("credit has expired")

// submit sends the prompt and follows its stream. It reports whether the
// request may have run.
func (j *running) submit(ctx context.Context, source *EngineStream, assigned *lavdispatch.Assignment) (bool, error) {
	request := j.job.Request
	if err := j.confirm(ctx, assigned); err != nil {
		return false, lavstep.Wrap(err, lavstep.EngineSubmit, source.Endpoint)
	}
	if !assigned.Credit.Valid(time.Now()) {
		return false, lavstep.Wrap(errors.Mark(errExpired, lavengine.ErrNotSent), lavstep.EngineSubmit, source.Endpoint)
	}
	stream, err := source.Engine.Submit(ctx, lavengine.Submission{
		ID:        request.ID,
		Model:     request.Model,
		Adapter:   request.Adapter,
		Prompt:    j.job.Text,
		Priority:  assigned.Priority,
		MaxTokens: request.MaxTokens,
		Offset:    j.delivery.Tokens,
		Given:     string(j.delivery.Text),
		Sampling:  request.Sampling,
	})
	switch {
	case err == nil:
		source.note(stream, j.parts.Scope)
	case errors.IsAny(err, lavengine.ErrNotSent, lavengine.ErrRefused, lavengine.ErrGone):
		return false, err
	case ctx.Err() != nil || !errors.Is(err, lavengine.ErrBroken):
		return true, err
	}
	return true, source.Deliver(ctx, stream, j.delivery, j.parts.Scope, assigned.FirstToken)
}

// assign waits for an endpoint, for a while for one that has not failed the
// request. If there is none, those that have may do better by now.
func (j *running) assign(ctx context.Context, alone bool) (*lavdispatch.Assignment, error) {
	options := lavdispatch.Options{Avoid: j.avoid, Alone: alone}
	if len(j.avoid) > 0 {
		choosy, cancel := context.WithTimeout(ctx, avoidTime)
		defer cancel()
		assigned, err := j.parts.Dispatcher.AssignWith(choosy, j.job.Request, options)
		if err == nil || choosy.Err() == nil || ctx.Err() != nil {
			return assigned, err
		}
		j.avoid, options.Avoid = nil, nil
	}
	return j.parts.Dispatcher.AssignWith(ctx, j.job.Request, options)
}

// avoidNext keeps the next tries from an endpoint, and forgets the oldest one.
func (j *running) avoidNext(endpoint string) {
	if j.avoid = append(j.avoid, endpoint); len(j.avoid) > maxAvoid {
		j.avoid = j.avoid[1:]
	}
}

// fail frees what a failed attempt holds and finds out whether its endpoint
// died of it.
func (j *running) fail(ctx context.Context, source *EngineStream, assigned *lavdispatch.Assignment, run lavretry.Run, wrote bool, err error) {
	j.avoidNext(source.Endpoint)
	if errors.IsAny(err, lavengine.ErrBroken, lavengine.ErrGone, lavengine.ErrNotSent) {
		assigned.Broke()
	}
	if j.suspect(ctx, source, run, wrote, err) {
		return
	}
	if !wrote || HandedOver(ctx) {
		return
	}
	callerGone := errors.Is(err, ErrCallerGone) || errors.Is(ctx.Err(), context.Canceled)
	if callerGone && j.job.Resumable && j.delivery.Tokens > 0 && j.parts.ActiveStreams.AwaitHandOver(ctx, j.job.Request.ID) {
		return
	}
	source.Cancel(ctx)
}

// suspect ends the run, and reports whether its endpoint died of it. While that
// isn't known, the run goes on to count.
func (j *running) suspect(ctx context.Context, source *EngineStream, run lavretry.Run, wrote bool, err error) bool {
	if ctx.Err() != nil || !wrote || errors.Is(err, ErrCallerGone) {
		j.parts.Suspects.End(run, false)
		return false
	}
	death := lavretry.Death{Fingerprint: run.Fingerprint, Endpoint: run.Endpoint, Incarnation: source.Incarnation, At: time.Now()}
	died, known := source.Fate(ctx)
	switch {
	case known && died:
		j.parts.Scope.Counter("endpoint_deaths").Inc(1)
		j.parts.Suspects.RecordDeath(ctx, run, death)
	case known:
		j.parts.Suspects.End(run, false)
	default:
		j.parts.Suspects.ResolveLater(run, death, source.Fate)
	}
	return died
}
