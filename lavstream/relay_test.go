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

// once runs do at the first piece after that many tokens.
func once(a *ask, after int, do func(p lavstream.EndpointFrame)) {
	done := false
	a.at = func(p lavstream.EndpointFrame) error {
		if !done && a.tokens >= after {
			done = true
			do(p)
		}
		return nil
	}
}

func TestRelayThroughFaults(t *testing.T) {
	faults := []struct {
		name   string
		bring  func(w *world, p lavstream.EndpointFrame)
		within time.Duration
	}{
		{"the engine dies", func(w *world, p lavstream.EndpointFrame) { w.at(p).Restart() }, 3 * time.Second},
		{"the host dies", func(w *world, p lavstream.EndpointFrame) { w.rack.Network.SetDown(p.Endpoint, true) }, 4 * time.Second},
		{"the connection goes silent", func(w *world, p lavstream.EndpointFrame) { w.rack.Network.Silence(entryHost, p.Endpoint) }, 6 * time.Second},
		{"the path is cut", func(w *world, p lavstream.EndpointFrame) { w.rack.Network.SetCut(entryHost, p.Endpoint, true) }, 15 * time.Second},
		{"the path is cut for a moment", func(w *world, p lavstream.EndpointFrame) {
			w.rack.Network.SetCut(entryHost, p.Endpoint, true)
			time.AfterFunc(time.Second, func() { w.rack.Network.SetCut(entryHost, p.Endpoint, false) })
		}, 5 * time.Second},
	}
	for _, f := range faults {
		for _, after := range []int{1, 50, 99} {
			t.Run(f.name, func(t *testing.T) {
				inWorld(t, engineSettings(), func(t *testing.T, w *world) {
					a := newAsk(strings.Repeat("lace ", 400), 100, 30*time.Second)
					once(a, after, func(p lavstream.EndpointFrame) { f.bring(w, p) })
					began := time.Now()
					lavassert.NoError(t, a.run(t, w.hosts[0]))
					a.whole(t)
					lavassert.AtMost(t, "time", time.Since(began), f.within)
				})
			})
		}
	}
}

// TestEndpointThatTurnedCold guards against a prompt being sent to an endpoint
// that has turned cold since the prompt was assigned to it.
func TestEndpointThatTurnedCold(t *testing.T) {
	inWorld(t, engineSettings(), func(t *testing.T, w *world) {
		first := newAsk("lace", 10, 10*time.Second)
		lavassert.NoError(t, first.run(t, w.hosts[0]))
		cold := first.pieces[0].Endpoint
		before := w.at(first.pieces[0]).Counts().Submitted
		w.hosts[0].cold = cold
		for range 5 {
			a := newAsk("lace", 10, 10*time.Second)
			lavassert.NoError(t, a.run(t, w.hosts[0]))
			a.whole(t)
			lavassert.True(t, "another endpoint answers", a.pieces[0].Endpoint != cold)
		}
		lavassert.Equal(t, "prompts sent there", w.at(first.pieces[0]).Counts().Submitted, before)
	})
}

// TestRelayFaultAtEachStep fails each step that a relay reaches, once.
func TestRelayFaultAtEachStep(t *testing.T) {
	steps := []lavstep.Step{
		lavstep.SuspectBegin, lavstep.EngineSubmit, lavstep.EngineStream, lavstep.EngineResume,
		lavstep.EngineCancel, lavstep.EngineLoad, lavstep.SuspectDeath,
	}
	for _, step := range steps {
		t.Run(step.String(), func(t *testing.T) {
			inWorld(t, engineSettings(), func(t *testing.T, w *world) {
				a := newAsk("lace", 50, 20*time.Second)
				once(a, 10, func(p lavstream.EndpointFrame) { w.at(p).Restart() })
				var first sync.Once
				ctx := lavstep.WithProbe(t.Context(), func(_ context.Context, at lavstep.Step, _ string) error {
					var err error
					if at == step {
						first.Do(func() { err = errors.New("fault") })
					}
					return err
				})
				_, err := w.hosts[0].relay.Run(ctx, &a.job)
				lavassert.NoError(t, err)
				a.whole(t)
				w.freed(t)
			})
		})
	}
}

