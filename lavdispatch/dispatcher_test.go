package lavdispatch_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavdispatch"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"

	"github.com/uber-go/tally/v4"
)

// memory is the memory of each endpoint, in tokens.
const memory = 100_000

// endpointTable provides an endpoint snapshot that the test can replace.
type endpointTable struct {
	mu       sync.Mutex
	snapshot *lavendpoint.Snapshot
	changed  chan struct{}
}

func (t *endpointTable) Snapshot() *lavendpoint.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshot
}

func (t *endpointTable) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// setEndpoints publishes a snapshot of n engines in the given phase.
func (t *endpointTable) setEndpoints(n int, phase lavendpoint.Phase) {
	endpoints := make([]lavendpoint.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = lavendpoint.Endpoint{
			Name: fmt.Sprint("engine-", i), FailureDomain: "north", Phase: phase, Heard: time.Now(),
			Report: lavengine.LoadReport{
				Incarnation: "a", Taken: time.Now(), MemoryTokens: memory, PrefillRate: 10_000, DecodeRate: 100, Models: []string{"m"},
			},
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshot = lavendpoint.NewSnapshot(1, endpoints)
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

// fixture is a dispatcher with its endpoints and metrics.
type fixture struct {
	*lavdispatch.Dispatcher
	endpointTable *endpointTable
	scope         tally.TestScope
	serveErr      chan error
}

// withDispatcher runs body with a dispatcher for n ready engines, in virtual
// time.
func withDispatcher(t *testing.T, n int, body func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{endpointTable: &endpointTable{}, scope: tally.NewTestScope("", nil), serveErr: make(chan error, 1)}
		f.endpointTable.setEndpoints(n, lavendpoint.PhaseReady)
		f.Dispatcher = lavdispatch.New(lavdispatch.Config{
			Endpoints: f.endpointTable,
			Queue:     lavqueue.New(),
			Policy:    lavroute.NewBalanced(nil),
			Credits:   lavcredit.NewSplit(func() int { return 1 }),
			Scope:     f.scope,
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { f.serveErr <- f.Serve(ctx) }()
		body(t, f)
		cancel()
		lavassert.ErrorIs(t, <-f.serveErr, context.Canceled)
		lavassert.Equal(t, "requests still queued", f.Load().Waiting, 0)
	})
}

func request(tokens int, timeout time.Duration) *lavrequest.Request {
	return &lavrequest.Request{
		ID: lavrequest.NewID(), Customer: "c", Model: "m", PromptTokens: tokens, MaxTokens: 100,
		Arrived: time.Now(), Deadline: time.Now().Add(timeout),
	}
}

// mustAssign assigns a request and fails the test if it is refused.
func (f *fixture) mustAssign(t *testing.T, r *lavrequest.Request, o lavdispatch.Options) *lavdispatch.Assignment {
	t.Helper()
	a, err := f.AssignWith(t.Context(), r, o)
	lavassert.NoError(t, err)
	return a
}

// requireRefusal checks that a request is refused for the given reason after
// the given delay.
func (f *fixture) requireRefusal(t *testing.T, r *lavrequest.Request, want lavqueue.Reason, delay time.Duration) {
	t.Helper()
	start := time.Now()
	a, err := f.Assign(t.Context(), r)
	var refusal *lavqueue.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got assignment %v and error %v, want a refusal", a, err)
	}
	lavassert.Equal(t, "reason", refusal.Reason, want)
	lavassert.AtLeast(t, "time until refused", time.Since(start), delay)
	lavassert.AtMost(t, "time until refused", time.Since(start), delay+100*time.Millisecond)
}

func TestAssign(t *testing.T) {
	t.Run("refused at once: unknown model, prompt too long, deadline too short", func(t *testing.T) {
		withDispatcher(t, 1, func(t *testing.T, f *fixture) {
			other := request(1000, time.Minute)
			other.Model = "other"
			f.requireRefusal(t, other, lavqueue.ReasonNoEndpoint, 0)
			f.requireRefusal(t, request(memory, time.Hour), lavqueue.ReasonTooLong, 0)
			f.requireRefusal(t, request(50_000, 5*time.Second), lavqueue.ReasonDeadline, 0)
			lavassert.Equal(t, "refusals counted", counterTotal(f.scope, "dispatch.refused"), 3)
		})
	})
	t.Run("refused as soon as the deadline cannot be met", func(t *testing.T) {
		withDispatcher(t, 1, func(t *testing.T, f *fixture) {
			a := f.mustAssign(t, request(90_000, time.Minute), lavdispatch.Options{})
			a.FirstToken()
			// The prefill takes 2 s and decoding takes 1 s.
			f.requireRefusal(t, request(20_000, 10*time.Second), lavqueue.ReasonDeadline, 7*time.Second)
			a.Done()
		})
	})
	t.Run("Done frees capacity for the next request and is idempotent", func(t *testing.T) {
		withDispatcher(t, 1, func(t *testing.T, f *fixture) {
			a := f.mustAssign(t, request(90_000, time.Minute), lavdispatch.Options{})
			time.AfterFunc(3*time.Second, func() { a.FirstToken(); a.Done(); a.Done() })
			start := time.Now()
			b := f.mustAssign(t, request(90_000, time.Minute), lavdispatch.Options{})
			lavassert.Equal(t, "time until assigned", time.Since(start), 3*time.Second)
			b.Done()
			lavassert.Equal(t, "running", f.Load().Running, 0)
		})
	})
	t.Run("avoided endpoints, and at most one suspect request per endpoint", func(t *testing.T) {
		withDispatcher(t, 3, func(t *testing.T, f *fixture) {
			a := f.mustAssign(t, request(1000, time.Minute), lavdispatch.Options{Avoid: []string{"engine-0", "engine-2"}})
			lavassert.Equal(t, "endpoint", a.Endpoint.Name, "engine-1")
			used := make(map[string]bool)
			for range 3 {
				used[f.mustAssign(t, request(1000, time.Minute), lavdispatch.Options{Alone: true}).Endpoint.Name] = true
			}
			lavassert.Equal(t, "endpoints used by three suspect requests", len(used), 3)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := f.AssignWith(ctx, request(1000, time.Minute), lavdispatch.Options{Alone: true})
			lavassert.ErrorIs(t, err, context.DeadlineExceeded)
		})
	})
	t.Run("a caller that disconnects frees its capacity, even during assignment", func(t *testing.T) {
		withDispatcher(t, 1, func(t *testing.T, f *fixture) {
			for wait := time.Duration(0); wait <= 4*time.Second; wait += 500 * time.Millisecond {
				a := f.mustAssign(t, request(90_000, time.Minute), lavdispatch.Options{})
				time.AfterFunc(2*time.Second, a.Done)
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				if b, err := f.AssignWith(ctx, request(90_000, time.Minute), lavdispatch.Options{}); err == nil {
					b.Done()
				}
				cancel()
				time.Sleep(3 * time.Second)
				lavassert.Equal(t, "running", f.Load().Running, 0)
			}
		})
	})
	t.Run("a waiting long prompt gets a hold on an endpoint, and short ones continue", func(t *testing.T) {
		withDispatcher(t, 1, func(t *testing.T, f *fixture) {
			// Without a hold, medium prompts would always take the capacity
			// that becomes free.
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var flood sync.WaitGroup
			for range 6 {
				flood.Go(func() { f.runRequests(ctx, 12_000, time.Second) })
			}
			time.Sleep(3 * time.Second)
			start := time.Now()
			a := f.mustAssign(t, request(75_000, 10*time.Minute), lavdispatch.Options{})
			lavassert.AtMost(t, "wait of the long prompt", time.Since(start), 10*time.Second)
			start = time.Now()
			f.mustAssign(t, request(1000, time.Minute), lavdispatch.Options{}).Done()
			lavassert.AtMost(t, "wait of a short prompt", time.Since(start), 100*time.Millisecond)
			a.Done()
			cancel()
			flood.Wait()
		})
	})
	t.Run("a leaving endpoint receives no requests until it is ready again", func(t *testing.T) {
		withDispatcher(t, 1, func(t *testing.T, f *fixture) {
			f.mustAssign(t, request(1000, time.Minute), lavdispatch.Options{}).Done()
			f.endpointTable.setEndpoints(1, lavendpoint.PhaseLeaving)
			f.requireRefusal(t, request(1000, time.Minute), lavqueue.ReasonNoEndpoint, 0)
			f.endpointTable.setEndpoints(1, lavendpoint.PhaseReady)
			f.mustAssign(t, request(1000, time.Minute), lavdispatch.Options{}).Done()
		})
	})
}

// runRequests runs one request after another until the context ends.
func (f *fixture) runRequests(ctx context.Context, tokens int, duration time.Duration) {
	for ctx.Err() == nil {
		a, err := f.Assign(ctx, request(tokens, time.Minute))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(duration)
		a.FirstToken()
		a.Done()
	}
}

// counterTotal returns the sum of a counter over all its tags.
func counterTotal(s tally.TestScope, name string) int {
	n := 0
	for _, c := range s.Snapshot().Counters() {
		if c.Name() == name {
			n += int(c.Value())
		}
	}
	return n
}
