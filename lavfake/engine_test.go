package lavfake_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

const engineAddr = "10.0.0.9:8000"

// onEngine runs body with an engine in a bubble and the adapter that reaches
// it over a network in memory.
func onEngine(t *testing.T, change func(*lavfake.EngineSettings), body func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := lavfake.EngineSettings{
			MemoryTokens: 20_000, CacheTokens: 8_000, PrefillRate: 10_000, DecodeRate: 100,
			Step: 10 * time.Millisecond, ColdLimit: 1_000, ColdTime: 10 * time.Second,
			Heartbeat: 200 * time.Millisecond, Models: []string{"m"},
		}
		change(&settings)
		fake := lavfake.NewEngine(settings)
		n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		on, err := n.Host(lavfakenet.HostInfo{Host: "engine"}).Listen("tcp", engineAddr)
		lavassert.NoError(t, err)
		server := &http.Server{Handler: fake.Handler()}
		go func() { _ = server.Serve(on) }()
		transport := &http.Transport{DialContext: n.Host(lavfakenet.HostInfo{Host: "front"}).DialContext}
		body(t, fake, lavengine.NewHTTP(&http.Client{Transport: transport}, "http://"+engineAddr))
		fake.Close()
		transport.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
	})
}

func asIs(*lavfake.EngineSettings) {}

func text(tokens int) string { return strings.Repeat("word", tokens-1) }

func submission(id, prompt string, tokens int) lavengine.Submission {
	return lavengine.Submission{ID: lavrequest.ID(id), Model: "m", Prompt: prompt, MaxTokens: tokens}
}

// readAll reads a stream to its end and returns its text.
func readAll(t *testing.T, s lavengine.Stream) string {
	t.Helper()
	var all strings.Builder
	for {
		f, err := s.Next()
		if errors.Is(err, io.EOF) {
			return all.String()
		}
		lavassert.NoError(t, err)
		all.WriteString(f.Text)
	}
}

// run submits a prompt and returns its answer and the time that it took.
func run(t *testing.T, engine lavengine.Engine, s lavengine.Submission) (string, time.Duration) {
	t.Helper()
	began := time.Now()
	stream, err := engine.Submit(t.Context(), s)
	lavassert.NoError(t, err)
	return readAll(t, stream), time.Since(began)
}

func TestEngineBatches(t *testing.T) {
	t.Run("an answer takes prefill and decode time", func(t *testing.T) {
		onEngine(t, asIs, func(t *testing.T, _ *lavfake.Engine, engine lavengine.Engine) {
			got, took := run(t, engine, submission("a", text(5_000), 50))
			lavassert.Equal(t, "answer", got, lavfake.AnswerText(text(5_000), 0, 50))
			lavassert.AtLeast(t, "time", took, 990*time.Millisecond)
			lavassert.AtMost(t, "time", took, 1050*time.Millisecond)
		})
	})
	t.Run("a lower priority waits", func(t *testing.T) {
		onEngine(t, asIs, func(t *testing.T, _ *lavfake.Engine, engine lavengine.Engine) {
			long := submission("long", text(10_000), 1)
			long.Priority = 3
			stream, err := engine.Submit(t.Context(), long)
			lavassert.NoError(t, err)
			_, took := run(t, engine, submission("short", text(1_000), 1))
			lavassert.AtMost(t, "time of the short prompt", took, 150*time.Millisecond)
			readAll(t, stream)
		})
	})
	t.Run("memory is bounded and comes back", func(t *testing.T) {
		onEngine(t, asIs, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			_, err := engine.Submit(t.Context(), submission("a", text(15_000), 10))
			lavassert.NoError(t, err)
			_, err = engine.Submit(t.Context(), submission("b", text(15_000), 10))
			lavassert.ErrorIs(t, err, lavengine.ErrRefused)
			lavassert.NoError(t, engine.Cancel(t.Context(), "a"))
			lavassert.Equal(t, "running", fake.RunningStreams(), 0)
			run(t, engine, submission("c", text(15_000), 10))
			lavassert.Equal(t, "begun", len(fake.History().Started()), 2)
		})
	})
}

