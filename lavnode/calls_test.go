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
	t.Run("concurrent orders with one key at all hosts run once", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			var running sync.WaitGroup
			for i := range 12 {
				running.Go(func() {
					lavassert.Equal(t, "outcome", sys.call(t, i%systemHosts, orderRequest("k", "40 spokes")).outcome(), "Done")
				})
			}
			running.Wait()
			lavassert.Equal(t, "runs", sys.orderBook.Runs()["40 spokes"], 1)
		})
	})
	t.Run("an order whose response was lost is Unknown at every host and is not resent", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			for _, s := range sys.servers {
				s.SetFaults(lavfake.OrderFaults{LoseReplies: true})
			}
			for i := range systemHosts {
				lavassert.Equal(t, "outcome", sys.call(t, i, orderRequest("k", "40 spokes")).outcome(), "Unknown")
			}
			lavassert.Equal(t, "runs", sys.orderBook.Runs()["40 spokes"], 1)
		})
	})
	t.Run("unreachable servers are skipped", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			sys.network.SetDown("orders-0", true)
			sys.network.SetDown("orders-1", true)
			for i := range 6 {
				key := fmt.Sprint("k", i)
				lavassert.Equal(t, "outcome", sys.call(t, i%systemHosts, orderRequest(key, key)).outcome(), "Done")
				lavassert.Equal(t, "runs", sys.orderBook.Runs()[key], 1)
			}
		})
	})
	t.Run("an order is NotRun if no server is reachable, and can run later", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			for i := range systemOrderServers {
				sys.network.SetDown(fmt.Sprint("orders-", i), true)
			}
			response := sys.call(t, 0, orderRequest("k", "40 spokes"))
			lavassert.Equal(t, "outcome", response.outcome(), "NotRun")
			lavassert.True(t, "has a Retry-After header", response.header.Get("Retry-After") != "")
			for i := range systemOrderServers {
				sys.network.SetDown(fmt.Sprint("orders-", i), false)
			}
			time.Sleep(10 * time.Second)
			lavassert.Equal(t, "outcome", sys.call(t, 1, orderRequest("k", "40 spokes")).outcome(), "Done")
		})
	})
	t.Run("a caller that disconnects gets the outcome when it resends the order", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			for _, s := range sys.servers {
				s.SetFaults(lavfake.OrderFaults{Delay: 2 * time.Second})
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := sys.open(ctx, t, 0, orderRequest("k", "40 spokes"))
			lavassert.ErrorIs(t, err, context.DeadlineExceeded)
			lavassert.Equal(t, "outcome", sys.call(t, 1, orderRequest("k", "40 spokes")).outcome(), "Done")
			lavassert.Equal(t, "runs", sys.orderBook.Runs()["40 spokes"], 1)
		})
	})
	t.Run("different content under the same key is refused", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			lavassert.Equal(t, "status of the first content", sys.call(t, 0, orderRequest("k", "40 spokes")).status, http.StatusOK)
			lavassert.Equal(t, "status of the different content", sys.call(t, 1, orderRequest("k", "41 spokes")).status, http.StatusUnprocessableEntity)
		})
	})
}

