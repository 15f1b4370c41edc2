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

// withEngine runs body in a synctest bubble with a fake engine and an HTTP
// client that reaches it over an in-memory network.
func withEngine(t *testing.T, adjust func(*lavfake.EngineSettings), body func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := lavfake.EngineSettings{
			MemoryTokens: 20_000, CacheTokens: 8_000, PrefillRate: 10_000, DecodeRate: 100,
			Step: 10 * time.Millisecond, ColdLimit: 1_000, ColdTime: 10 * time.Second,
			Heartbeat: 200 * time.Millisecond, Models: []string{"m"},
		}
		adjust(&settings)
		fake := lavfake.NewEngine(settings)
		network := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		listener, err := network.Host(lavfakenet.HostInfo{Host: "engine"}).Listen("tcp", engineAddr)
		lavassert.NoError(t, err)
		server := &http.Server{Handler: fake.Handler()}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: network.Host(lavfakenet.HostInfo{Host: "front"}).DialContext}
		body(t, fake, lavengine.NewHTTP(&http.Client{Transport: transport}, "http://"+engineAddr))
		fake.Close()
		transport.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
	})
}

func defaultSettings(*lavfake.EngineSettings) {}

func promptOf(tokens int) string { return strings.Repeat("word", tokens-1) }

func submission(id, prompt string, tokens int) lavengine.Submission {
	return lavengine.Submission{ID: lavrequest.ID(id), Model: "m", Prompt: prompt, MaxTokens: tokens}
}

// readAll reads a stream to its end and returns the concatenated text.
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

// complete submits a prompt, reads the whole answer, and returns the answer and
// the elapsed time.
func complete(t *testing.T, engine lavengine.Engine, s lavengine.Submission) (string, time.Duration) {
	t.Helper()
	start := time.Now()
	stream, err := engine.Submit(t.Context(), s)
	lavassert.NoError(t, err)
	return readAll(t, stream), time.Since(start)
}

func TestEngineBatches(t *testing.T) {
	t.Run("the answer time is prefill time plus decode time", func(t *testing.T) {
		withEngine(t, defaultSettings, func(t *testing.T, _ *lavfake.Engine, engine lavengine.Engine) {
			got, elapsed := complete(t, engine, submission("a", promptOf(5_000), 50))
			lavassert.Equal(t, "answer", got, lavfake.AnswerText(promptOf(5_000), 0, 50))
			lavassert.AtLeast(t, "elapsed time", elapsed, 990*time.Millisecond)
			lavassert.AtMost(t, "elapsed time", elapsed, 1050*time.Millisecond)
		})
	})
	t.Run("a lower-priority prompt waits for a higher-priority one", func(t *testing.T) {
		withEngine(t, defaultSettings, func(t *testing.T, _ *lavfake.Engine, engine lavengine.Engine) {
			long := submission("long", promptOf(10_000), 1)
			long.Priority = 3
			stream, err := engine.Submit(t.Context(), long)
			lavassert.NoError(t, err)
			_, elapsed := complete(t, engine, submission("short", promptOf(1_000), 1))
			lavassert.AtMost(t, "time of the short prompt", elapsed, 150*time.Millisecond)
			readAll(t, stream)
		})
	})
	t.Run("memory is limited and is freed on cancellation", func(t *testing.T) {
		withEngine(t, defaultSettings, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			_, err := engine.Submit(t.Context(), submission("a", promptOf(15_000), 10))
			lavassert.NoError(t, err)
			_, err = engine.Submit(t.Context(), submission("b", promptOf(15_000), 10))
			lavassert.ErrorIs(t, err, lavengine.ErrRefused)
			lavassert.NoError(t, engine.Cancel(t.Context(), "a"))
			lavassert.Equal(t, "running streams", fake.RunningStreams(), 0)
			complete(t, engine, submission("c", promptOf(15_000), 10))
			lavassert.Equal(t, "started requests", len(fake.History().Started()), 2)
		})
	})
}