func TestRelay(t *testing.T) {
	t.Run("a silent engine that lives is resumed, not run again", func(t *testing.T) {
		settings := engineSettings()
		settings.Heartbeat = 0
		settings.PrefillRate = 1_000
		inWorld(t, settings, func(t *testing.T, w *world) {
			a := newAsk(strings.Repeat("lace", 10_000), 20, time.Minute)
			lavassert.NoError(t, a.run(t, w.hosts[0]))
			a.whole(t)
			submitted := 0
			for _, e := range w.rack.Engines {
				submitted += e.Counts().Submitted
			}
			lavassert.Equal(t, "submitted", submitted, 1)
			lavassert.AtLeast(t, "resumed", w.hosts[0].count("stream_resumed"), int64(1))
		})
	})
	t.Run("a caller who leaves frees the engine", func(t *testing.T) {
		inWorld(t, engineSettings(), func(t *testing.T, w *world) {
			for _, after := range []int{0, 10} {
				a := newAsk("lace", 10_000, time.Hour)
				ctx, cancel := context.WithCancel(t.Context())
				if after == 0 {
					time.AfterFunc(time.Millisecond, cancel)
				}
				once(a, after, func(lavstream.EndpointFrame) { cancel() })
				_, err := w.hosts[0].relay.Run(ctx, &a.job)
				lavassert.ErrorIs(t, err, context.Canceled)
				lavassert.Equal(t, "memory held", w.held(), 0)
				cancel()
			}
		})
	})
	t.Run("a request that kills endpoints kills two and is refused", func(t *testing.T) {
		inWorld(t, engineSettings(), func(t *testing.T, w *world) {
			for range 5 {
				a := newAsk("please CRASH", 50, 20*time.Second)
				var refusal *lavqueue.Refusal
				err := a.run(t, w.hosts[0])
				if !errors.As(err, &refusal) || refusal.Reason != lavqueue.ReasonQuarantined {
					t.Errorf("error %v, want a quarantine", err)
				}
			}
			crashes := 0
			for _, e := range w.rack.Engines {
				crashes += e.Counts().Crashes
			}
			lavassert.Equal(t, "endpoints killed", crashes, 2)
			innocent := newAsk("lace", 50, 20*time.Second)
			lavassert.NoError(t, innocent.run(t, w.hosts[0]))
			innocent.whole(t)
		})
	})
	t.Run("the only engine left dies and comes back", func(t *testing.T) {
		inWorld(t, engineSettings(), func(t *testing.T, w *world) {
			a := newAsk("lace", 50, 30*time.Second)
			once(a, 10, func(p lavstream.EndpointFrame) {
				for _, name := range []string{"engine-00", "engine-01", "engine-02"} {
					if name != p.Endpoint {
						w.rack.Network.SetDown(name, true)
					}
				}
				w.at(p).Restart()
			})
			lavassert.NoError(t, a.run(t, w.hosts[0]))
			a.whole(t)
		})
	})
	t.Run("nothing outlasts the deadline", func(t *testing.T) {
		inWorld(t, engineSettings(), func(t *testing.T, w *world) {
			for _, name := range []string{"engine-00", "engine-01", "engine-02"} {
				w.rack.Network.SetCut(entryHost, name, true)
			}
			a := newAsk("lace", 50, 5*time.Second)
			lavassert.True(t, "failed", a.run(t, w.hosts[0]) != nil)
		})
	})
}