func TestOrdersDuringStoreOutage(t *testing.T) {
	down := lavfake.StoreFaults{Down: true}
	t.Run("a new order is NotRun before its deadline and has not run", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			sys.store.SetFaults(down)
			began := time.Now()
			response := sys.call(t, 0, orderRequest("k", "40 spokes"))
			lavassert.Equal(t, "outcome", response.outcome(), "NotRun")
			lavassert.Equal(t, "status", response.status, http.StatusServiceUnavailable)
			lavassert.True(t, "has a Retry-After header", response.header.Get("Retry-After") != "")
			lavassert.AtMost(t, "time", time.Since(began), 4*time.Second)
			lavassert.Equal(t, "runs", sys.orderBook.Runs()["40 spokes"], 0)
			sys.store.SetFaults(lavfake.StoreFaults{})
			time.Sleep(10 * time.Second)
			lavassert.Equal(t, "outcome after the outage", sys.call(t, 1, orderRequest("k", "40 spokes")).outcome(), "Done")
		})
	})
	t.Run("no host reports an order that ran as NotRun", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			lavassert.Equal(t, "outcome of the first attempt", sys.call(t, 0, orderRequest("k", "40 spokes")).outcome(), "Done")
			sys.store.SetFaults(down)
			for i := range systemHosts {
				lavassert.True(t, "outcome is not NotRun", sys.call(t, i, orderRequest("k", "40 spokes")).outcome() != "NotRun")
			}
			lavassert.Equal(t, "runs", sys.orderBook.Runs()["40 spokes"], 1)
		})
	})
	t.Run("no host reports an order that a dead host ran as NotRun", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			lavassert.Equal(t, "outcome of the first attempt", sys.call(t, 0, orderRequest("k", "40 spokes")).outcome(), "Done")
			sys.network.SetDown(entryName(0), true)
			sys.store.SetFaults(down)
			for i := 1; i < systemHosts; i++ {
				lavassert.True(t, "outcome is not NotRun", sys.call(t, i, orderRequest("k", "40 spokes")).outcome() != "NotRun")
			}
			sys.network.SetDown(entryName(0), false)
			sys.store.SetFaults(lavfake.StoreFaults{})
			time.Sleep(time.Second)
		})
	})
	t.Run("orders run once if replies of the store are lost", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			sys.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			for i := range 6 {
				key := fmt.Sprint("k", i)
				sys.call(t, i%systemHosts, orderRequest(key, key))
				sys.call(t, (i+1)%systemHosts, orderRequest(key, key))
				lavassert.Equal(t, "runs", sys.orderBook.Runs()[key], 1)
			}
			sys.store.SetFaults(lavfake.StoreFaults{})
		})
	})
}

// reuseAborter is a service that answers the first request on each connection and
// aborts the connection at the second request, after it has read and counted it.
type reuseAborter struct {
	mu         sync.Mutex
	seen       map[string]int
	deliveries atomic.Int64
}

func (a *reuseAborter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_, _ = io.WriteString(w, `{"Incarnation":"aborter"}`)
		return
	}
	_, _ = io.ReadAll(r.Body)
	a.deliveries.Add(1)
	a.mu.Lock()
	a.seen[r.RemoteAddr]++
	reused := a.seen[r.RemoteAddr] > 1
	a.mu.Unlock()
	if reused {
		panic(http.ErrAbortHandler)
	}
}

// TestOrdersAreNotReplayedOnDeadConnections guards against http.Transport resending
// an order when a reused connection breaks, although the service may have run it. By
// default the transport resends requests that have an Idempotency-Key header and a
// body that is empty or can be read again.
func TestOrdersAreNotReplayedOnDeadConnections(t *testing.T) {
	aborter := &reuseAborter{seen: make(map[string]int)}
	runWithSystem(t, map[string]http.Handler{"aborter": aborter}, func(t *testing.T, sys *testSystem) {
		for i, body := range []string{"a", "b", "", "d", ""} {
			response := sys.call(t, 0, request{
				method: http.MethodPost, path: "/services/aborter/once", body: body,
				header: map[string]string{"Idempotency-Key": fmt.Sprint("k", i), "Lav-Timeout": "5s"},
			})
			// Each order is sent on a new connection, so that the service never
			// aborts it.
			lavassert.Equal(t, "outcome", response.outcome(), "Done")
			lavassert.Equal(t, "deliveries", aborter.deliveries.Load(), int64(i+1))
		}
	})
}

