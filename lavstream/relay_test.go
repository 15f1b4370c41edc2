package lavstream_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/cockroachdb/errors"
)

// callOnceAfter calls do once, at the first frame after which the caller has
// received at least that many tokens.
func callOnceAfter(a *testPrompt, after int, do func(frame lavstream.EndpointFrame)) {
	called := false
	a.onFrame = func(frame lavstream.EndpointFrame) error {
		if !called && a.tokens >= after {
			called = true
			do(frame)
		}
		return nil
	}
}

func TestRelayThroughFaults(t *testing.T) {
	faults := []struct {
		name        string
		inject      func(s *testSetup, frame lavstream.EndpointFrame)
		maxDuration time.Duration
	}{
		{"the engine dies and restarts", func(s *testSetup, frame lavstream.EndpointFrame) { s.engineOf(frame).Restart() }, 3 * time.Second},
		{"the engine's host goes down", func(s *testSetup, frame lavstream.EndpointFrame) { s.rack.Network.SetDown(frame.Endpoint, true) }, 4 * time.Second},
		{"the connection falls silent", func(s *testSetup, frame lavstream.EndpointFrame) { s.rack.Network.Blackhole(entryHost, frame.Endpoint) }, 6 * time.Second},
		{"the network path is cut", func(s *testSetup, frame lavstream.EndpointFrame) {
			s.rack.Network.SetPartitioned(entryHost, frame.Endpoint, true)
		}, 15 * time.Second},
		{"the network path is cut for one second", func(s *testSetup, frame lavstream.EndpointFrame) {
			s.rack.Network.SetPartitioned(entryHost, frame.Endpoint, true)
			time.AfterFunc(time.Second, func() { s.rack.Network.SetPartitioned(entryHost, frame.Endpoint, false) })
		}, 5 * time.Second},
	}
	for _, f := range faults {
		for _, after := range []int{1, 50, 99} {
			t.Run(f.name, func(t *testing.T) {
				withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
					a := newTestPrompt(strings.Repeat("lace ", 400), 100, 30*time.Second)
					callOnceAfter(a, after, func(frame lavstream.EndpointFrame) { f.inject(s, frame) })
					start := time.Now()
					lavassert.NoError(t, a.run(t, s.hosts[0]))
					a.assertComplete(t)
					lavassert.AtMost(t, "elapsed time", time.Since(start), f.maxDuration)
				})
			})
		}
	}
}

// TestEndpointThatTurnedCold guards against submitting a prompt to an endpoint
// that became cold after the prompt was assigned to it.
func TestEndpointThatTurnedCold(t *testing.T) {
	withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
		first := newTestPrompt("lace", 10, 10*time.Second)
		lavassert.NoError(t, first.run(t, s.hosts[0]))
		cold := first.frames[0].Endpoint
		before := s.engineOf(first.frames[0]).Counts().Submitted
		s.hosts[0].coldEndpoint = cold
		for range 5 {
			a := newTestPrompt("lace", 10, 10*time.Second)
			lavassert.NoError(t, a.run(t, s.hosts[0]))
			a.assertComplete(t)
			lavassert.True(t, "another endpoint answers", a.frames[0].Endpoint != cold)
		}
		lavassert.Equal(t, "prompts submitted to the cold endpoint", s.engineOf(first.frames[0]).Counts().Submitted, before)
	})
}

// TestRelayFaultAtEachStep makes each step that a relay reaches fail once.
func TestRelayFaultAtEachStep(t *testing.T) {
	steps := []lavstep.Step{
		lavstep.SuspectBegin, lavstep.EngineSubmit, lavstep.EngineStream, lavstep.EngineResume,
		lavstep.EngineCancel, lavstep.EngineLoad, lavstep.SuspectDeath,
	}
	for _, step := range steps {
		t.Run(step.String(), func(t *testing.T) {
			withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
				a := newTestPrompt("lace", 50, 20*time.Second)
				callOnceAfter(a, 10, func(frame lavstream.EndpointFrame) { s.engineOf(frame).Restart() })
				var first sync.Once
				ctx := lavstep.WithFaultInjector(t.Context(), func(_ context.Context, at lavstep.Step, _ string) error {
					var err error
					if at == step {
						first.Do(func() { err = errors.New("fault") })
					}
					return err
				})
				_, err := s.hosts[0].relay.Run(ctx, &a.job)
				lavassert.NoError(t, err)
				a.assertComplete(t)
				s.assertMemoryFree(t)
			})
		})
	}
}

