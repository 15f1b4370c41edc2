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

// hosts are the addresses of two entry hosts, the nearer one first.
var hosts = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")}

// fleet is two entry hosts that answer as a test says.
type fleet struct {
	network *lavfakenet.Network
	client  *lavclient.Client
	// answer answers the n-th call, from 1, at a host, from 0.
	answer func(w http.ResponseWriter, r *http.Request, n, host int)

	mu    sync.Mutex
	asked int
	calls []call
}

// call is a call that reached a host.
type call struct {
	host int
	path string
	key  string
	at   time.Time
}

// onFleet runs body in a bubble with two hosts that answer by answer.
func onFleet(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, n, host int), body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{answer: answer}
		f.network = lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		for i, addr := range hosts {
			on, err := f.network.Host(lavfakenet.HostInfo{Host: fmt.Sprint("entry-", i)}).Listen("tcp", addr.String())
			lavassert.NoError(t, err)
			server := &http.Server{Handler: f.handler(i)}
			go func() { _ = server.Serve(on) }()
			defer func() { _ = server.Close() }()
		}
		transport := &http.Transport{DialContext: f.network.Host(lavfakenet.HostInfo{Host: "caller"}).DialContext}
		defer transport.CloseIdleConnections()
		f.client = lavclient.New(lavclient.Settings{Seeds: hosts[:1]}, &http.Client{Transport: transport})
		body(t, f)
	})
}

func (f *fleet) handler(host int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.asked++
		_, _ = fmt.Fprintf(w, `{"Entries": [{"Addr": %q}, {"Addr": %q}], "Validity": "10s"}`, hosts[0], hosts[1])
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		// A body is read first, as by a host that admits a call.
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.calls = append(f.calls, call{host: host, path: r.URL.Path, key: r.Header.Get(lavrequest.HeaderIdempotencyKey), at: time.Now()})
		n := len(f.calls)
		f.mu.Unlock()
		f.answer(w, r, n, host)
	})
	return mux
}

// order sends an order and returns its status.
func (f *fleet) order(t *testing.T, c lavclient.Call) (int, error) {
	t.Helper()
	c.Path, c.Kind = "/services/orders/orders", lavrequest.KindOrder
	answer, err := f.client.Do(t.Context(), c)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode, nil
}

func outcome(w http.ResponseWriter, status int, o lavrequest.Outcome, after string) {
	w.Header().Set(lavrequest.HeaderOutcome, o.String())
	if after != "" {
		w.Header().Set("Retry-After", after)
	}
	w.WriteHeader(status)
}

func done(w http.ResponseWriter, _ *http.Request, _, _ int) {
	outcome(w, http.StatusOK, lavrequest.OutcomeDone, "")
}

func TestEntries(t *testing.T) {
	t.Run("are kept while they are valid", func(t *testing.T) {
		onFleet(t, done, func(t *testing.T, f *fleet) {
			for range 3 {
				_, err := f.order(t, lavclient.Call{Key: "k"})
				lavassert.NoError(t, err)
			}
			lavassert.Equal(t, "asked", f.asked, 1)
			time.Sleep(11 * time.Second)
			_, err := f.order(t, lavclient.Call{Key: "k"})
			lavassert.NoError(t, err)
			lavassert.Equal(t, "asked after the validity", f.asked, 2)
			lavassert.Equal(t, "host", f.calls[3].host, 0)
		})
	})
	t.Run("are asked for by one of many calls", func(t *testing.T) {
		onFleet(t, done, func(t *testing.T, f *fleet) {
			f.client.Entries(t.Context())
			time.Sleep(11 * time.Second)
			var calls sync.WaitGroup
			for range 20 {
				calls.Go(func() { f.client.Entries(t.Context()) })
			}
			calls.Wait()
			lavassert.Equal(t, "asked", f.asked, 2)
		})
	})
	t.Run("one that is down is passed over, for a while", func(t *testing.T) {
		onFleet(t, done, func(t *testing.T, f *fleet) {
			f.client.Entries(t.Context())
			f.network.SetDown("entry-0", true)
			for range 2 {
				_, err := f.order(t, lavclient.Call{})
				lavassert.NoError(t, err)
			}
			f.network.SetDown("entry-0", false)
			time.Sleep(6 * time.Second)
			_, err := f.order(t, lavclient.Call{})
			lavassert.NoError(t, err)
			lavassert.Equal(t, "last host", f.calls[2].host, 0)
		})
	})
}

