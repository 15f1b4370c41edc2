package lavclient_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// hosts are the addresses of the two entry hosts in order of distance, nearest first.
var hosts = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")}

// fleet simulates two entry hosts whose responses are set by the test.
type fleet struct {
	network *lavfakenet.Network
	client  *lavclient.Client
	// respond handles the n-th call, starting at 1, on the host with the given
	// index.
	respond func(w http.ResponseWriter, r *http.Request, n, host int)

	mu              sync.Mutex
	entriesRequests int
	calls           []call
}

// call records a call that reached a host.
type call struct {
	host int
	path string
	key  string
	at   time.Time
}

// withFleet runs body in a synctest bubble with two entry hosts that use respond.
func withFleet(t *testing.T, respond func(w http.ResponseWriter, r *http.Request, n, host int), body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{respond: respond}
		f.network = lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		for i, addr := range hosts {
			listener, err := f.network.Host(lavfakenet.HostInfo{Host: fmt.Sprint("entry-", i)}).Listen("tcp", addr.String())
			lavassert.NoError(t, err)
			server := &http.Server{Handler: f.handler(i)}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
		}
		transport := &http.Transport{DialContext: f.network.Host(lavfakenet.HostInfo{Host: "caller"}).DialContext}
		defer transport.CloseIdleConnections()
		f.client = lavclient.New(lavclient.Settings{Seeds: hosts[:1]}, &http.Client{Transport: transport})
		body(t, f)
	})
}

// handler returns the HTTP handler of a host, which serves the entry list and records all
// other calls.
func (f *fleet) handler(host int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.entriesRequests++
		_, _ = fmt.Fprintf(w, `{"Entries": [{"Addr": %q}, {"Addr": %q}], "Validity": "10s"}`, hosts[0], hosts[1])
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		// Read the body before responding, like a host that admits a call.
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.calls = append(f.calls, call{host: host, path: r.URL.Path, key: r.Header.Get(lavrequest.HeaderIdempotencyKey), at: time.Now()})
		n := len(f.calls)
		f.mu.Unlock()
		f.respond(w, r, n, host)
	})
	return mux
}

// sendOrder sends an order and returns the response status.
func (f *fleet) sendOrder(t *testing.T, c lavclient.Call) (int, error) {
	t.Helper()
	c.Path, c.Kind = "/services/orders/orders", lavrequest.KindOrder
	response, err := f.client.Do(t.Context(), c)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, nil
}

// writeOutcome writes a response with an outcome and, if it isn't empty, a Retry-After
// header.
func writeOutcome(w http.ResponseWriter, status int, o lavrequest.Outcome, retryAfter string) {
	w.Header().Set(lavrequest.HeaderOutcome, o.String())
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
}

// respondDone responds to any call with the outcome Done.
func respondDone(w http.ResponseWriter, _ *http.Request, _, _ int) {
	writeOutcome(w, http.StatusOK, lavrequest.OutcomeDone, "")
}

func TestEntries(t *testing.T) {
	t.Run("are cached while they are valid", func(t *testing.T) {
		withFleet(t, respondDone, func(t *testing.T, f *fleet) {
			for range 3 {
				_, err := f.sendOrder(t, lavclient.Call{Key: "k"})
				lavassert.NoError(t, err)
			}
			lavassert.Equal(t, "requests for entries", f.entriesRequests, 1)
			time.Sleep(11 * time.Second)
			_, err := f.sendOrder(t, lavclient.Call{Key: "k"})
			lavassert.NoError(t, err)
			lavassert.Equal(t, "requests for entries after expiry", f.entriesRequests, 2)
			lavassert.Equal(t, "host", f.calls[3].host, 0)
		})
	})
	t.Run("are fetched only once by concurrent calls", func(t *testing.T) {
		withFleet(t, respondDone, func(t *testing.T, f *fleet) {
			f.client.Entries(t.Context())
			time.Sleep(11 * time.Second)
			var calls sync.WaitGroup
			for range 20 {
				calls.Go(func() { f.client.Entries(t.Context()) })
			}
			calls.Wait()
			lavassert.Equal(t, "requests for entries", f.entriesRequests, 2)
		})
	})
	t.Run("a host that is down is tried last for a limited time", func(t *testing.T) {
		withFleet(t, respondDone, func(t *testing.T, f *fleet) {
			f.client.Entries(t.Context())
			f.network.SetDown("entry-0", true)
			for range 2 {
				_, err := f.sendOrder(t, lavclient.Call{})
				lavassert.NoError(t, err)
			}
			f.network.SetDown("entry-0", false)
			time.Sleep(6 * time.Second)
			_, err := f.sendOrder(t, lavclient.Call{})
			lavassert.NoError(t, err)
			lavassert.Equal(t, "host of the last call", f.calls[2].host, 0)
		})
	})
}

