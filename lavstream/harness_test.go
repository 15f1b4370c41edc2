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

// unlimitedCredits is a lavcredit.Source that grants every credit.
type unlimitedCredits struct{}

func (unlimitedCredits) Take(now time.Time, e *lavendpoint.Endpoint, tokens int) (lavcredit.Credit, bool) {
	return lavcredit.Credit{Endpoint: e.Name, Incarnation: e.Report.Incarnation, Tokens: tokens, Expires: now.Add(time.Second)}, true
}

func (unlimitedCredits) Available(time.Time, *lavendpoint.Endpoint) int { return 1 << 30 }
func (unlimitedCredits) Want(time.Time, *lavendpoint.Endpoint, int)     {}
func (unlimitedCredits) Return(lavcredit.Credit)                        {}
func (unlimitedCredits) Suspend(time.Time, string)                      {}
func (unlimitedCredits) Changed() <-chan struct{}                       { return nil }

// testSetup is a rack of simulated engines and the relays of some entry hosts.
type testSetup struct {
	rack  *lavfake.EngineCluster
	hosts []*host
}

// host is an entry host with its relay.
type host struct {
	relay    *lavstream.Relay
	streams  *lavstream.ActiveStreams
	cleanup  *lavstream.Cleanup
	dispatch *lavdispatch.Dispatcher
	suspects *lavretry.Suspects
	scope    tally.TestScope
	// coldEndpoint is the name of an endpoint that reports itself as cold just
	// before a prompt is submitted to it.
	coldEndpoint string
}

const entryHost = "entry"

// confirm returns the last load report of an endpoint, marked as cold if the
// endpoint is coldEndpoint.
func (h *host) confirm(_ context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error) {
	report := e.Report
	if e.Name == h.coldEndpoint {
		report.Cold = true
	}
	return report, nil
}

// withSetup runs body with three engines and two entry hosts.
func withSetup(t *testing.T, settings lavfake.EngineSettings, body func(t *testing.T, s *testSetup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testSetup{rack: lavfake.NewEngineCluster(1, 2*time.Millisecond)}
		for range 3 {
			_, err := s.rack.Add("north", settings)
			lavassert.NoError(t, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var servers sync.WaitGroup
		for range 2 {
			h := s.newHost()
			s.hosts = append(s.hosts, h)
			servers.Go(func() { lavassert.ErrorIs(t, h.dispatch.Serve(ctx), context.Canceled) })
			servers.Go(func() { lavassert.ErrorIs(t, h.suspects.Serve(ctx), context.Canceled) })
		}
		body(t, s)
		for _, h := range s.hosts {
			h.cleanup.Wait(ctx)
		}
		cancel()
		servers.Wait()
		lavassert.NoError(t, s.rack.Close(context.WithoutCancel(ctx)))
		synctest.Wait()
	})
}

func engineSettings() lavfake.EngineSettings {
	return lavfake.EngineSettings{
		MemoryTokens: 100_000, PrefillRate: 50_000, DecodeRate: 100, Step: 10 * time.Millisecond,
		ColdLimit: 20_000, ColdTime: time.Second, DownTime: 500 * time.Millisecond,
		Heartbeat: time.Second, StreamRetention: time.Minute, Models: []string{"caption"}, CrashMarker: "CRASH",
	}
}

func (s *testSetup) newHost() *host {
	scope := tally.NewTestScope("", nil)
	h := &host{streams: lavstream.NewActiveStreams(), cleanup: lavstream.NewCleanup(), scope: scope, suspects: lavretry.NewSuspects(lavfake.NewStore(), lavretry.NoPeers{}), dispatch: lavdispatch.New(lavdispatch.Config{
		Endpoints: s.rack, Queue: lavqueue.New(), Policy: &lavroute.LeastOutstanding{}, Credits: unlimitedCredits{},
	})}
	h.relay = lavstream.NewRelay(lavstream.Dependencies{
		Dispatcher:    h.dispatch,
		Engine:        s.rack.Dial(s.rack.Client(entryHost)),
		Confirm:       h.confirm,
		Suspects:      h.suspects,
		ActiveStreams: h.streams,
		Cleanup:       h.cleanup,
		Customers:     lavretry.NewBudget[string](),
		Endpoints:     lavretry.NewBudget[string](),
		Scope:         scope,
	})
	return h
}

// counter returns the value of a counter metric of this host.
func (h *host) counter(name string) int64 {
	c, ok := h.scope.Snapshot().Counters()[name+"+"]
	if !ok {
		return 0
	}
	return c.Value()
}

// testPrompt is a prompt with the answer that its caller has received so far.
type testPrompt struct {
	job    lavstream.Job
	text   strings.Builder
	tokens int
	frames []lavstream.EndpointFrame
	// onFrame is called after each frame, if it is set.
	onFrame func(frame lavstream.EndpointFrame) error
}

func newTestPrompt(prompt string, tokens int, timeout time.Duration) *testPrompt {
	now := time.Now()
	a := &testPrompt{}
	a.job = lavstream.Job{Text: prompt, Emit: a.emit, Resumable: true, Request: &lavrequest.Request{
		ID: lavrequest.NewIDForHost("h1"), Customer: "till", Model: "caption", MaxTokens: tokens,
		PromptTokens: len(prompt)/4 + 1, Fingerprint: uint64(len(prompt)), Arrived: now, Deadline: now.Add(timeout),
	}}
	return a
}

func (a *testPrompt) emit(frame lavstream.EndpointFrame) error {
	a.text.WriteString(frame.Text)
	a.tokens += frame.Tokens
	a.frames = append(a.frames, frame)
	if a.onFrame != nil {
		return a.onFrame(frame)
	}
	return nil
}

// deadlineSlack is how long after its deadline a prompt may end.
const deadlineSlack = 100 * time.Millisecond

// run runs the prompt at a host and checks that it ends soon after its
// deadline.
func (a *testPrompt) run(t *testing.T, h *host) error {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), a.job.Request.Deadline)
	defer cancel()
	_, err := h.relay.Run(ctx, &a.job)
	lavassert.AtMost(t, "time past the deadline", time.Since(a.job.Request.Deadline), deadlineSlack)
	return err
}

// assertComplete checks that the caller received the complete answer to its
// prompt.
func (a *testPrompt) assertComplete(t *testing.T) {
	t.Helper()
	lavassert.Equal(t, "answer", a.text.String(), lavfake.AnswerText(a.job.Text, 0, a.job.Request.MaxTokens))
}

// usedMemoryTokens returns the memory in use at all engines, in tokens.
func (s *testSetup) usedMemoryTokens() int {
	used := 0
	for _, e := range s.rack.Snapshot().Endpoints {
		used += e.Report.RunningTokens
	}
	return used
}

// assertMemoryFree checks that every engine frees its memory in time.
func (s *testSetup) assertMemoryFree(t *testing.T) {
	t.Helper()
	lavassert.Eventually(t, "all engine memory is free", func() bool { return s.usedMemoryTokens() == 0 })
}

// engineOf returns the engine that sent the frame.
func (s *testSetup) engineOf(frame lavstream.EndpointFrame) *lavfake.Engine {
	for i, e := range s.rack.Snapshot().Endpoints {
		if e.Name == frame.Endpoint {
			return s.rack.Engines[i]
		}
	}
	return nil
}
