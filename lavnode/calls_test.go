package lavnode_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
)

func TestOrders(t *testing.T) {
	t.Run("one key at all hosts at once runs once", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			var running sync.WaitGroup
			for i := range 12 {
				running.Go(func() {
					lavassert.Equal(t, "outcome", w.call(t, i%worldHosts, order("k", "40 spokes")).outcome(), "Done")
				})
			}
			running.Wait()
			lavassert.Equal(t, "runs", w.book.Runs()["40 spokes"], 1)
		})
	})
	t.Run("a lost answer is Unknown at every host and never sent again", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			for _, s := range w.servers {
				s.SetFaults(lavfake.OrderFaults{LoseReplies: true})
			}
			for i := range worldHosts {
				lavassert.Equal(t, "outcome", w.call(t, i, order("k", "40 spokes")).outcome(), "Unknown")
			}
			lavassert.Equal(t, "runs", w.book.Runs()["40 spokes"], 1)
		})
	})
	t.Run("a server that can't be reached is passed over", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			w.network.SetDown("orders-0", true)
			w.network.SetDown("orders-1", true)
			for i := range 6 {
				key := fmt.Sprint("k", i)
				lavassert.Equal(t, "outcome", w.call(t, i%worldHosts, order(key, key)).outcome(), "Done")
				lavassert.Equal(t, "runs", w.book.Runs()[key], 1)
			}
		})
	})
	t.Run("no server at all is NotRun in time, and may run later", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			for i := range worldServers {
				w.network.SetDown(fmt.Sprint("orders-", i), true)
			}
			answer := w.call(t, 0, order("k", "40 spokes"))
			lavassert.Equal(t, "outcome", answer.outcome(), "NotRun")
			lavassert.True(t, "told when to come back", answer.header.Get("Retry-After") != "")
			for i := range worldServers {
				w.network.SetDown(fmt.Sprint("orders-", i), false)
			}
			time.Sleep(10 * time.Second)
			lavassert.Equal(t, "outcome", w.call(t, 1, order("k", "40 spokes")).outcome(), "Done")
		})
	})
	t.Run("a caller who hangs up finds the outcome later", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			for _, s := range w.servers {
				s.SetFaults(lavfake.OrderFaults{Delay: 2 * time.Second})
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := w.open(ctx, t, 0, order("k", "40 spokes"))
			lavassert.ErrorIs(t, err, context.DeadlineExceeded)
			lavassert.Equal(t, "outcome", w.call(t, 1, order("k", "40 spokes")).outcome(), "Done")
			lavassert.Equal(t, "runs", w.book.Runs()["40 spokes"], 1)
		})
	})
	t.Run("other content under the same key is refused", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			lavassert.Equal(t, "first", w.call(t, 0, order("k", "40 spokes")).status, http.StatusOK)
			lavassert.Equal(t, "other", w.call(t, 1, order("k", "41 spokes")).status, http.StatusUnprocessableEntity)
		})
	})
}

