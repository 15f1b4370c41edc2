package lavgang_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavgang"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

const (
	entryHost = "entry"
	// Each engine holds 100,000 tokens; the prompt has 8 segments.
	engineMemory = 100_000
	promptTokens = 240_000
	answerTokens = 50
)

// world is a rack of engines in two failure domains and one entry host.
type world struct {
	rack   *lavfake.Rack
	runner *lavgang.Runner
	live   *lavstream.ActiveStreams
	scope  tally.TestScope
	// alive is false once the entry host has died.
	alive bool
	// old, until then, is a snapshot that is behind what the engines report.
	old   *lavendpoint.Snapshot
	until time.Time
}

// Snapshot returns what the entry host knows of the engines.
func (w *world) Snapshot() *lavendpoint.Snapshot {
	if time.Now().Before(w.until) {
		return w.old
	}
	return w.rack.Snapshot()
}

// lag keeps what the entry host knows of the engines as it is for a while.
func (w *world) lag(d time.Duration) { w.old, w.until = w.rack.Snapshot(), time.Now().Add(d) }

func settings() lavfake.EngineSettings {
	return lavfake.EngineSettings{
		MemoryTokens: engineMemory, PrefillRate: 20_000, DecodeRate: 100, Step: 20 * time.Millisecond,
		ColdLimit: 10_000, ColdTime: 2 * time.Second, DownTime: time.Second,
		Heartbeat: time.Second, KeepStreams: 5 * time.Second, Models: []string{"caption"}, CrashMarker: "CRASH",
	}
}

func inWorld(t *testing.T, engines int, body func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{rack: lavfake.NewRack(1, 2*time.Millisecond), alive: true, live: lavstream.NewActiveStreams(), scope: tally.NewTestScope("", nil)}
		for i := range engines {
			_, err := w.rack.Add([]string{"north", "south"}[i%2], settings())
			lavassert.NoError(t, err)
		}
		w.runner = lavgang.NewRunner(lavgang.Parts{
			Endpoints: w,
			Engine:    w.rack.Dial(w.rack.Client(entryHost)),
			Confirm:   w.rack.Confirm,
			Live:      w.live,
			Suspects:  lavretry.NewSuspects(lavfake.NewStore(), lavretry.NoPeers{}),
			Scope:     w.scope,
		})
		body(t, w)
		lavassert.NoError(t, w.rack.Close(t.Context()))
		synctest.Wait()
	})
}

func newJob(text string, timeout time.Duration) (*lavstream.Job, *strings.Builder) {
	answer := &strings.Builder{}
	now := time.Now()
	return &lavstream.Job{Text: text, Request: &lavrequest.Request{
		ID: lavrequest.NewIDForHost("h1"), Customer: "till", Model: "caption", MaxTokens: answerTokens,
		PromptTokens: len(text) / 4, Fingerprint: uint64(len(text)), Arrived: now, Deadline: now.Add(timeout),
	}, Emit: func(p lavstream.EndpointFrame) error {
		answer.WriteString(p.Text)
		return nil
	}}, answer
}

// prompt has characters of several bytes, so that careless cuts show.
func prompt() string { return strings.Repeat("Speichenlänge ", promptTokens*4/15) }

func (w *world) run(ctx context.Context, job *lavstream.Job) (lavretry.Attempts, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Request.Deadline)
	defer cancel()
	return w.runner.Run(ctx, job)
}

func (w *world) whole(t *testing.T, job *lavstream.Job, answer *strings.Builder) {
	t.Helper()
	lavassert.Equal(t, "answer", answer.String(), lavfake.AnswerText(job.Text, 0, answerTokens))
}

func (w *world) held() int {
	held := 0
	for _, e := range w.rack.Engines {
		held += e.Running() + e.Reserved()
	}
	return held
}

func (w *world) count(name string) int64 {
	if c, ok := w.scope.Snapshot().Counters()[name+"+"]; ok {
		return c.Value()
	}
	return 0
}

// at calls do as the run reaches a step for the nth time.
func at(ctx context.Context, step lavstep.Step, nth int, do func(peer string) error) context.Context {
	var mu sync.Mutex
	reached := 0
	return lavstep.WithProbe(ctx, func(_ context.Context, s lavstep.Step, peer string) error {
		if s != step {
			return nil
		}
		mu.Lock()
		reached++
		now := reached == nth
		mu.Unlock()
		if now {
			return do(peer)
		}
		return nil
	})
}

