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

const memory = 100_000

// table has a snapshot that the test sets.
type table struct {
	mu       sync.Mutex
	snapshot *lavendpoint.Snapshot
	changed  chan struct{}
}

func (t *table) Snapshot() *lavendpoint.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshot
}

func (t *table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// set makes n engines of that phase known.
func (t *table) set(n int, phase lavendpoint.Phase) {
	all := make([]lavendpoint.Endpoint, n)
	for i := range all {
		all[i] = lavendpoint.Endpoint{
			Name: fmt.Sprint("engine-", i), FailureDomain: "north", Phase: phase, Heard: time.Now(),
			Report: lavengine.LoadReport{
				Incarnation: "a", Taken: time.Now(), MemoryTokens: memory, PrefillRate: 10_000, DecodeRate: 100, Models: []string{"m"},
			},
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshot = lavendpoint.NewSnapshot(1, all)
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}

// world is a dispatcher before n engines.
type world struct {
	*lavdispatch.Dispatcher
	table *table
	scope tally.TestScope
	ended chan error
}

// run runs body with a dispatcher before n ready engines, in virtual time.
func run(t *testing.T, n int, body func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{table: &table{}, scope: tally.NewTestScope("", nil), ended: make(chan error, 1)}
		w.table.set(n, lavendpoint.PhaseReady)
		w.Dispatcher = lavdispatch.New(lavdispatch.Config{
			Endpoints: w.table,
			Queue:     lavqueue.New(),
			Policy:    lavroute.NewBalanced(nil),
			Credits:   lavcredit.NewSplit(func() int { return 1 }),
			Scope:     w.scope,
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { w.ended <- w.Serve(ctx) }()
		body(t, w)
		cancel()
		lavassert.ErrorIs(t, <-w.ended, context.Canceled)
		lavassert.Equal(t, "requests left", w.Load().Waiting, 0)
	})
}

func request(tokens int, allowed time.Duration) *lavrequest.Request {
	return &lavrequest.Request{
		ID: lavrequest.NewID(), Customer: "c", Model: "m", PromptTokens: tokens, MaxTokens: 100,
		Arrived: time.Now(), Deadline: time.Now().Add(allowed),
	}
}

// assign assigns a request that must find a place.
func (w *world) assign(t *testing.T, r *lavrequest.Request, o lavdispatch.Options) *lavdispatch.Assignment {
	t.Helper()
	a, err := w.AssignWith(t.Context(), r, o)
	lavassert.NoError(t, err)
	return a
}

// refused checks that a request is refused for that reason, and when.
func (w *world) refused(t *testing.T, r *lavrequest.Request, want lavqueue.Reason, after time.Duration) {
	t.Helper()
	began := time.Now()
	a, err := w.Assign(t.Context(), r)
	var refusal *lavqueue.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got %v and error %v, want a refusal", a, err)
	}
	lavassert.Equal(t, "reason", refusal.Reason, want)
	lavassert.AtLeast(t, "time until refused", time.Since(began), after)
	lavassert.AtMost(t, "time until refused", time.Since(began), after+100*time.Millisecond)
}

func TestAssign(t *testing.T) {
	t.Run("refused at once: nobody serves it, it is too long, it can't make it", func(t *testing.T) {
		run(t, 1, func(t *testing.T, w *world) {
			other := request(1000, time.Minute)
			other.Model = "other"
			w.refused(t, other, lavqueue.ReasonNoEndpoint, 0)
			w.refused(t, request(memory, time.Hour), lavqueue.ReasonTooLong, 0)
			w.refused(t, request(50_000, 5*time.Second), lavqueue.ReasonDeadline, 0)
			lavassert.Equal(t, "refusals counted", counted(w.scope, "dispatch.refused"), 3)
		})
	})
	t.Run("refused the moment that it can no longer make it", func(t *testing.T) {
		run(t, 1, func(t *testing.T, w *world) {
			a := w.assign(t, request(90_000, time.Minute), lavdispatch.Options{})
			a.FirstToken()
			// It reads for 2 s and writes for 1 s.
			w.refused(t, request(20_000, 10*time.Second), lavqueue.ReasonDeadline, 7*time.Second)
			a.Done()
		})
	})
	t.Run("the end of one makes room for the next, and ending twice is once", func(t *testing.T) {
		run(t, 1, func(t *testing.T, w *world) {
			a := w.assign(t, request(90_000, time.Minute), lavdispatch.Options{})
			time.AfterFunc(3*time.Second, func() { a.FirstToken(); a.Done(); a.Done() })
			began := time.Now()
			b := w.assign(t, request(90_000, time.Minute), lavdispatch.Options{})
			lavassert.Equal(t, "waited", time.Since(began), 3*time.Second)
			b.Done()
			lavassert.Equal(t, "running", w.Load().Running, 0)
		})
	})
	t.Run("endpoints to avoid, and suspects one to an endpoint", func(t *testing.T) {
		run(t, 3, func(t *testing.T, w *world) {
			a := w.assign(t, request(1000, time.Minute), lavdispatch.Options{Avoid: []string{"engine-0", "engine-2"}})
			lavassert.Equal(t, "endpoint", a.Endpoint.Name, "engine-1")
			seen := make(map[string]bool)
			for range 3 {
				seen[w.assign(t, request(1000, time.Minute), lavdispatch.Options{Alone: true}).Endpoint.Name] = true
			}
			lavassert.Equal(t, "endpoints of three suspects", len(seen), 3)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := w.AssignWith(ctx, request(1000, time.Minute), lavdispatch.Options{Alone: true})
			lavassert.ErrorIs(t, err, context.DeadlineExceeded)
		})
	})
	t.Run("a caller who goes frees his place, also as he is assigned", func(t *testing.T) {
		run(t, 1, func(t *testing.T, w *world) {
			for wait := time.Duration(0); wait <= 4*time.Second; wait += 500 * time.Millisecond {
				a := w.assign(t, request(90_000, time.Minute), lavdispatch.Options{})
				time.AfterFunc(2*time.Second, a.Done)
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				if b, err := w.AssignWith(ctx, request(90_000, time.Minute), lavdispatch.Options{}); err == nil {
					b.Done()
				}
				cancel()
				time.Sleep(3 * time.Second)
				lavassert.Equal(t, "running", w.Load().Running, 0)
			}
		})
	})
	t.Run("an endpoint is kept for a long prompt that waits, and short ones go on", func(t *testing.T) {
		run(t, 1, func(t *testing.T, w *world) {
			// Medium prompts would take what room there is for ever.
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var flood sync.WaitGroup
			for range 6 {
				flood.Go(func() { w.loop(ctx, 12_000, time.Second) })
			}
			time.Sleep(3 * time.Second)
			began := time.Now()
			a := w.assign(t, request(75_000, 10*time.Minute), lavdispatch.Options{})
			lavassert.AtMost(t, "wait of the long prompt", time.Since(began), 10*time.Second)
			began = time.Now()
			w.assign(t, request(1000, time.Minute), lavdispatch.Options{}).Done()
			lavassert.AtMost(t, "wait of a short prompt", time.Since(began), 100*time.Millisecond)
			a.Done()
			cancel()
			flood.Wait()
		})
	})
	t.Run("work waits for an endpoint that leaves, and no more goes there", func(t *testing.T) {
		run(t, 1, func(t *testing.T, w *world) {
			w.assign(t, request(1000, time.Minute), lavdispatch.Options{}).Done()
			w.table.set(1, lavendpoint.PhaseLeaving)
			w.refused(t, request(1000, time.Minute), lavqueue.ReasonNoEndpoint, 0)
			w.table.set(1, lavendpoint.PhaseReady)
			w.assign(t, request(1000, time.Minute), lavdispatch.Options{}).Done()
		})
	})
}

// loop runs one request after another until the context ends.
func (w *world) loop(ctx context.Context, tokens int, hold time.Duration) {
	for ctx.Err() == nil {
		a, err := w.Assign(ctx, request(tokens, time.Minute))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(hold)
		a.FirstToken()
		a.Done()
	}
}

// counted sums a counter over its tags.
func counted(s tally.TestScope, name string) int {
	n := 0
	for _, c := range s.Snapshot().Counters() {
		if c.Name() == name {
			n += int(c.Value())
		}
	}
	return n
}