func TestEngineResumes(t *testing.T) {
	t.Run("from an offset while it runs and for a while after its end", func(t *testing.T) {
		onEngine(t, asIs, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			s := submission("a", text(100), 100)
			stream, err := engine.Submit(t.Context(), s)
			lavassert.NoError(t, err)
			f, err := stream.Next()
			lavassert.NoError(t, err)
			lavassert.NoError(t, stream.Close())
			resumed, err := engine.Resume(t.Context(), "a", f.Incarnation, f.Tokens)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "rest", readAll(t, resumed), lavfake.AnswerText(s.Prompt, f.Tokens, 100))
			ended, err := engine.Resume(t.Context(), "a", f.Incarnation, 90)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "end", readAll(t, ended), lavfake.AnswerText(s.Prompt, 90, 100))
			time.Sleep(time.Minute)
			_, err = engine.Resume(t.Context(), "a", f.Incarnation, 90)
			lavassert.ErrorIs(t, err, lavengine.ErrGone)
			lavassert.Equal(t, "resumed", fake.Counts().Resumed, 2)
		})
	})
	t.Run("not in another life", func(t *testing.T) {
		onEngine(t, asIs, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			stream, err := engine.Submit(t.Context(), submission("a", text(100), 100))
			lavassert.NoError(t, err)
			f, err := stream.Next()
			lavassert.NoError(t, err)
			fake.Restart()
			for err == nil {
				_, err = stream.Next()
			}
			lavassert.ErrorIs(t, err, lavengine.ErrBroken)
			_, err = engine.Resume(t.Context(), "a", f.Incarnation, f.Tokens)
			lavassert.ErrorIs(t, err, lavengine.ErrGone)
		})
	})
}

func TestEngineDies(t *testing.T) {
	t.Run("cold, of more than it bears", func(t *testing.T) {
		onEngine(t, asIs, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			fake.Restart()
			run(t, engine, submission("little", text(500), 10))
			lavassert.Equal(t, "overloads", fake.Counts().ColdOverloads, 0)
			_, err := engine.Submit(t.Context(), submission("much", text(2_000), 10))
			lavassert.ErrorIs(t, err, lavengine.ErrBroken)
			lavassert.Equal(t, "overloads", fake.Counts().ColdOverloads, 1)
			time.Sleep(11 * time.Second)
			run(t, engine, submission("warm", text(2_000), 10))
		})
	})
	t.Run("of a prompt that crashes it", func(t *testing.T) {
		onEngine(t, func(s *lavfake.EngineSettings) { s.CrashMarker = "poison" }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			_, err := engine.Submit(t.Context(), submission("a", "some poison", 10))
			lavassert.ErrorIs(t, err, lavengine.ErrBroken)
			lavassert.Equal(t, "crashes", fake.Counts().Crashes, 1)
		})
	})
	t.Run("and answers nothing while it is down", func(t *testing.T) {
		onEngine(t, func(s *lavfake.EngineSettings) { s.DownTime = time.Second }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			fake.Restart()
			_, err := engine.Load(t.Context())
			lavassert.True(t, "load fails", err != nil)
			time.Sleep(time.Second)
			report, err := engine.Load(t.Context())
			lavassert.NoError(t, err)
			lavassert.True(t, "cold", report.Cold)
		})
	})
}

func TestEngineCaches(t *testing.T) {
	t.Run("a prefix is read once, until it is pushed out", func(t *testing.T) {
		onEngine(t, func(s *lavfake.EngineSettings) { s.Lag = time.Second }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			prefix := text(4_097)
			run(t, engine, submission("a", prefix+"one", 1))
			_, took := run(t, engine, submission("b", prefix+"two", 1))
			lavassert.AtMost(t, "time with the prefix cached", took, 100*time.Millisecond)
			events, err := engine.Events(t.Context(), 0)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "events before their lag", len(events), 0)
			other := strings.Repeat("else", 7_000)
			run(t, engine, submission("c", other, 1))
			hits := fake.Counts().HitTokens
			run(t, engine, submission("d", prefix+"three", 1))
			lavassert.AtMost(t, "hits after eviction", fake.Counts().HitTokens-hits, 1_500)
			time.Sleep(time.Second)
			events, err = engine.Events(t.Context(), 0)
			lavassert.NoError(t, err)
			evicted := 0
			for i, e := range events {
				lavassert.Equal(t, "number", e.Number, uint64(i+1))
				if e.Evicted {
					evicted++
				}
			}
			lavassert.AtLeast(t, "evictions", evicted, 10)
		})
	})
	t.Run("lost events leave gaps", func(t *testing.T) {
		onEngine(t, func(s *lavfake.EngineSettings) { s.EventLoss, s.Seed = 0.5, 7 }, func(t *testing.T, _ *lavfake.Engine, engine lavengine.Engine) {
			run(t, engine, submission("a", text(8_000), 1))
			events, err := engine.Events(t.Context(), 0)
			lavassert.NoError(t, err)
			last := events[len(events)-1].Number
			lavassert.AtLeast(t, "lost", int(last)-len(events), 1)
		})
	})
}