// echo is a service that answers with the method, path, query, headers and body of
// the request.
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
	run := func(name string, body func(t *testing.T, sys *testSystem)) {
		t.Run(name, func(t *testing.T) {
			runWithSystem(t, map[string]http.Handler{"echo": http.HandlerFunc(echo)}, body)
		})
	}
	run("method, query, headers and content type are forwarded", func(t *testing.T, sys *testSystem) {
		response := sys.call(t, 0, request{
			method: http.MethodPut, path: "/services/echo/builds/7?side=left&n=32", body: "3x",
			header: map[string]string{"Content-Type": "text/plain", "Accept-Language": "it"},
		})
		lavassert.Equal(t, "body", response.body, "PUT /builds/7?side=left&n=32 text/plain it 3x")
		lavassert.Equal(t, "content type", response.header.Get("Content-Type"), "text/lacing")
		lavassert.Equal(t, "etag", response.header.Get("Etag"), `"7"`)
	})
	run("error and redirect responses of the service are forwarded", func(t *testing.T, sys *testSystem) {
		for path, status := range map[string]int{"missing": 404, "broken": 500, "moved": 303} {
			response := sys.call(t, 1, request{method: http.MethodGet, path: "/services/echo/" + path})
			lavassert.Equal(t, "status of "+path, response.status, status)
			lavassert.Equal(t, "outcome of "+path, response.outcome(), "Done")
			if status == http.StatusSeeOther {
				lavassert.Equal(t, "location", response.header.Get("Location"), "/services/echo/elsewhere")
			}
		}
	})
	run("encoded paths do not bypass the ledger", func(t *testing.T, sys *testSystem) {
		for _, path := range []string{"/once", "/%2Fonce", "/x/..%2Fonce", "/.%2Fonce"} {
			response := sys.call(t, 1, request{method: http.MethodPost, path: "/services/echo" + path, body: "x"})
			lavassert.Equal(t, "status of "+path, response.status, http.StatusBadRequest)
		}
	})
}

func TestLookupsDuringFaults(t *testing.T) {
	lookup := request{method: http.MethodGet, path: "/services/orders/orders", header: map[string]string{"Lav-Timeout": "30s"}}
	faults := map[string]func(sys *testSystem){
		"two servers are down": func(sys *testSystem) { sys.network.SetDown("orders-0", true); sys.network.SetDown("orders-1", true) },
		"two servers cut connections": func(sys *testSystem) {
			sys.servers[0].SetFaults(lavfake.OrderFaults{Down: true})
			sys.servers[1].SetFaults(lavfake.OrderFaults{Down: true})
		},
		"all open connections go silent": func(sys *testSystem) {
			for h := range systemHosts {
				for i := range systemOrderServers {
					sys.network.Blackhole(entryName(h), fmt.Sprint("orders-", i))
				}
			}
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
				for i := range 3 * systemHosts {
					lavassert.Equal(t, "outcome before the fault", sys.call(t, i%systemHosts, lookup).outcome(), "Done")
				}
				inject(sys)
				for i := range 2 * systemHosts {
					lavassert.Equal(t, "outcome", sys.call(t, i%systemHosts, lookup).outcome(), "Done")
				}
			})
		})
	}
}

func TestStreamsAcrossHosts(t *testing.T) {
	const text, tokens = "design a pack", 300
	// begin starts a stream at host 0 and reads its first 20 events.
	begin := func(ctx context.Context, t *testing.T, sys *testSystem) (response *http.Response, received, lastID string) {
		t.Helper()
		response, err := sys.open(ctx, t, 0, promptRequest(t, text, tokens))
		lavassert.NoError(t, err)
		received, lastID, _ = readEvents(t, response.Body, 20)
		return response, received, lastID
	}
	resume := func(token, lastID, customer string) request {
		return request{method: http.MethodGet, path: "/v1/resume", customer: customer, header: map[string]string{"Lav-Resume": token, "Last-Event-ID": lastID}}
	}
	disruptions := map[string]func(sys *testSystem, disconnect func()){
		"the entry host dies":                                  func(sys *testSystem, _ func()) { sys.network.SetDown(entryName(0), true) },
		"the caller's connection goes silent":                  func(sys *testSystem, _ func()) { sys.network.Blackhole("caller", entryName(0)) },
		"the caller disconnects and resumes":                   func(_ *testSystem, disconnect func()) { disconnect() },
		"the caller resumes while the first host still relays": func(*testSystem, func()) {},
	}
	for name, disrupt := range disruptions {
		t.Run(name, func(t *testing.T) {
			runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				response, received, lastID := begin(ctx, t, sys)
				disrupt(sys, disconnect)
				resumed, err := sys.open(t.Context(), t, 1, resume(response.Header.Get("Lav-Resume"), lastID, "till"))
				lavassert.NoError(t, err)
				rest, _, complete := readEvents(t, resumed.Body, 0)
				lavassert.True(t, "stream ended with [DONE]", complete)
				lavassert.Equal(t, "answer", received+rest, lavfake.AnswerText(text, 0, tokens))
				disconnect()
				sys.network.SetDown(entryName(0), false)
				lavassert.NoError(t, resumed.Body.Close())
				time.Sleep(30 * time.Second)
				sys.assertNothingHeld(t)
			})
		})
	}
	t.Run("a resume token is valid only for its customer", func(t *testing.T) {
		runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
			response, _, lastID := begin(t.Context(), t, sys)
			for _, q := range []request{resume(response.Header.Get("Lav-Resume"), lastID, "shop"), resume("nonsense", lastID, "till"), resume("", lastID, "till")} {
				got := sys.call(t, 1, q)
				lavassert.Equal(t, "status", got.status, http.StatusForbidden)
				lavassert.Equal(t, "outcome", got.outcome(), "Unknown")
			}
			lavassert.NoError(t, response.Body.Close())
			time.Sleep(10 * time.Second)
		})
	})
}

