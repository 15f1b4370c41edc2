package lavrelay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/platform/standin"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

type noDoubts struct {
	mu   sync.Mutex
	lost int
	bad  bool
}

func (n *noDoubts) Await(context.Context) error { return nil }
func (n *noDoubts) Refused(uint64) bool         { return n.bad }
func (n *noDoubts) Lost(uint64, lavconfig.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost++
}

// bench is a relay before endpoints with those behaviours, tried in order.
type bench struct {
	relay     *Relay
	endpoints *standin.Endpoints
	doubts    *noDoubts
	fleet     *lavfleet.Fleet
}

func newBench(behaviours ...standin.Behaviour) *bench {
	e := standin.NewEndpoints()
	var known []lavconfig.Endpoint
	for i, b := range behaviours {
		at := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
		e.Set(at, b)
		known = append(known, lavconfig.Endpoint{ID: fmt.Sprint("e", i+1), Service: "s", Address: at, Slots: 4})
	}
	fleet := lavfleet.New(lavfleet.Bounds{Retry: lavfleet.BudgetBounds{Ratio: 0.2, Window: 10 * time.Second, Burst: 10}})
	fleet.Update([]lavconfig.Service{{Name: "s"}}, known, nil)
	// A host has its part of the retry budget's burst after one window.
	time.Sleep(10 * time.Second)
	doubts := &noDoubts{}
	// Without a draw the first endpoint of equals is taken.
	still := func() float64 { return 0 }
	relay := New(lavconn.New(e.Dial, 2), fleet, doubts, doubts, &log.Logger{Level: log.PanicLevel}, tally.NoopScope, still)
	return &bench{relay: relay, endpoints: e, doubts: doubts, fleet: fleet}
}

func (b *bench) call(kind lavconfig.RouteKind) *Call {
	now := time.Now()
	return &Call{
		ID: "id", Method: http.MethodPost, Target: "/x", HostName: "h", Body: []byte("body"),
		Header: standin.Ask("id"),
		Route: &lavconfig.Route{
			Name: "r", Kind: kind, Resumable: true, MaxAttempts: 2, Timeout: 10 * time.Second,
			Objective: 300 * time.Millisecond, PauseObjective: 200 * time.Millisecond,
		},
		Service: "s", Arrived: now, Deadline: now.Add(2 * time.Second),
	}
}

// result is what the caller got.
type result struct {
	*httptest.ResponseRecorder
	aborted bool
}

func (b *bench) serve(ctx context.Context, c *Call) (out result) {
	out.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			out.aborted = true
		}
	}()
	b.relay.Serve(ctx, out, c)
	return out
}

// isIdle checks that no run is left counted.
func (b *bench) isIdle(t *testing.T) {
	t.Helper()
	board, _ := b.fleet.Board("s", func(lavconfig.Incarnation) bool { return false })
	for _, c := range board.Candidates {
		lavassert.True(t, "nothing runs", c.Zero())
	}
}

func TestCalls(t *testing.T) {
	tests := []struct {
		name       string
		kind       lavconfig.RouteKind
		behaviours []standin.Behaviour
		status     int
		body       string
		arrivals   int
	}{
		{"Done", lavconfig.KindUnsafe, []standin.Behaviour{standin.Answer(200, "ok")}, 200, "ok", 1},
		{"OwnFailurePassed", lavconfig.KindUnsafe, []standin.Behaviour{standin.Answer(500, "no"), standin.Answer(200, "ok")}, 500, "no", 1},
		{"UnsafeLost", lavconfig.KindUnsafe, []standin.Behaviour{standin.Cut, standin.Answer(200, "ok")}, 502, "Unknown\n", 1},
		{"UnsafeRefused", lavconfig.KindUnsafe, []standin.Behaviour{standin.Refuse(503), standin.Answer(200, "ok")}, 200, "ok", 2},
		{"UnsafeElsewhere", lavconfig.KindUnsafe, []standin.Behaviour{standin.Answer(421, ""), standin.Answer(200, "ok")}, 200, "ok", 2},
		{"UnsafeAllRefused", lavconfig.KindUnsafe, []standin.Behaviour{standin.Refuse(503)}, 503, "Full\n", 1},
		{"UnsafeSilent", lavconfig.KindUnsafe, []standin.Behaviour{standin.Silence, standin.Answer(200, "ok")}, 504, "Late\n", 1},
		{"SafeLost", lavconfig.KindSafe, []standin.Behaviour{standin.Cut, standin.Answer(200, "ok")}, 200, "ok", 2},
		{"SafeFailed", lavconfig.KindSafe, []standin.Behaviour{standin.Answer(500, "no"), standin.Answer(200, "ok")}, 200, "ok", 2},
		{"SafeFailedTwice", lavconfig.KindSafe, []standin.Behaviour{standin.Answer(500, "a"), standin.Answer(500, "b"), standin.Answer(200, "ok")}, 500, "b", 2},
		{"SafeLostTwice", lavconfig.KindSafe, []standin.Behaviour{standin.Cut, standin.Cut, standin.Answer(200, "ok")}, 502, "Unknown\n", 2},
		{"NoListener", lavconfig.KindUnsafe, []standin.Behaviour{nil, standin.Answer(200, "ok")}, 200, "ok", 1},
		{"NoEndpoint", lavconfig.KindUnsafe, nil, 503, "Full\n", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(test.behaviours...)
				out := b.serve(context.Background(), b.call(test.kind))
				lavassert.Equal(t, "status", out.Code, test.status)
				lavassert.Equal(t, "body", out.Body.String(), test.body)
				lavassert.Equal(t, "arrivals", len(b.endpoints.Arrivals()), test.arrivals)
				refused := out.Code == http.StatusServiceUnavailable
				lavassert.Equal(t, "time to come back", out.Header().Get("Retry-After") != "", refused)
				own := out.Code == http.StatusBadGateway || out.Code == http.StatusGatewayTimeout || refused
				lavassert.Equal(t, "stamped", standin.Stamp(out.Header()) != "", !own)
				b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
			})
		})
	}
}