func TestResume(t *testing.T) {
	// lose runs an ask at the first host until after tokens, leaves it, and
	// returns what is needed to resume.
	type lost struct {
		token *lavstream.Token
		ended chan error
		leave context.CancelFunc
	}
	lose := func(t *testing.T, w *world, a *ask, after int) lost {
		t.Helper()
		at := make(chan lavstream.EndpointFrame, 1)
		once(a, after, func(p lavstream.EndpointFrame) { at <- p })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := w.hosts[0].relay.Run(ctx, &a.job)
			ended <- err
		}()
		p := <-at
		token := &lavstream.Token{
			Request: a.job.Request.ID, Endpoint: p.Endpoint, Incarnation: p.Incarnation, Host: "h1",
			Customer: "till", Deadline: a.job.Request.Deadline,
		}
		return lost{token: token, ended: ended, leave: cancel}
	}
	// resume goes on at the second host with what the caller had by then.
	resume := func(t *testing.T, w *world, token *lavstream.Token, had int) (*ask, error) {
		t.Helper()
		b := &ask{tokens: had}
		err := w.hosts[1].relay.Resume(t.Context(), token, w.rack.Snapshot(), had, func(_ context.Context, t *lavstream.Token) {
			w.hosts[0].live.HandOver(t.Request)
		}, b.emit)
		return b, err
	}
	t.Run("at another host while the first still relays", func(t *testing.T) {
		inWorld(t, engineSettings(), func(t *testing.T, w *world) {
			a := newAsk("lace", 200, time.Minute)
			l := lose(t, w, a, 50)
			b, err := resume(t, w, l.token, 30)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "rest", b.text.String(), lavfake.AnswerText("lace", 30, 200))
			lavassert.True(t, "the first host has let go", <-l.ended != nil)
			l.leave()
		})
	})
	t.Run("at another host after the caller left the first", func(t *testing.T) {
		inWorld(t, engineSettings(), func(t *testing.T, w *world) {
			a := newAsk("lace", 500, time.Minute)
			l := lose(t, w, a, 50)
			l.leave()
			time.Sleep(time.Second)
			b, err := resume(t, w, l.token, 50)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "rest", b.text.String(), lavfake.AnswerText("lace", 50, 500))
			lavassert.True(t, "the first host has let go", <-l.ended != nil)
		})
	})
	t.Run("too late the stream is lost, and says so", func(t *testing.T) {
		inWorld(t, engineSettings(), func(t *testing.T, w *world) {
			a := newAsk("lace", 5000, time.Minute)
			l := lose(t, w, a, 50)
			l.leave()
			lavassert.True(t, "the first host has let go", <-l.ended != nil)
			_, err := resume(t, w, l.token, 50)
			lavassert.ErrorIs(t, err, lavstream.ErrStreamLost)
			w.freed(t)
		})
	})
	t.Run("a stream that has moved since is found", func(t *testing.T) {
		inWorld(t, engineSettings(), func(t *testing.T, w *world) {
			a := newAsk("lace", 400, time.Minute)
			l := lose(t, w, a, 50)
			w.rack.Network.SetDown(l.token.Endpoint, true)
			time.Sleep(time.Second)
			b, err := resume(t, w, l.token, 60)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "rest", b.text.String(), lavfake.AnswerText("lace", 60, 400))
			lavassert.True(t, "the first host has let go", <-l.ended != nil)
			l.leave()
		})
	})
}

func TestToken(t *testing.T) {
	now := time.Now()
	token := lavstream.Token{Request: "r", Endpoint: "e", Incarnation: lavengine.Incarnation("i"), Customer: "till", Deadline: now.Add(time.Minute)}
	signer := lavstream.NewSigner([]byte("key"))
	text, err := signer.Sign(&token)
	lavassert.NoError(t, err)
	t.Run("serves its customer", func(t *testing.T) {
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
		{"cut", text[:20], "till", "key", now},
		{"empty", "", "till", "key", now},
		{"huge", strings.Repeat(text, 100), "till", "key", now},
		{"after its deadline", text, "till", "key", now.Add(2 * time.Minute)},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := lavstream.NewSigner([]byte(c.key)).Verify(c.text, c.customer, c.at)
			lavassert.ErrorIs(t, err, lavstream.ErrInvalidToken)
		})
	}
}
