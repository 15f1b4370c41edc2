package lavrelay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/platform/standin"
)

const (
	// shortOfPatience is a pause that callers bear, although streams may move before its end.
	shortOfPatience = 1850 * time.Millisecond
	// moveAfter is the silence after which streams may move.
	moveAfter = 1700 * time.Millisecond
	// eventsBeforePause is the number of events before that pause.
	eventsBeforePause = 2
	// silentFrom is when the last of them comes.
	silentFrom = (eventsBeforePause - 1) * 50 * time.Millisecond
)

// secondEndpoint is the incarnation of the second endpoint of a fixture.
var secondEndpoint = lavconfig.Incarnation{ID: "e2", StartedAt: startOf}

// pausing is a stream that pauses between two events.
var pausing = standin.PausingStream(eventsBeforePause, shortOfPatience)

// occupy counts runs on the second endpoint, and returns a function that ends a number of them.
func (b *fixture) occupy(runs int, load lavplan.Load) (end func(n int)) {
	var begun []*lavfleet.Run
	for range runs {
		begun = append(begun, b.fleet.Begin([]lavfleet.Allocation{{Life: secondEndpoint, Load: load}}))
	}
	var mu sync.Mutex
	return func(n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range begun[:n] {
			r.End(lavfleet.VerdictNone)
		}
		begun = begun[n:]
	}
}

// retriesSent returns how many retries count in the tightest window.
func (b *fixture) retriesSent() int {
	share, _ := b.fleet.SpendRetry("s")
	return share.Sent
}

// runs returns how many requests endpoints have received that are not questions.
func (b *fixture) runs() int {
	count := 0
	for _, r := range b.endpoints.Requests() {
		if r.Body != "" {
			count++
		}
	}
	return count
}

// streamCall returns a call of a stream that may take long.
func (b *fixture) streamCall() *Call {
	c := b.call(lavconfig.KindStreaming)
	c.Deadline = c.Arrived.Add(10 * time.Second)
	return c
}

// serveAll serves streams that arrive together, and returns how many of them were answered wholly.
func (b *fixture) serveAll(streams int) (whole int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for range streams {
		all.Go(func() {
			out := b.serve(context.Background(), b.streamCall())
			mu.Lock()
			defer mu.Unlock()
			if !out.aborted && out.Body.String() == standin.EventsUpTo(standin.StreamEvents) {
				whole++
			}
		})
	}
	all.Wait()
	return whole
}

// assertStreams checks that all streams were answered wholly, in how many runs, and that nothing
// stays counted of them.
func (b *fixture) assertStreams(t *testing.T, whole, streams, moved int) {
	t.Helper()
	lavassert.Equal(t, "whole streams", whole, streams)
	lavassert.Equal(t, "runs", b.runs(), streams+moved)
	b.assertNoLoad(t)
	lavassert.Equal(t, "retries sent", b.retriesSent(), moved)
	b.settle()
}

// settle closes the idle connections and waits for endpoints that pause.
func (b *fixture) settle() {
	b.closePool()
	time.Sleep(2 * time.Minute)
}

// headAfter returns a handler that sends a whole stream after a pause before its head.
func headAfter(pause time.Duration) standin.Handler {
	return func(c net.Conn, r *http.Request) {
		time.Sleep(pause)
		standin.Stream(standin.StreamEvents)(c, r)
	}
}

// TestPausingStreamIsKept guards against streams that are given up while nothing can take them.
func TestPausingStreamIsKept(t *testing.T) {
	whole := standin.Stream(standin.StreamEvents)
	noRetries := func(b *fixture) { b.fleet.SetRetryHosts(1, false) }
	noSlots := func(b *fixture) { b.occupy(4, lavplan.Load{Requests: 1}) }
	noMemory := func(b *fixture) {
		b.makeEngines()
		b.occupy(1, lavplan.Load{Requests: 1, KVTokens: 900})
	}
	for _, test := range []struct {
		name     string
		handlers []standin.Handler
		without  func(*fixture)
	}{
		{"NoOtherEndpoint", []standin.Handler{pausing}, func(*fixture) {}},
		{"NoSlot", []standin.Handler{pausing, whole}, noSlots},
		{"NoMemory", []standin.Handler{pausing, whole}, noMemory},
		{"NoRetry", []standin.Handler{pausing, whole}, noRetries},
		{"NoRetryBeforeTheFirstEvent", []standin.Handler{standin.PausingStream(0, shortOfPatience), whole}, noRetries},
		{"NoRetryBeforeTheHead", []standin.Handler{headAfter(shortOfPatience), whole}, noRetries},
		{"NoOtherEndpointBeforeTheHead", []standin.Handler{headAfter(shortOfPatience)}, func(*fixture) {}},
		{"NoSlotForLongerThanPatience", []standin.Handler{standin.PausingStream(eventsBeforePause, 5*time.Second), whole}, noSlots},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(test.handlers...)
				test.without(b)
				c := b.streamCall()
				c.Prompt.Tokens = 100
				out := b.serve(context.Background(), c)
				lavassert.True(t, "not cut", !out.aborted)
				lavassert.Equal(t, "body", out.Body.String(), standin.EventsUpTo(standin.StreamEvents))
				lavassert.Equal(t, "runs", b.runs(), 1)
				lavassert.Equal(t, "endpoints in backoff", b.inBackoff(), 0)
				b.settle()
			})
		})
	}
}