func TestOrdersInAnOutageOfTheStore(t *testing.T) {
	down := lavfake.StoreFaults{Down: true}
	t.Run("a new order is NotRun, truthfully and in time", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			w.store.SetFaults(down)
			began := time.Now()
			answer := w.call(t, 0, order("k", "40 spokes"))
			lavassert.Equal(t, "outcome", answer.outcome(), "NotRun")
			lavassert.Equal(t, "status", answer.status, http.StatusServiceUnavailable)
			lavassert.True(t, "told when to come back", answer.header.Get("Retry-After") != "")
			lavassert.AtMost(t, "time", time.Since(began), 4*time.Second)
			lavassert.Equal(t, "runs", w.book.Runs()["40 spokes"], 0)
			w.store.SetFaults(lavfake.StoreFaults{})
			time.Sleep(10 * time.Second)
			lavassert.Equal(t, "later", w.call(t, 1, order("k", "40 spokes")).outcome(), "Done")
		})
	})
	t.Run("an order that ran is not said to be NotRun by any host", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			lavassert.Equal(t, "first", w.call(t, 0, order("k", "40 spokes")).outcome(), "Done")
			w.store.SetFaults(down)
			for i := range worldHosts {
				lavassert.True(t, "not said to be NotRun", w.call(t, i, order("k", "40 spokes")).outcome() != "NotRun")
			}
			lavassert.Equal(t, "runs", w.book.Runs()["40 spokes"], 1)
		})
	})
	t.Run("nor if the host that ran it has died", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			lavassert.Equal(t, "first", w.call(t, 0, order("k", "40 spokes")).outcome(), "Done")
			w.network.SetDown(entryName(0), true)
			w.store.SetFaults(down)
			for i := 1; i < worldHosts; i++ {
				lavassert.True(t, "not said to be NotRun", w.call(t, i, order("k", "40 spokes")).outcome() != "NotRun")
			}
			w.network.SetDown(entryName(0), false)
			w.store.SetFaults(lavfake.StoreFaults{})
			time.Sleep(time.Second)
		})
	})
	t.Run("replies that are lost run orders once", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			w.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			for i := range 6 {
				key := fmt.Sprint("k", i)
				w.call(t, i%worldHosts, order(key, key))
				w.call(t, (i+1)%worldHosts, order(key, key))
				lavassert.Equal(t, "runs", w.book.Runs()[key], 1)
			}
			w.store.SetFaults(lavfake.StoreFaults{})
		})
	})
}

// keepAliveTrap answers the first request of each connection and cuts the
// connection at the second, after it has read and counted it.
type keepAliveTrap struct {
	mu         sync.Mutex
	seen       map[string]int
	deliveries atomic.Int64
}

func (k *keepAliveTrap) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_, _ = io.WriteString(w, `{"Incarnation":"trap"}`)
		return
	}
	_, _ = io.ReadAll(r.Body)
	k.deliveries.Add(1)
	k.mu.Lock()
	k.seen[r.RemoteAddr]++
	again := k.seen[r.RemoteAddr] > 1
	k.mu.Unlock()
	if again {
		panic(http.ErrAbortHandler)
	}
}

func TestOrdersAreNotReplayedOnDeadConnections(t *testing.T) {
	trap := &keepAliveTrap{seen: make(map[string]int)}
	inCallsWorld(t, map[string]http.Handler{"trap": trap}, func(t *testing.T, w *callsWorld) {
		for i, body := range []string{"a", "b", "", "d", ""} {
			answer := w.call(t, 0, request{
				method: http.MethodPost, path: "/services/trap/once", body: body,
				header: map[string]string{"Idempotency-Key": fmt.Sprint("k", i), "Lav-Timeout": "5s"},
			})
			// A connection of its own for each order never meets the trap.
			lavassert.Equal(t, "outcome", answer.outcome(), "Done")
			lavassert.Equal(t, "deliveries", trap.deliveries.Load(), int64(i+1))
		}
	})
}

// echo answers with what it was asked.
func echo(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		_, _ = io.WriteString(w, `{"Incarnation":"echo"}`)
	case "/missing":
		http.Error(w, "no such build", http.StatusNotFound)
	case "/broken":
		http.Error(w, "out of order", http.StatusInternalServerError)
	case "/moved":
		http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
	default:
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Etag", `"7"`)
		w.Header().Set("Content-Type", "text/lacing")
		_, _ = fmt.Fprintf(w, "%s %s?%s %s %s %s", r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Get("Content-Type"), r.Header.Get("Accept-Language"), body)
	}
}