func TestRetries(t *testing.T) {
	for _, c := range []struct {
		name string
		call lavclient.Call
		// first responds to the first call. All others get the outcome Done.
		first func(w http.ResponseWriter)
		calls int
		wait  time.Duration
	}{
		{"NotRun with Retry-After is sent again after that time", lavclient.Call{}, func(w http.ResponseWriter) {
			writeOutcome(w, http.StatusTooManyRequests, lavrequest.OutcomeNotRun, "3")
		}, 2, 3 * time.Second},
		{"NotRun without Retry-After is final", lavclient.Call{}, func(w http.ResponseWriter) {
			writeOutcome(w, http.StatusServiceUnavailable, lavrequest.OutcomeNotRun, "")
		}, 1, 0},
		{"NotRun is final if Retry-After exceeds the deadline", lavclient.Call{Timeout: 2 * time.Second}, func(w http.ResponseWriter) {
			writeOutcome(w, http.StatusTooManyRequests, lavrequest.OutcomeNotRun, "3")
		}, 1, 0},
		{"Unknown is never sent again", lavclient.Call{Key: "k"}, func(w http.ResponseWriter) {
			writeOutcome(w, http.StatusBadGateway, lavrequest.OutcomeUnknown, "1")
		}, 1, 0},
		{"a lost answer is final without an idempotency key", lavclient.Call{}, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 1, 0},
		{"a call with a lost answer is sent again with the same idempotency key", lavclient.Call{Key: "k"}, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			respond := func(w http.ResponseWriter, r *http.Request, n, host int) {
				if n == 1 {
					c.first(w)
					return
				}
				respondDone(w, r, n, host)
			}
			withFleet(t, respond, func(t *testing.T, f *fleet) {
				status, err := f.sendOrder(t, c.call)
				lavassert.Equal(t, "calls", len(f.calls), c.calls)
				lavassert.True(t, "the last attempt succeeds", c.calls == 1 || err == nil && status == http.StatusOK)
				if c.calls == 2 {
					lavassert.AtLeast(t, "wait", f.calls[1].at.Sub(f.calls[0].at), c.wait)
					lavassert.Equal(t, "key", f.calls[1].key, c.call.Key)
				}
			})
		})
	}
}

// formatEvent returns an event in the answer to the request id whose last token has the
// number token. A final event is followed by the final marker.
func formatEvent(id string, token int, final bool) string {
	reason := "null"
	if final {
		reason = `"stop"`
	}
	text := fmt.Sprintf("id: %d\ndata: {\"id\": %q, \"choices\": [{\"text\": \"t%d \", \"finish_reason\": %s}]}\n\n", token, id, token, reason)
	if final {
		text += "data: [DONE]\n\n"
	}
	return text
}

// writeStreamHeader starts a streaming response that has a resume token.
func writeStreamHeader(w http.ResponseWriter, token string) {
	w.Header().Set(lavrequest.HeaderRequest, "r")
	w.Header().Set(lavrequest.HeaderResume, token)
	w.WriteHeader(http.StatusOK)
}

// readAnswer sends a prompt and returns the text of the answer up to its end or an error.
func (f *fleet) readAnswer(t *testing.T) (string, error) {
	t.Helper()
	s, err := f.client.Prompt(t.Context(), lavclient.Prompt{Model: "m", Text: "p", MaxTokens: 3, Timeout: 30 * time.Second})
	if err != nil {
		return "", err
	}
	defer s.Close()
	var all strings.Builder
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		all.WriteString(chunk.Text)
	}
}