func TestRelay(t *testing.T) {
	t.Run("a silent engine that is alive is resumed without a second run", func(t *testing.T) {
		settings := engineSettings()
		settings.Heartbeat = 0
		settings.PrefillRate = 1_000
		withSetup(t, settings, func(t *testing.T, s *testSetup) {
			a := newTestPrompt(strings.Repeat("lace", 10_000), 20, time.Minute)
			lavassert.NoError(t, a.run(t, s.hosts[0]))
			a.assertComplete(t)
			submitted := 0
			for _, e := range s.rack.Engines {
				submitted += e.Counts().Submitted
			}
			lavassert.Equal(t, "prompts submitted", submitted, 1)
			lavassert.AtLeast(t, "streams resumed", s.hosts[0].counter("stream_resumed"), int64(1))
		})
	})
	t.Run("the engine's memory is freed when the caller disconnects", func(t *testing.T) {
		withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
			for _, after := range []int{0, 10} {
				a := newTestPrompt("lace", 10_000, time.Hour)
				ctx, cancel := context.WithCancel(t.Context())
				if after == 0 {
					time.AfterFunc(time.Millisecond, cancel)
				}
				callOnceAfter(a, after, func(lavstream.EndpointFrame) { cancel() })
				_, err := s.hosts[0].relay.Run(ctx, &a.job)
				lavassert.ErrorIs(t, err, context.Canceled)
				lavassert.Equal(t, "engine memory in use", s.usedMemoryTokens(), 0)
				cancel()
			}
		})
	})
	t.Run("a request that kills endpoints is refused after two deaths", func(t *testing.T) {
		withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
			for range 5 {
				a := newTestPrompt("please CRASH", 50, 20*time.Second)
				var refusal *lavqueue.Refusal
				err := a.run(t, s.hosts[0])
				if !errors.As(err, &refusal) || refusal.Reason != lavqueue.ReasonQuarantined {
					t.Errorf("error %v, want a refusal because of quarantine", err)
				}
			}
			crashes := 0
			for _, e := range s.rack.Engines {
				crashes += e.Counts().Crashes
			}
			lavassert.Equal(t, "endpoints killed", crashes, 2)
			other := newTestPrompt("lace", 50, 20*time.Second)
			lavassert.NoError(t, other.run(t, s.hosts[0]))
			other.assertComplete(t)
		})
	})
	t.Run("the last remaining engine dies and restarts", func(t *testing.T) {
		withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
			a := newTestPrompt("lace", 50, 30*time.Second)
			callOnceAfter(a, 10, func(frame lavstream.EndpointFrame) {
				for _, name := range []string{"engine-00", "engine-01", "engine-02"} {
					if name != frame.Endpoint {
						s.rack.Network.SetDown(name, true)
					}
				}
				s.engineOf(frame).Restart()
			})
			lavassert.NoError(t, a.run(t, s.hosts[0]))
			a.assertComplete(t)
		})
	})
	t.Run("a prompt that reaches no engine fails at its deadline", func(t *testing.T) {
		withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
			for _, name := range []string{"engine-00", "engine-01", "engine-02"} {
				s.rack.Network.SetPartitioned(entryHost, name, true)
			}
			a := newTestPrompt("lace", 50, 5*time.Second)
			lavassert.True(t, "the prompt fails", a.run(t, s.hosts[0]) != nil)
		})
	})
}