func TestPlainServices(t *testing.T) {
	run := func(name string, body func(t *testing.T, w *callsWorld)) {
		t.Run(name, func(t *testing.T) {
			inCallsWorld(t, map[string]http.Handler{"echo": http.HandlerFunc(echo)}, body)
		})
	}
	run("method, query, headers and content type are kept", func(t *testing.T, w *callsWorld) {
		answer := w.call(t, 0, request{
			method: http.MethodPut, path: "/services/echo/builds/7?side=left&n=32", body: "3x",
			header: map[string]string{"Content-Type": "text/plain", "Accept-Language": "it"},
		})
		lavassert.Equal(t, "body", answer.body, "PUT /builds/7?side=left&n=32 text/plain it 3x")
		lavassert.Equal(t, "content type", answer.header.Get("Content-Type"), "text/lacing")
		lavassert.Equal(t, "etag", answer.header.Get("Etag"), `"7"`)
	})
	run("the service's own answers pass", func(t *testing.T, w *callsWorld) {
		for path, status := range map[string]int{"missing": 404, "broken": 500, "moved": 303} {
			answer := w.call(t, 1, request{method: http.MethodGet, path: "/services/echo/" + path})
			lavassert.Equal(t, "status of "+path, answer.status, status)
			lavassert.Equal(t, "outcome of "+path, answer.outcome(), "Done")
			if status == http.StatusSeeOther {
				lavassert.Equal(t, "location", answer.header.Get("Location"), "/services/echo/elsewhere")
			}
		}
	})
	run("no spelling of a path passes the ledger by", func(t *testing.T, w *callsWorld) {
		for _, path := range []string{"/once", "/%2Fonce", "/x/..%2Fonce", "/.%2Fonce"} {
			answer := w.call(t, 1, request{method: http.MethodPost, path: "/services/echo" + path, body: "x"})
			lavassert.Equal(t, "status of "+path, answer.status, http.StatusBadRequest)
		}
	})
}

func TestLookupsThroughFaults(t *testing.T) {
	lookup := request{method: http.MethodGet, path: "/services/orders/orders", header: map[string]string{"Lav-Timeout": "30s"}}
	faults := map[string]func(w *callsWorld){
		"two servers are down": func(w *callsWorld) { w.network.SetDown("orders-0", true); w.network.SetDown("orders-1", true) },
		"two servers cut connections": func(w *callsWorld) {
			w.servers[0].SetFaults(lavfake.OrderFaults{Down: true})
			w.servers[1].SetFaults(lavfake.OrderFaults{Down: true})
		},
		"all open connections go silent": func(w *callsWorld) {
			for h := range worldHosts {
				for i := range worldServers {
					w.network.Blackhole(entryName(h), fmt.Sprint("orders-", i))
				}
			}
		},
	}
	for name, bring := range faults {
		t.Run(name, func(t *testing.T) {
			inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
				for i := range 3 * worldHosts {
					lavassert.Equal(t, "before", w.call(t, i%worldHosts, lookup).outcome(), "Done")
				}
				bring(w)
				for i := range 2 * worldHosts {
					lavassert.Equal(t, "outcome", w.call(t, i%worldHosts, lookup).outcome(), "Done")
				}
			})
		})
	}
}