func TestEngineResumes(t *testing.T) {
	t.Run("from an offset, while it runs and for a limited time after its end", func(t *testing.T) {
		withEngine(t, defaultSettings, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			s := submission("a", promptOf(100), 100)
			stream, err := engine.Submit(t.Context(), s)
			lavassert.NoError(t, err)
			f, err := stream.Next()
			lavassert.NoError(t, err)
			lavassert.NoError(t, stream.Close())
			resumed, err := engine.Resume(t.Context(), "a", f.Incarnation, f.Tokens)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "remaining answer", readAll(t, resumed), lavfake.AnswerText(s.Prompt, f.Tokens, 100))
			ended, err := engine.Resume(t.Context(), "a", f.Incarnation, 90)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "end of the answer", readAll(t, ended), lavfake.AnswerText(s.Prompt, 90, 100))
			time.Sleep(time.Minute)
			_, err = engine.Resume(t.Context(), "a", f.Incarnation, 90)
			lavassert.ErrorIs(t, err, lavengine.ErrGone)
			lavassert.Equal(t, "resumed streams", fake.Counts().Resumed, 2)
		})
	})
	t.Run("not after a restart of the engine", func(t *testing.T) {
		withEngine(t, defaultSettings, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			stream, err := engine.Submit(t.Context(), submission("a", promptOf(100), 100))
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
	t.Run("when it is cold and receives more than its limit", func(t *testing.T) {
		withEngine(t, defaultSettings, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			fake.Restart()
			complete(t, engine, submission("small", promptOf(500), 10))
			lavassert.Equal(t, "cold overloads", fake.Counts().ColdOverloads, 0)
			_, err := engine.Submit(t.Context(), submission("large", promptOf(2_000), 10))
			lavassert.ErrorIs(t, err, lavengine.ErrBroken)
			lavassert.Equal(t, "cold overloads", fake.Counts().ColdOverloads, 1)
			time.Sleep(11 * time.Second)
			complete(t, engine, submission("warm", promptOf(2_000), 10))
		})
	})
	t.Run("when a prompt contains the crash marker", func(t *testing.T) {
		withEngine(t, func(s *lavfake.EngineSettings) { s.CrashMarker = "poison" }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			_, err := engine.Submit(t.Context(), submission("a", "some poison", 10))
			lavassert.ErrorIs(t, err, lavengine.ErrBroken)
			lavassert.Equal(t, "crashes", fake.Counts().Crashes, 1)
		})
	})
	t.Run("and does not respond while it is down", func(t *testing.T) {
		withEngine(t, func(s *lavfake.EngineSettings) { s.DownTime = time.Second }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			fake.Restart()
			_, err := engine.Load(t.Context())
			lavassert.True(t, "load request fails while the engine is down", err != nil)
			time.Sleep(time.Second)
			report, err := engine.Load(t.Context())
			lavassert.NoError(t, err)
			lavassert.True(t, "engine is cold after the restart", report.Cold)
		})
	})
}

func TestEngineCaches(t *testing.T) {
	t.Run("a prefix is prefilled once until it is evicted", func(t *testing.T) {
		withEngine(t, func(s *lavfake.EngineSettings) { s.Lag = time.Second }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			prefix := promptOf(4_097)
			complete(t, engine, submission("a", prefix+"one", 1))
			_, elapsed := complete(t, engine, submission("b", prefix+"two", 1))
			lavassert.AtMost(t, "time with the prefix cached", elapsed, 100*time.Millisecond)
			events, err := engine.Events(t.Context(), 0)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "events visible before the lag", len(events), 0)
			other := strings.Repeat("else", 7_000)
			complete(t, engine, submission("c", other, 1))
			hitTokens := fake.Counts().HitTokens
			complete(t, engine, submission("d", prefix+"three", 1))
			lavassert.AtMost(t, "cached tokens after eviction", fake.Counts().HitTokens-hitTokens, 1_500)
			time.Sleep(time.Second)
			events, err = engine.Events(t.Context(), 0)
			lavassert.NoError(t, err)
			evicted := 0
			for i, e := range events {
				lavassert.Equal(t, "event number", e.Number, uint64(i+1))
				if e.Evicted {
					evicted++
				}
			}
			lavassert.AtLeast(t, "eviction events", evicted, 10)
		})
	})
	t.Run("lost events leave gaps in the event numbers", func(t *testing.T) {
		withEngine(t, func(s *lavfake.EngineSettings) { s.EventLoss, s.Seed = 0.5, 7 }, func(t *testing.T, _ *lavfake.Engine, engine lavengine.Engine) {
			complete(t, engine, submission("a", promptOf(8_000), 1))
			events, err := engine.Events(t.Context(), 0)
			lavassert.NoError(t, err)
			last := events[len(events)-1].Number
			lavassert.AtLeast(t, "lost events", int(last)-len(events), 1)
		})
	})
}