func TestRetries(t *testing.T) {
	for _, c := range []struct {
		name string
		call lavclient.Call
		// first answers the first call; the rest are answered Done.
		first func(w http.ResponseWriter)
		calls int
		wait  time.Duration
	}{
		{"NotRun is sent again when the host says", lavclient.Call{}, func(w http.ResponseWriter) {
			outcome(w, http.StatusTooManyRequests, lavrequest.OutcomeNotRun, "3")
		}, 2, 3 * time.Second},
		{"NotRun without a time is final", lavclient.Call{}, func(w http.ResponseWriter) {
			outcome(w, http.StatusServiceUnavailable, lavrequest.OutcomeNotRun, "")
		}, 1, 0},
		{"NotRun isn't waited for past the deadline", lavclient.Call{Timeout: 2 * time.Second}, func(w http.ResponseWriter) {
			outcome(w, http.StatusTooManyRequests, lavrequest.OutcomeNotRun, "3")
		}, 1, 0},
		{"Unknown is never sent again", lavclient.Call{Key: "k"}, func(w http.ResponseWriter) {
			outcome(w, http.StatusBadGateway, lavrequest.OutcomeUnknown, "1")
		}, 1, 0},
		{"a lost answer is final without a key", lavclient.Call{}, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 1, 0},
		{"a lost answer is asked for again with the key", lavclient.Call{Key: "k"}, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := func(w http.ResponseWriter, r *http.Request, n, host int) {
				if n == 1 {
					c.first(w)
					return
				}
				done(w, r, n, host)
			}
			onFleet(t, answer, func(t *testing.T, f *fleet) {
				status, err := f.order(t, c.call)
				lavassert.Equal(t, "calls", len(f.calls), c.calls)
				lavassert.True(t, "answered in the end", c.calls == 1 || err == nil && status == http.StatusOK)
				if c.calls == 2 {
					lavassert.AtLeast(t, "wait", f.calls[1].at.Sub(f.calls[0].at), c.wait)
					lavassert.Equal(t, "key", f.calls[1].key, c.call.Key)
				}
			})
		})
	}
}

// event is an event of the answer to request id that ends at a token.
func event(id string, end int, final bool) string {
	reason := "null"
	if final {
		reason = `"stop"`
	}
	text := fmt.Sprintf("id: %d\ndata: {\"id\": %q, \"choices\": [{\"text\": \"t%d \", \"finish_reason\": %s}]}\n\n", end, id, end, reason)
	if final {
		text += "data: [DONE]\n\n"
	}
	return text
}

func begin(w http.ResponseWriter, token string) {
	w.Header().Set(lavrequest.HeaderRequest, "r")
	w.Header().Set(lavrequest.HeaderResume, token)
	w.WriteHeader(http.StatusOK)
}

// read reads the whole answer to a prompt.
func (f *fleet) read(t *testing.T) (string, error) {
	t.Helper()
	s, err := f.client.Prompt(t.Context(), lavclient.Prompt{Model: "m", Text: "p", MaxTokens: 3, Timeout: 30 * time.Second})
	if err != nil {
		return "", err
	}
	defer s.Close()
	var all strings.Builder
	for {
		piece, err := s.Next()
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return all.String(), err
		}
		all.WriteString(piece.Text)
	}
}