func TestGang(t *testing.T) {
	t.Run("a prompt longer than any engine's memory is answered whole", func(t *testing.T) {
		inWorld(t, 8, func(t *testing.T, w *world) {
			job, answer := newJob(prompt(), 5*time.Minute)
			lavassert.True(t, "needs a gang", w.runner.Needs(job.Request))
			attempts, err := w.run(t.Context(), job)
			lavassert.NoError(t, err)
			w.whole(t, job, answer)
			lavassert.Equal(t, "held", w.held(), 0)
			domains := make(map[string]bool)
			for _, name := range attempts.Endpoints() {
				e, _ := w.rack.Snapshot().Find(name)
				domains[e.FailureDomain] = true
			}
			lavassert.Equal(t, "failure domains", len(domains), 1)
		})
	})
	t.Run("what no failure domain can hold is refused at once", func(t *testing.T) {
		inWorld(t, 4, func(t *testing.T, w *world) {
			job, _ := newJob(prompt(), 5*time.Minute)
			began := time.Now()
			attempts, err := w.run(t.Context(), job)
			var refusal *lavqueue.Refusal
			lavassert.True(t, "refused", errors.As(err, &refusal))
			lavassert.Equal(t, "outcome", attempts.FailureOutcome(), lavrequest.OutcomeNotRun)
			lavassert.Equal(t, "time", time.Since(began), time.Duration(0))
		})
	})
	t.Run("many gangs share the domains and all end", func(t *testing.T) {
		inWorld(t, 8, func(t *testing.T, w *world) {
			var running sync.WaitGroup
			for i := range 6 {
				job, answer := newJob(fmt.Sprint(i, prompt()), 10*time.Minute)
				running.Go(func() {
					_, err := w.run(t.Context(), job)
					lavassert.NoError(t, err)
					w.whole(t, job, answer)
				})
			}
			running.Wait()
			lavassert.Equal(t, "held", w.held(), 0)
		})
	})
	// The last part decodes the answer: it turns cold before that. The entry host
	// may hear of it seconds later.
	for _, lag := range []time.Duration{0, 3 * time.Second} {
		t.Run(fmt.Sprintf("an engine that turns cold gets no more of the prompt, known after %v", lag), func(t *testing.T) {
			for _, nth := range []int{1, 5, 7} {
				inWorld(t, 8, func(t *testing.T, w *world) {
					ctx := at(t.Context(), lavstep.GangCheckpoint, nth, func(string) error {
						w.lag(lag)
						for i, e := range w.rack.Engines {
							if i%2 == 0 && e.Reserved() > 0 {
								e.Chill()
							}
						}
						return nil
					})
					job, answer := newJob(prompt(), 5*time.Minute)
					_, err := w.run(ctx, job)
					lavassert.NoError(t, err)
					w.whole(t, job, answer)
					for i, e := range w.rack.Engines {
						lavassert.Equal(t, fmt.Sprint("cold overloads of ", i), e.Counts().ColdOverloads, 0)
					}
					lavassert.Equal(t, "held", w.held(), 0)
				})
			}
		})
	}
	t.Run("a prompt that kills engines kills two", func(t *testing.T) {
		inWorld(t, 8, func(t *testing.T, w *world) {
			for range 3 {
				job, _ := newJob(prompt()+"CRASH", 5*time.Minute)
				_, err := w.run(t.Context(), job)
				var refusal *lavqueue.Refusal
				if !errors.As(err, &refusal) || refusal.Reason != lavqueue.ReasonQuarantined {
					t.Errorf("error %v, want a quarantine", err)
				}
			}
			crashes := 0
			for _, e := range w.rack.Engines {
				crashes += e.Counts().Crashes
			}
			lavassert.Equal(t, "engines killed", crashes, 2)
			lavassert.Equal(t, "held", w.held(), 0)
		})
	})
}

// gangSteps are the steps of a gang, each at its first and a later reach.
var gangSteps = []struct {
	step lavstep.Step
	nth  int
}{
	{lavstep.GangReserve, 1},
	{lavstep.GangReserve, 3},
	{lavstep.EngineReserve, 2},
	{lavstep.GangSegment, 1},
	{lavstep.GangSegment, 4},
	{lavstep.GangCheckpoint, 1},
	{lavstep.GangCheckpoint, 5},
	{lavstep.EngineExport, 3},
	{lavstep.EngineImport, 1},
	{lavstep.EngineSubmit, 1},
	{lavstep.EngineStream, 1},
	{lavstep.GangRelease, 1},
	{lavstep.EngineRelease, 2},
}