func TestEngineReserves(t *testing.T) {
	t.Run("a prompt read in segments at two engines answers as a whole one", func(t *testing.T) {
		onEngine(t, asIs, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			ctx := t.Context()
			whole := strings.Repeat("abcd", 9_000)
			lavassert.NoError(t, engine.Reserve(ctx, lavengine.Reservation{ID: "r", Tokens: 10_000}))
			first, err := engine.Prefill(ctx, "r", "", whole[:16_000])
			lavassert.NoError(t, err)
			state, err := engine.Export(ctx, first)
			lavassert.NoError(t, err)
			moved, err := engine.Import(ctx, state)
			lavassert.NoError(t, err)
			second, err := engine.Prefill(ctx, "r", moved, whole[16_000:32_000])
			lavassert.NoError(t, err)
			last := submission("a", whole[32_000:], 20)
			last.Reservation, last.Checkpoint = "r", second
			got, _ := run(t, engine, last)
			lavassert.Equal(t, "answer", got, lavfake.AnswerText(whole, 0, 20))
			_, err = engine.Prefill(ctx, "r", "", text(4_000))
			lavassert.ErrorIs(t, err, lavengine.ErrRefused)
			lavassert.NoError(t, engine.Release(ctx, "r"))
			lavassert.Equal(t, "reserved", fake.ReservationCount(), 0)
		})
	})
	t.Run("a reservation holds memory until it is released or lapses", func(t *testing.T) {
		onEngine(t, func(s *lavfake.EngineSettings) { s.ReservationLapse = time.Minute }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			want := lavengine.Reservation{ID: "r", Tokens: 15_000}
			lavassert.NoError(t, engine.Reserve(t.Context(), want))
			lavassert.NoError(t, engine.Reserve(t.Context(), want))
			report, err := engine.Load(t.Context())
			lavassert.NoError(t, err)
			lavassert.Equal(t, "listed", report.Reservations, []string{"r"})
			_, err = engine.Submit(t.Context(), submission("a", text(10_000), 1))
			lavassert.ErrorIs(t, err, lavengine.ErrRefused)
			time.Sleep(time.Minute)
			lavassert.Equal(t, "reserved", fake.ReservationCount(), 0)
		})
	})
	t.Run("a segment whose caller has gone is dropped", func(t *testing.T) {
		onEngine(t, asIs, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			lavassert.NoError(t, engine.Reserve(t.Context(), lavengine.Reservation{ID: "r", Tokens: 15_000}))
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := engine.Prefill(ctx, "r", "", text(10_000))
			lavassert.True(t, "segment fails", err != nil)
			time.Sleep(time.Second)
			lavassert.Equal(t, "running", fake.RunningStreams(), 0)
		})
	})
}

func TestEngineObeys(t *testing.T) {
	order := func(t *testing.T, engine lavengine.Engine, fence uint64, models ...string) error {
		t.Helper()
		_, err := engine.Order(t.Context(), lavengine.Order{Fence: fence, Models: models})
		return err
	}
	t.Run("an engine that checks refuses an old fencing number", func(t *testing.T) {
		onEngine(t, func(s *lavfake.EngineSettings) { s.ChecksFence = true }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			lavassert.NoError(t, order(t, engine, 2, "m", "n"))
			lavassert.ErrorIs(t, order(t, engine, 1), lavengine.ErrFenced)
			run(t, engine, lavengine.Submission{ID: "a", Model: "n", Prompt: "x", MaxTokens: 1})
			lavassert.Equal(t, "refused", fake.Counts().FenceRefused, 1)
		})
	})
	t.Run("one that doesn't obeys and counts", func(t *testing.T) {
		onEngine(t, func(s *lavfake.EngineSettings) { s.LoadTime = time.Second }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			lavassert.NoError(t, order(t, engine, 2, "m"))
			lavassert.NoError(t, order(t, engine, 1, "n"))
			lavassert.Equal(t, "violations", fake.Counts().FenceViolations, 1)
			_, err := engine.Submit(t.Context(), lavengine.Submission{ID: "a", Model: "n", Prompt: "x", MaxTokens: 1})
			lavassert.ErrorIs(t, err, lavengine.ErrGone)
			time.Sleep(time.Second)
			run(t, engine, lavengine.Submission{ID: "b", Model: "n", Prompt: "x", MaxTokens: 1})
		})
	})
}

func TestChillIsReportedAfterTheLag(t *testing.T) {
	const lag, pollEvery = 200 * time.Millisecond, 500 * time.Millisecond
	onEngine(t, func(s *lavfake.EngineSettings) { s.Lag = lag }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
		cold := func() bool {
			report, err := engine.Load(t.Context())
			lavassert.NoError(t, err)
			return report.Cold
		}
		lavassert.Equal(t, "cold at first", cold(), false)
		time.Sleep(pollEvery)
		lavassert.Equal(t, "cold before", cold(), false)
		fake.MakeCold()
		time.Sleep(lag)
		lavassert.Equal(t, "cold after the lag", cold(), true)
	})
}