func TestStream(t *testing.T) {
	for _, c := range []struct {
		name, body, want string
		whole            bool
	}{
		{"a whole answer", ": alive\n\n" + event("r", 1, false) + event("r", 3, true), "t1 t3 ", true},
		{"one without its final marker", event("r", 1, false), "t1 ", false},
		{"one that says it is done too early", event("r", 1, false) + "data: [DONE]\n\n", "t1 ", false},
		{"another request's answer", event("r", 1, false) + event("q", 3, true), "t1 ", false},
		{"an answer that goes back", event("r", 2, false) + event("r", 1, true), "t2 ", false},
		{"an error in the middle", event("r", 1, false) + "event: error\ndata: {\"error\": {\"message\": \"x\"}}\n\n", "t1 ", false},
		{"an event cut short", event("r", 1, false) + "id: 3\ndata: {\"id\"", "t1 ", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := func(w http.ResponseWriter, _ *http.Request, _, _ int) {
				begin(w, "")
				_, _ = io.WriteString(w, c.body)
			}
			onFleet(t, answer, func(t *testing.T, f *fleet) {
				got, err := f.read(t)
				lavassert.Equal(t, "text", got, c.want)
				lavassert.Equal(t, "whole", err == nil, c.whole)
			})
		})
	}
	t.Run("a refusal is a Failure", func(t *testing.T) {
		refuse := func(w http.ResponseWriter, _ *http.Request, _, _ int) {
			outcome(w, http.StatusServiceUnavailable, lavrequest.OutcomeNotRun, "")
			_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": "full"}})
		}
		onFleet(t, refuse, func(t *testing.T, f *fleet) {
			_, err := f.read(t)
			var failure *lavclient.Failure
			lavassert.True(t, "is a Failure", errors.As(err, &failure))
			lavassert.Equal(t, "failure", *failure, lavclient.Failure{Status: 503, Outcome: lavrequest.OutcomeNotRun, Message: "full"})
		})
	})
}

func TestResume(t *testing.T) {
	t.Run("goes on at another host from where it broke", func(t *testing.T) {
		answer := func(w http.ResponseWriter, r *http.Request, n, _ int) {
			begin(w, fmt.Sprint("token-", n))
			if n == 1 {
				_, _ = io.WriteString(w, event("r", 1, false))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			lavassert.Equal(t, "token", r.Header.Get(lavrequest.HeaderResume), "token-1")
			lavassert.Equal(t, "offset", r.Header.Get("Last-Event-ID"), "1")
			_, _ = io.WriteString(w, event("r", 3, true))
		}
		onFleet(t, answer, func(t *testing.T, f *fleet) {
			got, err := f.read(t)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "text", got, "t1 t3 ")
			lavassert.Equal(t, "path", f.calls[1].path, "/v1/resume")
			lavassert.Equal(t, "host", f.calls[1].host, 1)
		})
	})
	t.Run("goes on when its connection is silent, with the newest token", func(t *testing.T) {
		answer := func(w http.ResponseWriter, r *http.Request, n, _ int) {
			begin(w, "token-1")
			if n == 1 {
				_, _ = io.WriteString(w, ": "+lavrequest.HeaderResume+" token-2\n"+event("r", 1, false))
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				return
			}
			lavassert.Equal(t, "token", r.Header.Get(lavrequest.HeaderResume), "token-2")
			_, _ = io.WriteString(w, event("r", 3, true))
		}
		onFleet(t, answer, func(t *testing.T, f *fleet) {
			began := time.Now()
			got, err := f.read(t)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "text", got, "t1 t3 ")
			lavassert.AtMost(t, "time", time.Since(began), 6*time.Second)
		})
	})
	t.Run("gives up where no host can", func(t *testing.T) {
		answer := func(w http.ResponseWriter, _ *http.Request, n, _ int) {
			if n > 1 {
				http.NotFound(w, nil)
				return
			}
			begin(w, "token")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		onFleet(t, answer, func(t *testing.T, f *fleet) {
			_, err := f.read(t)
			lavassert.True(t, "fails", err != nil)
			lavassert.AtMost(t, "calls", len(f.calls), 5)
		})
	})
}