func TestEngineDiesAtEachStep(t *testing.T) {
	for _, s := range gangSteps {
		t.Run(fmt.Sprint(s.step, " ", s.nth), func(t *testing.T) {
			inWorld(t, 10, func(t *testing.T, w *world) {
				job, answer := newJob(prompt(), 5*time.Minute)
				died := ""
				ctx := at(t.Context(), s.step, s.nth, func(peer string) error {
					for i, e := range w.rack.Snapshot().Endpoints {
						if peer == e.Name || peer == "http://"+e.Addr.String() {
							died = e.Name
							w.rack.Engines[i].Restart()
						}
					}
					return nil
				})
				attempts, err := w.run(ctx, job)
				lavassert.NoError(t, err)
				w.whole(t, job, answer)
				lavassert.Equal(t, "held", w.held(), 0)
				// Seven segments and the answer, and one of them twice.
				lavassert.AtMost(t, "attempts", attempts.Len(), 9)
				lavassert.True(t, "an engine died", died != "")
				t.Logf("%s died, %d attempts", died, attempts.Len())
			})
		})
	}
}

func TestStepFails(t *testing.T) {
	for _, s := range gangSteps {
		t.Run(fmt.Sprint(s.step, " ", s.nth), func(t *testing.T) {
			inWorld(t, 10, func(t *testing.T, w *world) {
				job, answer := newJob(prompt(), 5*time.Minute)
				_, err := w.run(at(t.Context(), s.step, s.nth, func(string) error { return errors.New("fault") }), job)
				lavassert.NoError(t, err)
				w.whole(t, job, answer)
				w.swept(t, false)
			})
		})
	}
}

// claims are those of an entry host, if it lives, as a sweep hears them.
type claims struct{ w *world }

func (c claims) Claimed(_ context.Context, id lavrequest.ID) (claimed, known bool) {
	return c.w.alive && c.w.live.Contains(id), true
}

// swept sweeps for a while and checks that nothing holds memory then.
func (w *world) swept(t *testing.T, needed bool) {
	t.Helper()
	owns := func(string) bool { return true }
	sweeper := lavgang.NewSweeper(w.rack, w.rack.Dial(w.rack.Client("owner")), owns, claims{w}, w.scope)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	lavassert.ErrorIs(t, sweeper.Serve(ctx), context.DeadlineExceeded)
	lavassert.Equal(t, "held after the sweep", w.held(), 0)
	lavassert.True(t, "something was swept", !needed || w.count("swept") > 0)
}

// TestHostDiesAtEachStep lets the entry host die: it is cut from everything,
// and nothing claims its work any more.
func TestHostDiesAtEachStep(t *testing.T) {
	for _, s := range gangSteps {
		t.Run(fmt.Sprint(s.step, " ", s.nth), func(t *testing.T) {
			inWorld(t, 10, func(t *testing.T, w *world) {
				job, _ := newJob(prompt(), 5*time.Minute)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				_, err := w.run(at(ctx, s.step, s.nth, func(string) error {
					w.alive = false
					w.rack.Network.SetDown(entryHost, true)
					cancel()
					return errors.New("host is dead")
				}), job)
				if s.step != lavstep.GangRelease && s.step != lavstep.EngineRelease {
					lavassert.True(t, "the run ended", err != nil)
				}
				w.swept(t, false)
			})
		})
	}
}

func TestSweep(t *testing.T) {
	t.Run("what a live host claims stays", func(t *testing.T) {
		inWorld(t, 2, func(t *testing.T, w *world) {
			id := lavrequest.NewIDForHost("h1")
			_, end := w.live.Register(t.Context(), id)
			defer end()
			engine := w.rack.Dial(w.rack.Client(entryHost))(&w.rack.Snapshot().Endpoints[0])
			lavassert.NoError(t, engine.Reserve(t.Context(), lavengine.Reservation{ID: string(id) + "/1", Tokens: 10}))
			lavassert.NoError(t, engine.Reserve(t.Context(), lavengine.Reservation{ID: "operator", Tokens: 10}))
			sweeper := lavgang.NewSweeper(w.rack, w.rack.Dial(w.rack.Client("owner")), func(string) bool { return true }, claims{w}, w.scope)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			lavassert.ErrorIs(t, sweeper.Serve(ctx), context.DeadlineExceeded)
			lavassert.Equal(t, "reservations", w.held(), 2)
		})
	})
	t.Run("a dead host's reservations and streams go", func(t *testing.T) {
		inWorld(t, 2, func(t *testing.T, w *world) {
			engine := w.rack.Dial(w.rack.Client(entryHost))(&w.rack.Snapshot().Endpoints[0])
			id := lavrequest.NewIDForHost("h1")
			lavassert.NoError(t, engine.Reserve(t.Context(), lavengine.Reservation{ID: string(id) + "/1", Tokens: 10}))
			stream, err := engine.Submit(t.Context(), lavengine.Submission{ID: id, Model: "caption", Prompt: "lace", MaxTokens: 50_000})
			lavassert.NoError(t, err)
			w.alive = false
			lavassert.NoError(t, stream.Close())
			w.swept(t, true)
		})
	})
}
