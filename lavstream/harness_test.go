package lavstream_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavdispatch"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavroute"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/uber-go/tally/v4"
)

// credits is a lavcredit.Source that always gives one.
type credits struct{}

func (credits) Take(now time.Time, e *lavendpoint.Endpoint, tokens int) (lavcredit.Credit, bool) {
	return lavcredit.Credit{Endpoint: e.Name, Incarnation: e.Report.Incarnation, Tokens: tokens, Expires: now.Add(time.Second)}, true
}

func (credits) Available(time.Time, *lavendpoint.Endpoint) int { return 1 << 30 }
func (credits) Want(time.Time, *lavendpoint.Endpoint, int)     {}
func (credits) Return(lavcredit.Credit)                        {}
func (credits) Suspend(time.Time, string)                      {}
func (credits) Changed() <-chan struct{}                       { return nil }

// world is a rack of engines and some entry hosts.
type world struct {
	rack  *lavfake.Rack
	hosts []*host
}

// host is an entry host's relay.
type host struct {
	relay    *lavstream.Relay
	live     *lavstream.ActiveStreams
	dispatch *lavdispatch.Dispatcher
	suspects *lavretry.Suspects
	scope    tally.TestScope
	// cold is an endpoint that turns out to be cold as work is to begin there.
	cold string
}

const entryHost = "entry"

// confirm shows what is known of an endpoint, or that it has turned cold.
func (h *host) confirm(_ context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error) {
	report := e.Report
	if e.Name == h.cold {
		report.Cold = true
	}
	return report, nil
}

// inWorld runs body with three engines and two hosts.
func inWorld(t *testing.T, settings lavfake.EngineSettings, body func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{rack: lavfake.NewRack(1, 2*time.Millisecond)}
		for range 3 {
			_, err := w.rack.Add("north", settings)
			lavassert.NoError(t, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var served sync.WaitGroup
		for range 2 {
			h := w.newHost()
			w.hosts = append(w.hosts, h)
			served.Go(func() { lavassert.ErrorIs(t, h.dispatch.Serve(ctx), context.Canceled) })
			served.Go(func() { lavassert.ErrorIs(t, h.suspects.Serve(ctx), context.Canceled) })
		}
		body(t, w)
		cancel()
		served.Wait()
		lavassert.NoError(t, w.rack.Close(context.WithoutCancel(ctx)))
		synctest.Wait()
	})
}

func engineSettings() lavfake.EngineSettings {
	return lavfake.EngineSettings{
		MemoryTokens: 100_000, PrefillRate: 50_000, DecodeRate: 100, Step: 10 * time.Millisecond,
		ColdLimit: 20_000, ColdTime: time.Second, DownTime: 500 * time.Millisecond,
		Heartbeat: time.Second, KeepStreams: time.Minute, Models: []string{"caption"}, CrashMarker: "CRASH",
	}
}

func (w *world) newHost() *host {
	scope := tally.NewTestScope("", nil)
	h := &host{live: lavstream.NewActiveStreams(), scope: scope, suspects: lavretry.NewSuspects(lavfake.NewStore(), lavretry.NoPeers{}), dispatch: lavdispatch.New(lavdispatch.Parts{
		Endpoints: w.rack, Queue: lavqueue.New(), Policy: &lavroute.LeastOutstanding{}, Credits: credits{},
	})}
	h.relay = lavstream.NewRelay(lavstream.Dependencies{
		Dispatcher: h.dispatch,
		Engine:     w.rack.Dial(w.rack.Client(entryHost)),
		Confirm:    h.confirm,
		Suspects:   h.suspects,
		ActiveStreams:       h.live,
		Customers:  lavretry.NewBudget[string](),
		Endpoints:  lavretry.NewBudget[string](),
		Scope:      scope,
	})
	return h
}

func (h *host) count(name string) int64 {
	c, ok := h.scope.Snapshot().Counters()[name+"+"]
	if !ok {
		return 0
	}
	return c.Value()
}

// ask is one prompt with what its caller got.
type ask struct {
	job    lavstream.Job
	text   strings.Builder
	tokens int
	pieces []lavstream.EndpointFrame
	// at is called after each piece.
	at func(p lavstream.EndpointFrame) error
}

func newAsk(prompt string, tokens int, timeout time.Duration) *ask {
	now := time.Now()
	a := &ask{}
	a.job = lavstream.Job{Text: prompt, Emit: a.emit, Resumable: true, Request: &lavrequest.Request{
		ID: lavrequest.NewIDForHost("h1"), Customer: "till", Model: "caption", MaxTokens: tokens,
		PromptTokens: len(prompt)/4 + 1, Fingerprint: uint64(len(prompt)), Arrived: now, Deadline: now.Add(timeout),
	}}
	return a
}

func (a *ask) emit(p lavstream.EndpointFrame) error {
	a.text.WriteString(p.Text)
	a.tokens += p.Tokens
	a.pieces = append(a.pieces, p)
	if a.at != nil {
		return a.at(p)
	}
	return nil
}

// run runs the ask at a host within its time.
func (a *ask) run(t *testing.T, h *host) error {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), a.job.Request.Deadline)
	defer cancel()
	_, err := h.relay.Run(ctx, &a.job)
	lavassert.AtMost(t, "end after the deadline", time.Since(a.job.Request.Deadline), 2*time.Second)
	return err
}

// whole checks that the caller got the whole answer to his own prompt.
func (a *ask) whole(t *testing.T) {
	t.Helper()
	lavassert.Equal(t, "answer", a.text.String(), lavfake.AnswerText(a.job.Text, 0, a.job.Request.MaxTokens))
}

// held returns the memory in use at all engines.
func (w *world) held() int {
	held := 0
	for _, e := range w.rack.Snapshot().Endpoints {
		held += e.Report.RunningTokens
	}
	return held
}

// freed checks that no engine holds anything.
func (w *world) freed(t *testing.T) {
	t.Helper()
	lavassert.Eventually(t, "memory is free", func() bool { return w.held() == 0 })
}

// at returns the engine that the last piece came from, and its name.
func (w *world) at(p lavstream.EndpointFrame) *lavfake.Engine {
	for i, e := range w.rack.Snapshot().Endpoints {
		if e.Name == p.Endpoint {
			return w.rack.Engines[i]
		}
	}
	return nil
}