func TestResume(t *testing.T) {
	// startStream runs a prompt at the first host, waits until the caller has
	// received a number of tokens, and returns what is needed to resume it.
	type startedStream struct {
		token      *lavstream.Token
		ended      chan error
		disconnect context.CancelFunc
	}
	startStream := func(t *testing.T, s *testSetup, a *testPrompt, after int) startedStream {
		t.Helper()
		at := make(chan lavstream.EndpointFrame, 1)
		callOnceAfter(a, after, func(frame lavstream.EndpointFrame) { at <- frame })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := s.hosts[0].relay.Run(ctx, &a.job)
			ended <- err
		}()
		frame := <-at
		token := &lavstream.Token{
			Request: a.job.Request.ID, Endpoint: frame.Endpoint, Incarnation: frame.Incarnation, Host: "h1",
			Customer: "till", Deadline: a.job.Request.Deadline,
		}
		return startedStream{token: token, ended: ended, disconnect: cancel}
	}
	// resume resumes the stream at the second host, for a caller that has already
	// received a number of tokens.
	resume := func(t *testing.T, s *testSetup, token *lavstream.Token, received int) (*testPrompt, error) {
		t.Helper()
		b := &testPrompt{tokens: received}
		err := s.hosts[1].relay.Resume(t.Context(), token, s.rack.Snapshot(), received, func(_ context.Context, t *lavstream.Token) {
			s.hosts[0].streams.HandOver(t.Request)
		}, b.emit)
		return b, err
	}
	t.Run("at another host while the first host still relays the stream", func(t *testing.T) {
		withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
			a := newTestPrompt("lace", 200, time.Minute)
			l := startStream(t, s, a, 50)
			b, err := resume(t, s, l.token, 30)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "rest of the answer", b.text.String(), lavfake.AnswerText("lace", 30, 200))
			lavassert.True(t, "the first host's relay has ended", <-l.ended != nil)
			l.disconnect()
		})
	})
	t.Run("at another host after the caller disconnected from the first", func(t *testing.T) {
		withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
			a := newTestPrompt("lace", 500, time.Minute)
			l := startStream(t, s, a, 50)
			l.disconnect()
			time.Sleep(time.Second)
			b, err := resume(t, s, l.token, 50)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "rest of the answer", b.text.String(), lavfake.AnswerText("lace", 50, 500))
			lavassert.True(t, "the first host's relay has ended", <-l.ended != nil)
		})
	})
	t.Run("a late resume fails because the stream was canceled", func(t *testing.T) {
		withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
			a := newTestPrompt("lace", 5000, time.Minute)
			l := startStream(t, s, a, 50)
			l.disconnect()
			lavassert.True(t, "the first host's relay has ended", <-l.ended != nil)
			_, err := resume(t, s, l.token, 50)
			lavassert.ErrorIs(t, err, lavstream.ErrStreamLost)
			s.assertMemoryFree(t)
		})
	})
	t.Run("a stream that moved to another engine is found", func(t *testing.T) {
		withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
			a := newTestPrompt("lace", 400, time.Minute)
			l := startStream(t, s, a, 50)
			s.rack.Network.SetDown(l.token.Endpoint, true)
			time.Sleep(time.Second)
			b, err := resume(t, s, l.token, 60)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "rest of the answer", b.text.String(), lavfake.AnswerText("lace", 60, 400))
			lavassert.True(t, "the first host's relay has ended", <-l.ended != nil)
			l.disconnect()
		})
	})
}

func TestToken(t *testing.T) {
	now := time.Now()
	token := lavstream.Token{Request: "r", Endpoint: "e", Incarnation: lavengine.Incarnation("i"), Customer: "till", Deadline: now.Add(time.Minute)}
	signer := lavstream.NewSigner([]byte("key"))
	text, err := signer.Sign(&token)
	lavassert.NoError(t, err)
	t.Run("valid for its customer", func(t *testing.T) {
		got, err := signer.Verify(text, "till", now)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "endpoint", got.Endpoint, "e")
	})
	altered := []byte(text)
	altered[len(altered)-3] ^= 1
	for _, c := range []struct {
		name, text, customer string
		key                  string
		at                   time.Time
	}{
		{"another customer", text, "shop", "key", now},
		{"another key", text, "till", "other", now},
		{"altered", string(altered), "till", "key", now},
		{"truncated", text[:20], "till", "key", now},
		{"empty", "", "till", "key", now},
		{"too long", strings.Repeat(text, 100), "till", "key", now},
		{"after its deadline", text, "till", "key", now.Add(2 * time.Minute)},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := lavstream.NewSigner([]byte(c.key)).Verify(c.text, c.customer, c.at)
			lavassert.ErrorIs(t, err, lavstream.ErrInvalidToken)
		})
	}
}