// TestPausingStreamMoves guards against streams that move later than they can, or count twice.
func TestPausingStreamMoves(t *testing.T) {
	for _, test := range []struct {
		name string
		// freeAfter is when the other endpoint gets room, after the last event before the pause.
		freeAfter, movesAfter time.Duration
	}{
		{"RoomFromTheBeginning", 0, moveAfter},
		{"RoomLater", 1760 * time.Millisecond, 1800 * time.Millisecond},
		{"RoomAfterPatience", 2510 * time.Millisecond, 2550 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var movedAt time.Time
				other := func(c net.Conn, r *http.Request) {
					movedAt = time.Now()
					standin.Stream(standin.StreamEvents)(c, r)
				}
				b := newFixture(standin.PausingStream(eventsBeforePause, time.Minute), other)
				end := b.occupy(4, lavplan.Load{Requests: 1})
				start := time.Now()
				time.AfterFunc(silentFrom+test.freeAfter, func() { end(4) })
				whole := b.serveAll(1)
				lavassert.Equal(t, "silence before the move", movedAt.Sub(start.Add(silentFrom)), test.movesAfter)
				b.assertStreams(t, whole, 1, 1)
			})
		})
	}
}

// TestStreamsPauseTogether guards against streams that are given up for the same room or retry.
func TestStreamsPauseTogether(t *testing.T) {
	const streams = 6
	for _, test := range []struct {
		name string
		// retryHosts is the number of hosts that share 10 retries.
		free, retryHosts, moved int
	}{
		{"RoomForTwo", 2, 1, 2},
		{"RetriesForTwo", 4, 5, 2},
		{"RoomAndRetriesForFour", 4, 1, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(pausing, standin.SlowStream("", 200*time.Millisecond))
				b.fleet.SetRetryHosts(test.retryHosts, true)
				// All streams begin at the first endpoint.
				end := b.occupy(40, lavplan.Load{Requests: 1})
				time.AfterFunc(time.Second, func() { end(36 + test.free) })
				whole := b.serveAll(streams)
				end(4 - test.free)
				b.assertStreams(t, whole, streams, test.moved)
			})
		})
	}
}

// TestEndpointDiesInAPause guards against streams that are lost as their endpoint dies after they
// were kept.
func TestEndpointDiesInAPause(t *testing.T) {
	for _, test := range []struct {
		name string
		// free and dies are when the other endpoint gets room, and when this one dies, after the last event
		// before the pause.
		free, dies time.Duration
	}{
		{"BeforeTheQuestion", time.Second, 1500 * time.Millisecond},
		{"BetweenTwoQuestions", 1710 * time.Millisecond, 1720 * time.Millisecond},
		{"AsTheRoomIsTaken", 1650 * time.Millisecond, moveAfter},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(pausing, standin.Stream(standin.StreamEvents))
				end := b.occupy(4, lavplan.Load{Requests: 1})
				time.AfterFunc(silentFrom+test.free, func() { end(4) })
				time.AfterFunc(silentFrom+test.dies, func() { b.endpoints.Shut(firstEndpoint) })
				whole := b.serveAll(1)
				b.assertStreams(t, whole, 1, 1)
			})
		})
	}
}

// slowScheduler places all prompts at the second endpoint after a time, whether the question still
// stands or not.
type slowScheduler struct {
	takes           time.Duration
	mu              sync.Mutex
	placed, counted int
}

