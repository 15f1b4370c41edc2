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
	// Each engine has memory for 100,000 tokens. The prompt has 8 segments.
	engineMemory = 100_000
	promptTokens = 240_000
	answerTokens = 50
)

// testCluster is a set of engines in two failure domains and one entry host.
type testCluster struct {
	rack          *lavfake.EngineCluster
	runner        *lavgang.Runner
	activeStreams *lavstream.ActiveStreams
	cleanup       *lavstream.Cleanup
	scope         tally.TestScope
	// hostAlive is false after the entry host has died.
	hostAlive bool
	// staleSnapshot is the entry host's view of the engines until the time
	// staleUntil, whatever the engines report.
	staleSnapshot *lavendpoint.Snapshot
	staleUntil    time.Time
	// silentUntil is when engines answer again the question whether they are cold.
	silentUntil time.Time
}

// confirm returns the load report of an engine unless engines are silent.
func (tc *testCluster) confirm(ctx context.Context, e *lavendpoint.Endpoint) (lavengine.LoadReport, error) {
	if time.Now().Before(tc.silentUntil) {
		time.Sleep(300 * time.Millisecond)
		return lavengine.LoadReport{}, context.DeadlineExceeded
	}
	return tc.rack.Confirm(ctx, e)
}

// Snapshot returns the entry host's view of the engines.
func (tc *testCluster) Snapshot() *lavendpoint.Snapshot {
	if time.Now().Before(tc.staleUntil) {
		return tc.staleSnapshot
	}
	return tc.rack.Snapshot()
}

// freezeSnapshot keeps the entry host's view of the engines unchanged for the
// duration d.
func (tc *testCluster) freezeSnapshot(d time.Duration) {
	tc.staleSnapshot, tc.staleUntil = tc.rack.Snapshot(), time.Now().Add(d)
}

func engineSettings() lavfake.EngineSettings {
	return lavfake.EngineSettings{
		MemoryTokens: engineMemory, PrefillRate: 20_000, DecodeRate: 100, Step: 20 * time.Millisecond,
		ColdLimit: 10_000, ColdTime: 2 * time.Second, DownTime: time.Second,
		Heartbeat: time.Second, StreamRetention: 5 * time.Second, Models: []string{"caption"}, CrashMarker: "CRASH",
	}
}

