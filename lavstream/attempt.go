package lavstream

import (
	"context"
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavdispatch"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// tryEndpoint assigns the request to one endpoint and continues the answer
// there, if the verdict on the request's fingerprint allows the run.
func (j *jobRun) tryEndpoint(ctx context.Context) error {
	request := j.job.Request
	verdict := j.deps.Suspects.Check(request)
	if verdict.Action == lavretry.ActionRefuse {
		return QuarantineRefusal(verdict)
	}
	alone := j.mustRunAlone || verdict.Action == lavretry.ActionAlone
	assigned, err := j.assign(ctx, alone)
	if err != nil {
		return err
	}
	run, err := j.beginRun(ctx, assigned, alone)
	if err != nil {
		assigned.Done()
		return err
	}
	return j.runAt(ctx, assigned, run)
}

// beginRun registers a run at the assigned endpoint, if the verdict on the
// request's fingerprint allows one.
func (j *jobRun) beginRun(ctx context.Context, assigned *lavdispatch.Assignment, alone bool) (lavretry.Run, error) {
	request := j.job.Request
	run := lavretry.Run{
		ID:          fmt.Sprint(request.ID, "-", j.attempts.Len()),
		Fingerprint: request.Fingerprint,
		Traits:      lavretry.TraitsOf(request),
		Endpoint:    assigned.Endpoint.Name,
		Until:       time.Now().Add(maxRunDuration),
	}
	verdict := j.deps.Suspects.Begin(ctx, run)
	switch {
	case verdict.Action == lavretry.ActionRefuse:
		return run, QuarantineRefusal(verdict)
	case verdict.Action == lavretry.ActionWait:
		// The other run may be in progress at the same endpoint.
		j.avoidEndpoint(run.Endpoint)
		return run, lavstep.Wrap(errConcurrentRun, lavstep.SuspectBegin, run.Endpoint)
	case verdict.Action == lavretry.ActionAlone && !alone:
		j.mustRunAlone = true
		j.deps.Suspects.End(run, false)
		return run, lavstep.Wrap(errConcurrentRun, lavstep.SuspectBegin, run.Endpoint)
	}
	return run, nil
}

// QuarantineRefusal returns the refusal of a request whose fingerprint is in
// quarantine because it has killed endpoints.
func QuarantineRefusal(v lavretry.Verdict) error {
	return &lavqueue.Refusal{Reason: lavqueue.ReasonQuarantined, RetryAfter: time.Until(v.Until)}
}

// runAt submits the prompt to the assigned endpoint, delivers the answer, and
// records the attempt and its result. The assignment ends with it or, if the
// stream has to be canceled, with the cancellation, since the engine's memory is
// in use until then.
func (j *jobRun) runAt(ctx context.Context, assigned *lavdispatch.Assignment, run lavretry.Run) error {
	canceling := false
	defer func() {
		if !canceling {
			assigned.Done()
		}
	}()
	source := &EngineStream{
		Engine:      j.deps.Engine(&assigned.Endpoint),
		Endpoint:    assigned.Endpoint.Name,
		Incarnation: assigned.Credit.Incarnation,
		ID:          j.job.Request.ID,
	}
	start := time.Now()
	wrote, err := j.submit(ctx, source, assigned)
	j.attempts.Add(lavretry.Attempt{
		Endpoint: source.Endpoint, Incarnation: source.Incarnation,
		Began: start, Ended: time.Now(), Wrote: wrote, Err: err,
	})
	if err == nil {
		j.deps.Suspects.End(run, true)
		j.deps.Endpoints.RecordSuccess(source.Endpoint)
		return nil
	}
	if canceling = j.handleFailure(ctx, source, assigned, run, wrote, err); canceling {
		j.deps.Cleanup.Do(ctx, func(ctx context.Context) {
			defer assigned.Done()
			source.Cancel(ctx)
		})
	}
	return err
}

// errEndpointChanged means that the endpoint restarted, or became cold, after
// the request was assigned to it. A cold endpoint accepts only a reduced load.
var errEndpointChanged = errors.New("endpoint restarted or became cold after the request was assigned")

// confirmEndpoint checks that the endpoint can still take the request. If the
// endpoint doesn't answer, the request counts as not sent. If the endpoint has
// changed since the assignment, the request counts as refused.
func (j *jobRun) confirmEndpoint(ctx context.Context, assigned *lavdispatch.Assignment) error {
	report, err := j.deps.Confirm(ctx, &assigned.Endpoint)
	credit := &assigned.Credit
	switch {
	case err != nil:
		return errors.Mark(err, lavengine.ErrNotSent)
	case report.Incarnation != credit.Incarnation || report.Cold && !credit.Cold:
		return errors.Mark(errEndpointChanged, lavengine.ErrRefused)
	}
	return nil
}

// errCreditExpired means that the credit for the endpoint's capacity expired
// before the request was submitted. A cold endpoint's capacity may have been
// granted to other hosts since then.
var errCreditExpired = errors.New("credit expired before the request was submitted")

// submit submits the prompt and delivers its stream. It reports whether the
// request may have run.
func (j *jobRun) submit(ctx context.Context, source *EngineStream, assigned *lavdispatch.Assignment) (bool, error) {
	request := j.job.Request
	if err := j.confirmEndpoint(ctx, assigned); err != nil {
		return false, lavstep.Wrap(err, lavstep.EngineSubmit, source.Endpoint)
	}
	if !assigned.Credit.Valid(time.Now()) {
		return false, lavstep.Wrap(errors.Mark(errCreditExpired, lavengine.ErrNotSent), lavstep.EngineSubmit, source.Endpoint)
	}
	stream, err := source.Engine.Submit(ctx, lavengine.Submission{
		ID:           request.ID,
		Model:        request.Model,
		Adapter:      request.Adapter,
		Prompt:       j.job.Text,
		Priority:     assigned.Priority,
		MaxTokens:    request.MaxTokens,
		Offset:       j.delivery.Tokens,
		AnswerPrefix: string(j.delivery.Text),
		Sampling:     request.Sampling,
	})
	switch {
	case err == nil:
		source.recordOrigin(stream, j.deps.Scope)
	case errors.IsAny(err, lavengine.ErrNotSent, lavengine.ErrRefused, lavengine.ErrGone):
		return false, err
	case ctx.Err() != nil || !errors.Is(err, lavengine.ErrBroken):
		return true, err
	}
	return true, source.Deliver(ctx, stream, j.delivery, j.deps.Scope, assigned.FirstToken)
}

// assign waits for an endpoint. For avoidTimeout it accepts only endpoints at
// which the request has not failed. Then it accepts any endpoint, since an
// endpoint that failed may have recovered.
func (j *jobRun) assign(ctx context.Context, alone bool) (*lavdispatch.Assignment, error) {
	options := lavdispatch.Options{Avoid: j.avoided, Alone: alone}
	if len(j.avoided) > 0 {
		avoidCtx, cancel := context.WithTimeout(ctx, avoidTimeout)
		defer cancel()
		assigned, err := j.deps.Dispatcher.AssignWith(avoidCtx, j.job.Request, options)
		if err == nil || avoidCtx.Err() == nil || ctx.Err() != nil {
			return assigned, err
		}
		j.avoided, options.Avoid = nil, nil
	}
	return j.deps.Dispatcher.AssignWith(ctx, j.job.Request, options)
}

// avoidEndpoint makes later attempts avoid an endpoint. If more than
// maxAvoidedEndpoints are avoided, the oldest one is allowed again.
func (j *jobRun) avoidEndpoint(endpoint string) {
	if j.avoided = append(j.avoided, endpoint); len(j.avoided) > maxAvoidedEndpoints {
		j.avoided = j.avoided[1:]
	}
}

// handleFailure makes later attempts avoid the endpoint of a failed attempt and
// ends its run. It reports whether the stream has to be canceled at the engine,
// which is not so if nothing was sent, the endpoint died, or another host takes
// the stream over.
func (j *jobRun) handleFailure(ctx context.Context, source *EngineStream, assigned *lavdispatch.Assignment, run lavretry.Run, wrote bool, err error) bool {
	j.avoidEndpoint(source.Endpoint)
	if errors.IsAny(err, lavengine.ErrBroken, lavengine.ErrGone, lavengine.ErrNotSent) {
		assigned.ReportPossibleRestart()
	}
	if j.endFailedRun(ctx, source, run, wrote, err) {
		return false
	}
	if !wrote || HandedOver(ctx) {
		return false
	}
	callerGone := errors.Is(err, ErrCallerGone) || errors.Is(ctx.Err(), context.Canceled)
	mayResume := callerGone && j.job.Resumable && j.delivery.Tokens > 0
	return !mayResume || !j.deps.ActiveStreams.AwaitHandOver(ctx, j.job.Request.ID)
}

// endFailedRun ends the run of a failed attempt and reports whether its
// endpoint died during the run. While that is not known, the run still counts
// as running.
func (j *jobRun) endFailedRun(ctx context.Context, source *EngineStream, run lavretry.Run, wrote bool, err error) bool {
	if ctx.Err() != nil || !wrote || errors.Is(err, ErrCallerGone) {
		j.deps.Suspects.End(run, false)
		return false
	}
	return source.EndBrokenRun(ctx, run, j.deps.Suspects, j.deps.Scope)
}