func TestStreams(t *testing.T) {
	tests := []struct {
		name       string
		resumable  bool
		behaviours []standin.Behaviour
		aborted    bool
		body       string
		arrivals   int
	}{
		{"Whole", true, []standin.Behaviour{standin.Stream(6)}, false, standin.WholeStream(standin.StreamEvents), 1},
		{"Resumed", true, []standin.Behaviour{standin.Stream(2), standin.Stream(6)}, false, standin.WholeStream(standin.StreamEvents), 2},
		{"BrokenTwice", true, []standin.Behaviour{standin.Stream(2), standin.Stream(4), standin.Stream(6)}, true, standin.WholeStream(4), 2},
		{"NotResumable", false, []standin.Behaviour{standin.Stream(2), standin.Stream(6)}, true, standin.WholeStream(2), 1},
		{"SilentLast", true, []standin.Behaviour{standin.Cut, slowly(4 * time.Second)}, false, standin.WholeStream(standin.StreamEvents), 2},
		{"SilentFirst", true, []standin.Behaviour{standin.Silence, standin.Stream(6)}, false, standin.WholeStream(standin.StreamEvents), 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(test.behaviours...)
				c := b.call(lavconfig.KindStreaming)
				c.Route.Resumable = test.resumable
				c.Deadline = c.Arrived.Add(10 * time.Second)
				out := b.serve(context.Background(), c)
				lavassert.Equal(t, "broken off", out.aborted, test.aborted)
				lavassert.Equal(t, "body", out.Body.String(), test.body)
				lavassert.Equal(t, "stamp of the first run", standin.Stamp(out.Header()), "s1")
				lavassert.Equal(t, "arrivals", len(b.endpoints.Arrivals()), test.arrivals)
				b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
			})
		})
	}
}

// slowly streams whole after a silence.
func slowly(silence time.Duration) standin.Behaviour {
	return func(c net.Conn, r *http.Request) {
		time.Sleep(silence)
		standin.Stream(standin.StreamEvents)(c, r)
	}
}

// TestRetryTime hands each endpoint only what is left of the caller's time.
func TestRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late := func(c net.Conn, r *http.Request) {
			time.Sleep(700 * time.Millisecond)
			standin.Cut(c, r)
		}
		b := newBench(late, standin.Answer(200, "ok"))
		out := b.serve(context.Background(), b.call(lavconfig.KindSafe))
		lavassert.Equal(t, "status", out.Code, http.StatusOK)
		lavassert.Equal(t, "time handed on first", b.endpoints.Arrivals()[0].Left, "2000")
		lavassert.Equal(t, "time handed on then", b.endpoints.Arrivals()[1].Left, "1300")
		b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
	})
}

// TestCallerLeaves cancels at the endpoint at once.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan time.Time, 1)
		b := newBench(func(c net.Conn, r *http.Request) {
			standin.Silence(c, r)
			closed <- time.Now()
		})
		ctx, cancel := context.WithCancel(context.Background())
		begun := time.Now()
		time.AfterFunc(300*time.Millisecond, cancel)
		out := b.serve(ctx, b.call(lavconfig.KindStreaming))
		lavassert.True(t, "broken off", out.aborted)
		lavassert.Equal(t, "closed at the endpoint after", (<-closed).Sub(begun), 300*time.Millisecond)
		lavassert.Equal(t, "arrivals", len(b.endpoints.Arrivals()), 1)
	})
}

func TestSuspectIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(standin.Answer(200, "ok"))
		b.doubts.bad = true
		out := b.serve(context.Background(), b.call(lavconfig.KindSafe))
		lavassert.Equal(t, "status", out.Code, http.StatusServiceUnavailable)
		lavassert.Equal(t, "arrivals", len(b.endpoints.Arrivals()), 0)
	})
}

// TestBudget lets every endpoint fail: repeats end with the budget.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(standin.Cut, standin.Cut)
		b.fleet.SetHosts(5, 0)
		const calls = 50
		for range calls {
			b.serve(context.Background(), b.call(lavconfig.KindSafe))
		}
		lavassert.AtMost(t, "arrivals", len(b.endpoints.Arrivals()), calls+calls/5+2)
		b.isIdle(t)
	})
}

// TestNothingIsLeftCounted checks that no run stays on the board.
func TestNothingIsLeftCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(standin.Stream(2), standin.Cut, standin.Refuse(503))
		b.serve(context.Background(), b.call(lavconfig.KindStreaming))
		b.isIdle(t)
		b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
	})
}

func FuzzEvents(f *testing.F) {
	f.Add(standin.WholeStream(standin.StreamEvents), 3)
	f.Add("id: 1\r\ndata: x\r\n\r\nid: 2\n\n", 1)
	f.Fuzz(func(t *testing.T, text string, step int) {
		var e events
		var out strings.Builder
		for i := 0; i < len(text); i += max(step, 1) {
			out.Write(e.feed([]byte(text[i:min(i+max(step, 1), len(text))])))
		}
		if out.String()+string(e.held) != text {
			t.Errorf("bytes changed: %q then %q of %q", out.String(), e.held, text)
		}
	})
}