func TestStream(t *testing.T) {
	for _, c := range []struct {
		name, body, want string
		complete         bool
	}{
		{"a complete answer", ": alive\n\n" + formatEvent("r", 1, false) + formatEvent("r", 3, true), "t1 t3 ", true},
		{"an answer without its final marker", formatEvent("r", 1, false), "t1 ", false},
		{"a final marker before the final event", formatEvent("r", 1, false) + "data: [DONE]\n\n", "t1 ", false},
		{"another request's answer", formatEvent("r", 1, false) + formatEvent("q", 3, true), "t1 ", false},
		{"an event with a lower token number than the previous one", formatEvent("r", 2, false) + formatEvent("r", 1, true), "t2 ", false},
		{"an error event after the first token", formatEvent("r", 1, false) + "event: error\ndata: {\"error\": {\"message\": \"x\"}}\n\n", "t1 ", false},
		{"a truncated event", formatEvent("r", 1, false) + "id: 3\ndata: {\"id\"", "t1 ", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			respond := func(w http.ResponseWriter, _ *http.Request, _, _ int) {
				writeStreamHeader(w, "")
				_, _ = io.WriteString(w, c.body)
			}
			withFleet(t, respond, func(t *testing.T, f *fleet) {
				got, err := f.readAnswer(t)
				lavassert.Equal(t, "text", got, c.want)
				lavassert.Equal(t, "complete", err == nil, c.complete)
			})
		})
	}
	t.Run("a refusal is a Failure", func(t *testing.T) {
		refuse := func(w http.ResponseWriter, _ *http.Request, _, _ int) {
			writeOutcome(w, http.StatusServiceUnavailable, lavrequest.OutcomeNotRun, "")
			_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": "full"}})
		}
		withFleet(t, refuse, func(t *testing.T, f *fleet) {
			_, err := f.readAnswer(t)
			var failure *lavclient.Failure
			lavassert.True(t, "error is a Failure", errors.As(err, &failure))
			lavassert.Equal(t, "failure", *failure, lavclient.Failure{Status: 503, Outcome: lavrequest.OutcomeNotRun, Message: "full"})
		})
	})
}

func TestResume(t *testing.T) {
	t.Run("continues at another host after a broken connection", func(t *testing.T) {
		respond := func(w http.ResponseWriter, r *http.Request, n, _ int) {
			writeStreamHeader(w, fmt.Sprint("token-", n))
			if n == 1 {
				_, _ = io.WriteString(w, formatEvent("r", 1, false))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			lavassert.Equal(t, "token", r.Header.Get(lavrequest.HeaderResume), "token-1")
			lavassert.Equal(t, "offset", r.Header.Get("Last-Event-ID"), "1")
			_, _ = io.WriteString(w, formatEvent("r", 3, true))
		}
		withFleet(t, respond, func(t *testing.T, f *fleet) {
			got, err := f.readAnswer(t)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "text", got, "t1 t3 ")
			lavassert.Equal(t, "path", f.calls[1].path, "/v1/resume")
			lavassert.Equal(t, "host", f.calls[1].host, 1)
		})
	})
	t.Run("continues after a silent connection, with the latest resume token", func(t *testing.T) {
		respond := func(w http.ResponseWriter, r *http.Request, n, _ int) {
			writeStreamHeader(w, "token-1")
			if n == 1 {
				_, _ = io.WriteString(w, ": "+lavrequest.HeaderResume+" token-2\n"+formatEvent("r", 1, false))
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				return
			}
			lavassert.Equal(t, "token", r.Header.Get(lavrequest.HeaderResume), "token-2")
			_, _ = io.WriteString(w, formatEvent("r", 3, true))
		}
		withFleet(t, respond, func(t *testing.T, f *fleet) {
			start := time.Now()
			got, err := f.readAnswer(t)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "text", got, "t1 t3 ")
			lavassert.AtMost(t, "time", time.Since(start), 6*time.Second)
		})
	})
	t.Run("fails if no host can resume the stream", func(t *testing.T) {
		respond := func(w http.ResponseWriter, _ *http.Request, n, _ int) {
			if n > 1 {
				http.NotFound(w, nil)
				return
			}
			writeStreamHeader(w, "token")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		withFleet(t, respond, func(t *testing.T, f *fleet) {
			_, err := f.readAnswer(t)
			lavassert.True(t, "error is returned", err != nil)
			lavassert.AtMost(t, "calls", len(f.calls), 5)
		})
	})
}