func TestEngineReserves(t *testing.T) {
	t.Run("a prompt prefilled in segments with a transferred checkpoint gives the answer of the whole prompt", func(t *testing.T) {
		withEngine(t, defaultSettings, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
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
			got, _ := complete(t, engine, last)
			lavassert.Equal(t, "answer", got, lavfake.AnswerText(whole, 0, 20))
			_, err = engine.Prefill(ctx, "r", "", promptOf(4_000))
			lavassert.ErrorIs(t, err, lavengine.ErrRefused)
			lavassert.NoError(t, engine.Release(ctx, "r"))
			lavassert.Equal(t, "reservations", fake.ReservationCount(), 0)
		})
	})
	t.Run("a reservation holds memory until it is released or expires", func(t *testing.T) {
		withEngine(t, func(s *lavfake.EngineSettings) { s.ReservationTTL = time.Minute }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			want := lavengine.Reservation{ID: "r", Tokens: 15_000}
			lavassert.NoError(t, engine.Reserve(t.Context(), want))
			lavassert.NoError(t, engine.Reserve(t.Context(), want))
			report, err := engine.Load(t.Context())
			lavassert.NoError(t, err)
			lavassert.Equal(t, "reservations in the load report", report.Reservations, []string{"r"})
			_, err = engine.Submit(t.Context(), submission("a", promptOf(10_000), 1))
			lavassert.ErrorIs(t, err, lavengine.ErrRefused)
			time.Sleep(time.Minute)
			lavassert.Equal(t, "reservations", fake.ReservationCount(), 0)
		})
	})
	t.Run("a segment whose caller disconnects is aborted", func(t *testing.T) {
		withEngine(t, defaultSettings, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			lavassert.NoError(t, engine.Reserve(t.Context(), lavengine.Reservation{ID: "r", Tokens: 15_000}))
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err := engine.Prefill(ctx, "r", "", promptOf(10_000))
			lavassert.True(t, "prefill fails", err != nil)
			time.Sleep(time.Second)
			lavassert.Equal(t, "running streams", fake.RunningStreams(), 0)
		})
	})
}

func TestEngineExecutesOrders(t *testing.T) {
	order := func(t *testing.T, engine lavengine.Engine, fence uint64, models ...string) error {
		t.Helper()
		_, err := engine.Order(t.Context(), lavengine.Order{Fence: fence, Models: models})
		return err
	}
	t.Run("an engine that checks fencing tokens refuses an outdated one", func(t *testing.T) {
		withEngine(t, func(s *lavfake.EngineSettings) { s.ChecksFence = true }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			lavassert.NoError(t, order(t, engine, 2, "m", "n"))
			lavassert.ErrorIs(t, order(t, engine, 1), lavengine.ErrFenced)
			complete(t, engine, lavengine.Submission{ID: "a", Model: "n", Prompt: "x", MaxTokens: 1})
			lavassert.Equal(t, "refused orders", fake.Counts().FenceRefused, 1)
		})
	})
	t.Run("an engine that does not check fencing tokens executes the order and counts a violation", func(t *testing.T) {
		withEngine(t, func(s *lavfake.EngineSettings) { s.LoadTime = time.Second }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
			lavassert.NoError(t, order(t, engine, 2, "m"))
			lavassert.NoError(t, order(t, engine, 1, "n"))
			lavassert.Equal(t, "fence violations", fake.Counts().FenceViolations, 1)
			_, err := engine.Submit(t.Context(), lavengine.Submission{ID: "a", Model: "n", Prompt: "x", MaxTokens: 1})
			lavassert.ErrorIs(t, err, lavengine.ErrGone)
			time.Sleep(time.Second)
			complete(t, engine, lavengine.Submission{ID: "b", Model: "n", Prompt: "x", MaxTokens: 1})
		})
	})
}

func TestColdStateIsReportedAfterTheLag(t *testing.T) {
	const lag, pollEvery = 200 * time.Millisecond, 500 * time.Millisecond
	withEngine(t, func(s *lavfake.EngineSettings) { s.Lag = lag }, func(t *testing.T, fake *lavfake.Engine, engine lavengine.Engine) {
		cold := func() bool {
			report, err := engine.Load(t.Context())
			lavassert.NoError(t, err)
			return report.Cold
		}
		lavassert.Equal(t, "cold initially", cold(), false)
		time.Sleep(pollEvery)
		lavassert.Equal(t, "cold before MakeCold", cold(), false)
		fake.MakeCold()
		time.Sleep(lag)
		lavassert.Equal(t, "cold after the lag", cold(), true)
	})
}