func (s *slowScheduler) Active() bool { return true }

func (s *slowScheduler) Place(_ context.Context, _ string, a lavplan.Ask) (Placing, bool) {
	at := lavconfig.Incarnation{ID: "e1", StartedAt: startOf}
	if time.Since(a.Arrived) > 0 {
		time.Sleep(s.takes)
		at = secondEndpoint
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed++
	d := lavplan.Decision{Grant: uint64(s.placed), Primary: at}
	return Placing{Decision: d, Host: "scheduler", Counted: s.count}, true
}

func (s *slowScheduler) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counted++
}

// TestScheduledTakeover guards against places, retries and bookings that leak if a stream goes on, or
// ends, while a scheduler looks for a place for it.
func TestScheduledTakeover(t *testing.T) {
	whole := standin.Stream(standin.StreamEvents)
	leave := func(after time.Duration) context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(after, cancel)
		return ctx
	}
	const ample = time.Hour
	for _, test := range []struct {
		name         string
		first        standin.Handler
		leaves       time.Duration
		placed, runs int
		cut          bool
	}{
		{"Moves", standin.PausingStream(eventsBeforePause, time.Minute), ample, 2, 2, false},
		{"GoesOnMeanwhile", standin.PausingStream(eventsBeforePause, 1670*time.Millisecond), ample, 2, 1, false},
		{"EndsMeanwhile", standin.PausingStream(standin.StreamEvents-1, 1670*time.Millisecond), ample, 2, 1, false},
		{"DiesMeanwhile", dieAfter(silentFrom + 1720*time.Millisecond), ample, 3, 2, false},
		{"CallerLeavesMeanwhile", standin.PausingStream(eventsBeforePause, time.Minute), 1770 * time.Millisecond, 2, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(test.first, whole)
				b.makeEngines()
				scheduler := &slowScheduler{takes: 30 * time.Millisecond}
				b.relay.SetScheduler(scheduler)
				out := b.serve(leave(test.leaves), b.streamCall())
				lavassert.Equal(t, "cut", out.aborted, test.cut)
				lavassert.Equal(t, "runs", b.runs(), test.runs)
				lavassert.Equal(t, "questions placed", scheduler.placed, test.placed)
				lavassert.Equal(t, "placements counted", scheduler.counted, test.placed)
				b.assertNoLoad(t)
				lavassert.Equal(t, "retries sent", b.retriesSent(), test.runs-1)
				b.settle()
			})
		})
	}
}

// dieAfter returns a handler that sends a part of a stream, and closes the connection at a time.
func dieAfter(at time.Duration) standin.Handler {
	return func(c net.Conn, r *http.Request) {
		time.AfterFunc(at, func() { _ = c.Close() })
		standin.PausingStream(eventsBeforePause, time.Minute)(c, r)
	}
}

// TestKeptPermits guards against permits that a place uses up which no stream takes.
func TestKeptPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(pausing, standin.Stream(standin.StreamEvents))
		b.fleet.SetRetryHosts(1, false)
		b.fleet.RecordLimit(secondEndpoint, 1)
		time.AfterFunc(time.Second, func() { b.grantPermits(1, time.Second) })
		whole := b.serveAll(1)
		lavassert.Equal(t, "whole streams", whole, 1)
		run := b.fleet.Begin([]lavfleet.Allocation{{Life: secondEndpoint}})
		lavassert.True(t, "the permit is left", run != nil)
		b.settle()
	})
}

// TestSilentEndpointIsLastChoice guards against requests that go on to an endpoint which is silent, since
// what runs there can't go elsewhere.
func TestSilentEndpointIsLastChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(standin.PausingStream(0, 5*time.Second), standin.Stream(standin.StreamEvents))
		b.fleet.SetRetryHosts(1, false)
		var silent sync.WaitGroup
		silent.Go(func() { lavassert.Equal(t, "whole streams", b.serveAll(1), 1) })
		time.Sleep(moveAfter + 10*time.Millisecond)
		lavassert.Equal(t, "endpoints in backoff", b.inBackoff(), 1)
		lavassert.Equal(t, "whole streams beside it", b.serveAll(3), 3)
		lavassert.Equal(t, "requests to the silent endpoint", b.arrivalsAt(1), 1)
		silent.Wait()
		lavassert.Equal(t, "endpoints in backoff after its answer", b.inBackoff(), 0)
		b.settle()
	})
}