// TestStreamsOfDeadHostAreReleased guards against engines running the streams of a
// dead entry host until their end, which no caller reads.
func TestStreamsOfDeadHostAreReleased(t *testing.T) {
	runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
		response, err := sys.open(t.Context(), t, 0, promptRequest(t, "design", 5000))
		lavassert.NoError(t, err)
		readEvents(t, response.Body, 5)
		sys.network.SetDown(entryName(0), true)
		time.Sleep(45 * time.Second)
		sys.assertNothingHeld(t)
		sys.network.SetDown(entryName(0), false)
		lavassert.True(t, "closing the response of the dead host succeeds", response.Body.Close() == nil)
	})
}

// assertNothingHeld checks that no engine runs a stream or holds a reservation.
func (sys *testSystem) assertNothingHeld(t *testing.T) {
	t.Helper()
	for i, e := range sys.engines {
		lavassert.Equal(t, fmt.Sprint("held by engine ", i), e.RunningStreams()+e.ReservationCount(), 0)
	}
}

// TestCrashRequestAtAllHosts guards against a prompt that crashes engines being
// resent at every host: after two engine deaths the fleet must refuse it.
func TestCrashRequestAtAllHosts(t *testing.T) {
	runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
		var callers sync.WaitGroup
		for i := range 4 * systemHosts {
			callers.Go(func() {
				for range 4 {
					got := sys.call(t, i%systemHosts, promptRequest(t, "please CRASH", 20))
					lavassert.True(t, "outcome is not Done", got.outcome() != "Done")
					time.Sleep(time.Duration(i) * 37 * time.Millisecond)
				}
			})
		}
		callers.Wait()
		deaths := 0
		for i, e := range sys.engines {
			deaths += e.Counts().Deaths
			t.Logf("engine %d: %+v", i, e.Counts())
		}
		lavassert.AtMost(t, "engine deaths", deaths, 2)
		time.Sleep(5 * time.Second)
		got := sys.call(t, 0, promptRequest(t, "another prompt", 20))
		lavassert.Equal(t, "outcome of another prompt", got.outcome(), "Done")
	})
}

func TestLongPromptUsesGang(t *testing.T) {
	runWithSystem(t, nil, func(t *testing.T, sys *testSystem) {
		text := strings.Repeat("hub and rim ", 30_000)
		response, err := sys.open(t.Context(), t, 0, promptRequest(t, text, 40))
		lavassert.NoError(t, err)
		got, _, complete := readEvents(t, response.Body, 0)
		lavassert.True(t, "stream ended with [DONE]", complete)
		lavassert.Equal(t, "answer", got, lavfake.AnswerText(text, 0, 40))
		lavassert.NoError(t, response.Body.Close())
		time.Sleep(5 * time.Second)
		sys.assertNothingHeld(t)
	})
}