func withCluster(t *testing.T, engines int, body func(t *testing.T, tc *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := &testCluster{rack: lavfake.NewEngineCluster(1, 2*time.Millisecond), hostAlive: true, activeStreams: lavstream.NewActiveStreams(), cleanup: lavstream.NewCleanup(), scope: tally.NewTestScope("", nil)}
		for i := range engines {
			_, err := tc.rack.Add([]string{"north", "south"}[i%2], engineSettings())
			lavassert.NoError(t, err)
		}
		tc.runner = lavgang.NewRunner(lavgang.Config{
			Endpoints: tc,
			Engine:    tc.rack.Dial(tc.rack.Client(entryHost)),
			Confirm:   tc.confirm,
			Live:      tc.activeStreams,
			Cleanup:   tc.cleanup,
			Suspects:  lavretry.NewSuspects(lavfake.NewStore(), lavretry.NoPeers{}),
			Scope:     tc.scope,
		})
		body(t, tc)
		tc.cleanup.Wait(t.Context())
		lavassert.NoError(t, tc.rack.Close(t.Context()))
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

// prompt returns a text with multi-byte characters, so that a split within a
// character shows in the answer.
func prompt() string { return strings.Repeat("Speichenlänge ", promptTokens*4/15) }

func (tc *testCluster) run(ctx context.Context, job *lavstream.Job) (lavretry.Attempts, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Request.Deadline)
	defer cancel()
	return tc.runner.Run(ctx, job)
}

func (tc *testCluster) checkAnswer(t *testing.T, job *lavstream.Job, answer *strings.Builder) {
	t.Helper()
	lavassert.Equal(t, "answer", answer.String(), lavfake.AnswerText(job.Text, 0, answerTokens))
}

func (tc *testCluster) memoryHolders() int {
	holders := 0
	for _, e := range tc.rack.Engines {
		holders += e.RunningStreams() + e.ReservationCount()
	}
	return holders
}

func (tc *testCluster) counter(name string) int64 {
	if c, ok := tc.scope.Snapshot().Counters()[name+"+"]; ok {
		return c.Value()
	}
	return 0
}

// atStep calls do when the run reaches a step for the nth time.
func atStep(ctx context.Context, step lavstep.Step, nth int, do func(peer string) error) context.Context {
	var mu sync.Mutex
	reached := 0
	return lavstep.WithFaultInjector(ctx, func(_ context.Context, s lavstep.Step, peer string) error {
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

// checkNoColdOverload runs a gang whose engines turn cold at the nth checkpoint, just after
// disturb was called. It checks that the answer is complete and no engine was overloaded.
func (tc *testCluster) checkNoColdOverload(t *testing.T, nth int, disturb func()) {
	t.Helper()
	ctx := atStep(t.Context(), lavstep.GangCheckpoint, nth, func(string) error {
		disturb()
		for i, e := range tc.rack.Engines {
			if i%2 == 0 && e.ReservationCount() > 0 {
				e.MakeCold()
			}
		}
		return nil
	})
	job, answer := newJob(prompt(), 5*time.Minute)
	_, err := tc.run(ctx, job)
	lavassert.NoError(t, err)
	tc.checkAnswer(t, job, answer)
	for i, e := range tc.rack.Engines {
		lavassert.Equal(t, fmt.Sprint("cold overloads of ", i), e.Counts().ColdOverloads, 0)
	}
	lavassert.Equal(t, "streams and reservations left", tc.memoryHolders(), 0)
}

func TestGang(t *testing.T) {
	t.Run("a prompt longer than any engine's memory is answered completely", func(t *testing.T) {
		withCluster(t, 8, func(t *testing.T, tc *testCluster) {
			job, answer := newJob(prompt(), 5*time.Minute)
			lavassert.True(t, "needs a gang", tc.runner.NeedsGang(job.Request))
			attempts, err := tc.run(t.Context(), job)
			lavassert.NoError(t, err)
			tc.checkAnswer(t, job, answer)
			lavassert.Equal(t, "streams and reservations left", tc.memoryHolders(), 0)
			domains := make(map[string]bool)
			for _, name := range attempts.Endpoints() {
				e, _ := tc.rack.Snapshot().Find(name)
				domains[e.FailureDomain] = true
			}
			lavassert.Equal(t, "failure domains", len(domains), 1)
		})
	})
	t.Run("a prompt that no failure domain can hold is refused immediately", func(t *testing.T) {
		withCluster(t, 4, func(t *testing.T, tc *testCluster) {
			job, _ := newJob(prompt(), 5*time.Minute)
			start := time.Now()
			attempts, err := tc.run(t.Context(), job)
			var refusal *lavqueue.Refusal
			lavassert.True(t, "refused", errors.As(err, &refusal))
			lavassert.Equal(t, "outcome", attempts.FailureOutcome(), lavrequest.OutcomeNotRun)
			lavassert.Equal(t, "elapsed time", time.Since(start), time.Duration(0))
		})
	})
	t.Run("concurrent gangs share the failure domains and all finish", func(t *testing.T) {
		withCluster(t, 8, func(t *testing.T, tc *testCluster) {
			var running sync.WaitGroup
			for i := range 6 {
				job, answer := newJob(fmt.Sprint(i, prompt()), 10*time.Minute)
				running.Go(func() {
					_, err := tc.run(t.Context(), job)
					lavassert.NoError(t, err)
					tc.checkAnswer(t, job, answer)
				})
			}
			running.Wait()
			lavassert.Equal(t, "streams and reservations left", tc.memoryHolders(), 0)
		})
	})
	// Guards against sending work to an engine that has turned cold, be it
	// prefill or the decoding of the answer at the last part. The entry host may
	// learn only 3 s later that the engine is cold.
	for _, lag := range []time.Duration{0, 3 * time.Second} {
		t.Run(fmt.Sprintf("an engine that turns cold gets no more work, with load reports late by %v", lag), func(t *testing.T) {
			for _, nth := range []int{1, 5, 7} {
				withCluster(t, 8, func(t *testing.T, tc *testCluster) {
					tc.checkNoColdOverload(t, nth, func() { tc.freezeSnapshot(lag) })
				})
			}
		})
	}
	// Guards against taking an engine for warm because the question whether it is
	// cold was lost on the way.
	t.Run("an engine that turns cold and can't be asked gets no more work", func(t *testing.T) {
		for _, nth := range []int{1, 5, 7} {
			withCluster(t, 8, func(t *testing.T, tc *testCluster) {
				tc.checkNoColdOverload(t, nth, func() { tc.silentUntil = time.Now().Add(time.Second) })
			})
		}
	})
	t.Run("a prompt that kills engines is quarantined after two deaths", func(t *testing.T) {
		withCluster(t, 8, func(t *testing.T, tc *testCluster) {
			for range 3 {
				job, _ := newJob(prompt()+"CRASH", 5*time.Minute)
				_, err := tc.run(t.Context(), job)
				var refusal *lavqueue.Refusal
				if !errors.As(err, &refusal) || refusal.Reason != lavqueue.ReasonQuarantined {
					t.Errorf("error %v, want a quarantine", err)
				}
			}
			crashes := 0
			for _, e := range tc.rack.Engines {
				crashes += e.Counts().Crashes
			}
			lavassert.Equal(t, "engines killed", crashes, 2)
			lavassert.Equal(t, "streams and reservations left", tc.memoryHolders(), 0)
		})
	})
}

// gangSteps are the steps of a gang at which the tests inject faults, each when
// it is reached for the nth time.
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
			withCluster(t, 10, func(t *testing.T, tc *testCluster) {
				job, answer := newJob(prompt(), 5*time.Minute)
				died := ""
				ctx := atStep(t.Context(), s.step, s.nth, func(peer string) error {
					for i, e := range tc.rack.Snapshot().Endpoints {
						if peer == e.Name || peer == "http://"+e.Addr.String() {
							died = e.Name
							tc.rack.Engines[i].Restart()
						}
					}
					return nil
				})
				attempts, err := tc.run(ctx, job)
				lavassert.NoError(t, err)
				tc.checkAnswer(t, job, answer)
				lavassert.Equal(t, "streams and reservations left", tc.memoryHolders(), 0)
				// Seven segments and the answer make 8 attempts, and one of them
				// is repeated.
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
			withCluster(t, 10, func(t *testing.T, tc *testCluster) {
				job, answer := newJob(prompt(), 5*time.Minute)
				_, err := tc.run(atStep(t.Context(), s.step, s.nth, func(string) error { return errors.New("fault") }), job)
				lavassert.NoError(t, err)
				tc.checkAnswer(t, job, answer)
				tc.sweepAndCheck(t, false)
			})
		})
	}
}

// hostClaims answers claim checks for the entry host. After its death nothing is
// claimed.
type hostClaims struct{ tc *testCluster }

func (c hostClaims) Claimed(_ context.Context, id lavrequest.ID) (claimed, known bool) {
	return c.tc.hostAlive && c.tc.activeStreams.Contains(id), true
}

// sweepAndCheck runs a sweeper for 40 s and checks that nothing holds memory
// afterwards. With wantSwept, the sweeper must have released something.
func (tc *testCluster) sweepAndCheck(t *testing.T, wantSwept bool) {
	t.Helper()
	owns := func(string) bool { return true }
	sweeper := lavgang.NewSweeper(tc.rack, tc.rack.Dial(tc.rack.Client("owner")), owns, hostClaims{tc}, tc.scope)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	lavassert.ErrorIs(t, sweeper.Serve(ctx), context.DeadlineExceeded)
	lavassert.Equal(t, "streams and reservations left after the sweep", tc.memoryHolders(), 0)
	lavassert.True(t, "the sweeper released something", !wantSwept || tc.counter("swept") > 0)
}

// TestHostDiesAtEachStep guards against memory that is never released after the
// entry host dies: the host loses all connections, and nothing claims its
// requests.
func TestHostDiesAtEachStep(t *testing.T) {
	for _, s := range gangSteps {
		t.Run(fmt.Sprint(s.step, " ", s.nth), func(t *testing.T) {
			withCluster(t, 10, func(t *testing.T, tc *testCluster) {
				job, _ := newJob(prompt(), 5*time.Minute)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				_, err := tc.run(atStep(ctx, s.step, s.nth, func(string) error {
					tc.hostAlive = false
					tc.rack.Network.SetDown(entryHost, true)
					cancel()
					return errors.New("host is dead")
				}), job)
				if s.step != lavstep.GangRelease && s.step != lavstep.EngineRelease {
					lavassert.True(t, "the run failed", err != nil)
				}
				tc.sweepAndCheck(t, false)
			})
		})
	}
}

func TestSweep(t *testing.T) {
	t.Run("requests that a live host claims are not released", func(t *testing.T) {
		withCluster(t, 2, func(t *testing.T, tc *testCluster) {
			id := lavrequest.NewIDForHost("h1")
			_, end := tc.activeStreams.Register(t.Context(), id)
			defer end()
			engine := tc.rack.Dial(tc.rack.Client(entryHost))(&tc.rack.Snapshot().Endpoints[0])
			lavassert.NoError(t, engine.Reserve(t.Context(), lavengine.Reservation{ID: string(id) + "/1", Tokens: 10}))
			lavassert.NoError(t, engine.Reserve(t.Context(), lavengine.Reservation{ID: "operator", Tokens: 10}))
			sweeper := lavgang.NewSweeper(tc.rack, tc.rack.Dial(tc.rack.Client("owner")), func(string) bool { return true }, hostClaims{tc}, tc.scope)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			lavassert.ErrorIs(t, sweeper.Serve(ctx), context.DeadlineExceeded)
			lavassert.Equal(t, "reservations", tc.memoryHolders(), 2)
		})
	})
	t.Run("a dead host's reservations and streams are released", func(t *testing.T) {
		withCluster(t, 2, func(t *testing.T, tc *testCluster) {
			engine := tc.rack.Dial(tc.rack.Client(entryHost))(&tc.rack.Snapshot().Endpoints[0])
			id := lavrequest.NewIDForHost("h1")
			lavassert.NoError(t, engine.Reserve(t.Context(), lavengine.Reservation{ID: string(id) + "/1", Tokens: 10}))
			stream, err := engine.Submit(t.Context(), lavengine.Submission{ID: id, Model: "caption", Prompt: "lace", MaxTokens: 50_000})
			lavassert.NoError(t, err)
			tc.hostAlive = false
			lavassert.NoError(t, stream.Close())
			tc.sweepAndCheck(t, true)
		})
	})
}