func TestStreamsAcrossHosts(t *testing.T) {
	const text, tokens = "design a pack", 300
	// begin reads the first events of a stream at host 0.
	begin := func(ctx context.Context, t *testing.T, w *callsWorld) (answer *http.Response, had, last string) {
		t.Helper()
		answer, err := w.open(ctx, t, 0, promptRequest(t, text, tokens))
		lavassert.NoError(t, err)
		had, last, _ = events(t, answer.Body, 20)
		return answer, had, last
	}
	resume := func(token, last, customer string) request {
		return request{method: http.MethodGet, path: "/v1/resume", customer: customer, header: map[string]string{"Lav-Resume": token, "Last-Event-ID": last}}
	}
	losses := map[string]func(w *callsWorld, leave func()){
		"the entry host dies":                   func(w *callsWorld, _ func()) { w.network.SetDown(entryName(0), true) },
		"the caller's connection goes silent":   func(w *callsWorld, _ func()) { w.network.Blackhole("caller", entryName(0)) },
		"the caller hangs up and comes back":    func(_ *callsWorld, leave func()) { leave() },
		"the caller comes while the host works": func(*callsWorld, func()) {},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				answer, had, last := begin(ctx, t, w)
				lose(w, leave)
				again, err := w.open(t.Context(), t, 1, resume(answer.Header.Get("Lav-Resume"), last, "till"))
				lavassert.NoError(t, err)
				rest, _, whole := events(t, again.Body, 0)
				lavassert.True(t, "ended well", whole)
				lavassert.Equal(t, "answer", had+rest, lavfake.AnswerText(text, 0, tokens))
				leave()
				w.network.SetDown(entryName(0), false)
				lavassert.NoError(t, again.Body.Close())
				time.Sleep(30 * time.Second)
				w.nothingHeld(t)
			})
		})
	}
	t.Run("a token serves only its customer", func(t *testing.T) {
		inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
			answer, _, last := begin(t.Context(), t, w)
			for _, q := range []request{resume(answer.Header.Get("Lav-Resume"), last, "shop"), resume("nonsense", last, "till"), resume("", last, "till")} {
				got := w.call(t, 1, q)
				lavassert.Equal(t, "status", got.status, http.StatusForbidden)
				lavassert.Equal(t, "outcome", got.outcome(), "Unknown")
			}
			lavassert.NoError(t, answer.Body.Close())
			time.Sleep(10 * time.Second)
		})
	})
}

func TestDeadHostsStreamsAreSwept(t *testing.T) {
	inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
		answer, err := w.open(t.Context(), t, 0, promptRequest(t, "design", 5000))
		lavassert.NoError(t, err)
		events(t, answer.Body, 5)
		w.network.SetDown(entryName(0), true)
		time.Sleep(45 * time.Second)
		w.nothingHeld(t)
		w.network.SetDown(entryName(0), false)
		lavassert.True(t, "the caller's connection broke", answer.Body.Close() == nil)
	})
}

// nothingHeld checks that no engine holds a stream or a reservation.
func (w *callsWorld) nothingHeld(t *testing.T) {
	t.Helper()
	for i, e := range w.engines {
		lavassert.Equal(t, fmt.Sprint("held by engine ", i), e.RunningStreams()+e.ReservationCount(), 0)
	}
}

func TestKillerAtAllHosts(t *testing.T) {
	inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
		var callers sync.WaitGroup
		for i := range 4 * worldHosts {
			callers.Go(func() {
				for range 4 {
					got := w.call(t, i%worldHosts, promptRequest(t, "please CRASH", 20))
					lavassert.True(t, "not answered", got.outcome() != "Done")
					time.Sleep(time.Duration(i) * 37 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		deaths := 0
		for i, e := range w.engines {
			deaths += e.Counts().Deaths
			t.Logf("engine %d: %+v", i, e.Counts())
		}
		lavassert.AtMost(t, "deaths", deaths, 2)
		time.Sleep(5 * time.Second)
		got := w.call(t, 0, promptRequest(t, "innocent", 20))
		lavassert.Equal(t, "an innocent prompt", got.outcome(), "Done")
	})
}

func TestLongPromptGoesByAGang(t *testing.T) {
	inCallsWorld(t, nil, func(t *testing.T, w *callsWorld) {
		text := strings.Repeat("hub and rim ", 30_000)
		answer, err := w.open(t.Context(), t, 0, promptRequest(t, text, 40))
		lavassert.NoError(t, err)
		got, _, whole := events(t, answer.Body, 0)
		lavassert.True(t, "ended well", whole)
		lavassert.Equal(t, "answer", got, lavfake.AnswerText(text, 0, 40))
		lavassert.NoError(t, answer.Body.Close())
		time.Sleep(5 * time.Second)
		w.nothingHeld(t)
	})
}
