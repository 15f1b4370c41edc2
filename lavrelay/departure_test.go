package lavrelay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// stubDeparture lets nothing begin after refuseAfter, and ends all calls after leaveAfter.
type stubDeparture struct {
	refuses        atomic.Bool
	refusing, left context.Context
}

// newStubDeparture starts a departure.
func newStubDeparture(refuseAfter, leaveAfter time.Duration) *stubDeparture {
	refusing, refuse := context.WithCancel(context.Background())
	left, leave := context.WithCancel(context.Background())
	d := &stubDeparture{refusing: refusing, left: left}
	time.AfterFunc(refuseAfter, func() { d.refuses.Store(true); refuse() })
	time.AfterFunc(leaveAfter, leave)
	return d
}

func (d *stubDeparture) MayBegin(*lavconfig.Route, time.Time) bool { return !d.refuses.Load() }
func (d *stubDeparture) Refusing(*lavconfig.Route) context.Context { return d.refusing }
func (d *stubDeparture) Left() context.Context                     { return d.left }

// queue is a scheduler that has no place before a time.
type queue struct{ wait time.Duration }

func (queue) Active() bool { return true }

func (q queue) Place(ctx context.Context, _ string, _ lavplan.Ask) (Placing, bool) {
	select {
	case <-ctx.Done():
		return Placing{}, false
	case <-time.After(q.wait):
		return Placing{Decision: placeAt("e1"), Counted: func() {}}, true
	}
}

// delayed returns a handler that does the same later.
func delayed(d time.Duration, handler standin.Handler) standin.Handler {
	return func(c net.Conn, r *http.Request) {
		time.Sleep(d)
		handler(c, r)
	}
}

// TestCallsOfALeavingHost guards against calls that are sent on although the host leaves before they can end, or that end without an answer.
func TestCallsOfALeavingHost(t *testing.T) {
	const soon, refuse, leave, late = 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second
	ok := standin.Respond(http.StatusOK, "ok")
	tests := []struct {
		name     string
		kind     lavconfig.RouteKind
		queued   time.Duration
		handlers []standin.Handler
		status   int
		aborted  bool
		arrivals int
		took     time.Duration
	}{
		{"QueuedBriefly", lavconfig.KindUnsafe, soon, []standin.Handler{ok}, 200, false, 1, soon},
		{"Queued", lavconfig.KindUnsafe, late, []standin.Handler{ok}, 503, false, 0, refuse},
		{"QueuedStream", lavconfig.KindStreaming, late, []standin.Handler{standin.Stream(6)}, 503, false, 0, refuse},
		{"NotRunLate", lavconfig.KindUnsafe, 0, []standin.Handler{delayed(refuse+soon, standin.Refuse(http.StatusServiceUnavailable)), ok}, 503, false, 1, refuse + soon},
		{"RanAndGoesOn", lavconfig.KindSafe, 0, []standin.Handler{delayed(refuse+soon, standin.CloseConnection), ok}, 200, false, 2, refuse + soon},
		{"RunsAtTheEnd", lavconfig.KindUnsafe, 0, []standin.Handler{standin.NeverRespond}, 502, false, 1, leave},
		{"SafeRunsAtTheEnd", lavconfig.KindSafe, 0, []standin.Handler{standin.NeverRespond, ok}, 502, false, 1, leave},
		{"StreamRunsAtTheEnd", lavconfig.KindStreaming, 0, []standin.Handler{standin.NeverRespond}, 502, false, 1, leave},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(test.handlers...)
				if test.queued > 0 {
					b.makeEngines()
					b.relay.SetScheduler(queue{test.queued})
				}
				b.relay.SetDeparture(newStubDeparture(refuse, leave))
				call := b.call(test.kind)
				call.Route.Objective = 2 * time.Second
				call.Prompt = lavplan.Prompt{Objective: call.Route.Objective, PauseObjective: call.Route.PauseObjective}
				out := b.serve(t.Context(), call)
				lavassert.Equal(t, "status", out.Code, test.status)
				lavassert.Equal(t, "aborted", out.aborted, test.aborted)
				lavassert.Equal(t, "arrivals", len(b.endpoints.Requests()), test.arrivals)
				lavassert.Equal(t, "time", time.Since(call.Arrived).Round(soon), test.took)
				refused := test.status == http.StatusServiceUnavailable
				lavassert.Equal(t, "Retry-After is set", out.Header().Get("Retry-After") != "", refused)
				b.assertNoLoad(t)
				b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
				// The endpoints notice at their next step.
				time.Sleep(time.Second)
			})
		})
	}
}

// TestStreamIsBrokenOffAtTheEnd guards against a stream that looks complete to its caller when its host exits.
func TestStreamIsBrokenOffAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(standin.SlowStream("", 90*time.Millisecond))
		b.relay.SetDeparture(newStubDeparture(time.Hour, 400*time.Millisecond))
		call := b.call(lavconfig.KindStreaming)
		call.Route.Resumable = false
		out := b.serve(t.Context(), call)
		lavassert.True(t, "the response is broken off", out.aborted)
		lavassert.Equal(t, "events", out.Body.String(), standin.EventsUpTo(4))
		b.assertNoLoad(t)
		b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
		// The endpoint notices at its next event.
		time.Sleep(time.Second)
	})
}
