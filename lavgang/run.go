package lavgang

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/cockroachdb/errors"
)

// promptRun is the run of one prompt on a gang, with its progress.
type promptRun struct {
	*Runner
	job      *lavstream.Job
	segments []string
	// nextSegment is the first segment that is not prefilled yet, and state the
	// exported KV cache state at the end of the segment before it.
	nextSegment int
	state       []byte
	delivery    *lavstream.Delivery
	attempts    lavretry.Attempts
	// lostParts is the number of parts that failed. reservationCount is the
	// number of reservations made; it makes their IDs unique.
	lostParts        int
	reservationCount int
	// idle holds the highest prefill and decode rates of idle engines.
	idle idleRates
	// lastProgress is the time when the last segment was prefilled or, before
	// the first one, when the run started.
	lastProgress time.Time
	// suspectRun is the run as registered with the hosts that track which
	// requests kill engines. runRegistered is false once that run has ended.
	suspectRun    lavretry.Run
	runRegistered bool

	mu    sync.Mutex
	plan  Plan
	parts []*part
}

// remainingTokens returns the number of tokens in the segments that are not
// prefilled yet.
func (r *promptRun) remainingTokens() int { return (len(r.segments) - r.nextSegment) * segmentTokens }

// execute makes attempts until one succeeds or fails with an error that is not
// retryable. Each attempt continues from the last exported state.
func (r *promptRun) execute(ctx context.Context) error {
	backoff := lavretry.Backoff{First: minRetryDelay, Longest: maxRetryDelay}
	for {
		err := r.attempt(ctx)
		if err == nil || ctx.Err() != nil || !retryable(err) || r.lostParts > maxLostParts {
			return err
		}
		if waitErr := backoff.Wait(ctx); waitErr != nil {
			return errors.Mark(err, waitErr)
		}
	}
}

// retryable reports whether another attempt may succeed after err.
func retryable(err error) bool {
	return errors.IsAny(err, errNoMemory, errBusy,
		lavengine.ErrNotSent, lavengine.ErrRefused, lavengine.ErrBroken, lavengine.ErrGone)
}

// attempt reserves a gang, prefills and decodes. It replaces lost parts, and
// fails if no engine is available for one of them.
func (r *promptRun) attempt(ctx context.Context) error {
	if err := r.beginSuspectRun(ctx); err != nil {
		return err
	}
	if err := r.reserveAll(ctx); err != nil {
		return err
	}
	renewCtx, stop := context.WithCancel(ctx)
	renewDone := make(chan struct{})
	go func() {
		defer close(renewDone)
		r.renewReservations(renewCtx)
	}()
	defer func() {
		stop()
		<-renewDone
	}()
	for {
		err := r.prefill(ctx)
		if err == nil && !r.replaceLostParts(ctx) {
			err = lavstep.Wrap(lavengine.ErrBroken, lavstep.GangCheckpoint, "")
		}
		if err == nil {
			err = r.decode(ctx)
		}
		if err == nil || ctx.Err() != nil || !retryable(err) || r.lostParts > maxLostParts {
			return err
		}
		if err := r.beginSuspectRun(ctx); err != nil {
			r.releaseAll(ctx)
			return err
		}
		if !r.replaceLostParts(ctx) {
			r.releaseAll(ctx)
			return err
		}
	}
}

// errBusy means that the prompt is suspected of killing engines and that another
// run of it has not ended yet.
var errBusy = errors.New("another run of a suspect request must end first")

// beginSuspectRun asks whether the prompt may run, because long prompts can kill
// engines too. Only one run at a time is allowed of a prompt that is suspected
// of killing engines.
func (r *promptRun) beginSuspectRun(ctx context.Context) error {
	r.suspectRun = lavretry.Run{
		ID:          fmt.Sprint(r.job.Request.ID, "-", r.lostParts),
		Fingerprint: r.job.Request.Fingerprint,
		Traits:      lavretry.TraitsOf(r.job.Request),
		Endpoint:    fmt.Sprint("gang of ", r.job.Request.ID.Host()),
		Until:       time.Now().Add(suspectRunTimeout),
	}
	r.runRegistered = true
	verdict := r.Runner.parts.Suspects.Begin(ctx, r.suspectRun)
	switch verdict.Action {
	case lavretry.ActionRefuse:
		return lavstream.QuarantineRefusal(verdict)
	case lavretry.ActionWait:
		return lavstep.Wrap(errBusy, lavstep.SuspectBegin, "")
	}
	return nil
}

// finish releases the remaining parts and ends the registered run, if it has not
// ended yet, with its result.
func (r *promptRun) finish(ctx context.Context, err error) {
	r.releaseAll(ctx)
	if r.runRegistered {
		r.Runner.parts.Suspects.End(r.suspectRun, err == nil)
	}
}
