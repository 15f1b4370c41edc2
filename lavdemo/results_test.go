package lavdemo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavsettings"
)

// newTestDemo returns a demo with one engine and one order server. Neither
// listens on a port; tests call their handlers directly.
func newTestDemo() *demo {
	fake := lavfake.NewEngine(lavfake.EngineSettings{MemoryTokens: 1000, PrefillRate: 1e5, DecodeRate: 1e5, Step: time.Millisecond, Models: []string{modelName}})
	book := lavfake.NewOrderBook()
	return &demo{
		collector: newReportCollector(1),
		transport: newRecordingTransport(func(netip.AddrPort) bool { return true }),
		platform: &platform{
			orderBook:    book,
			engines:      []*engine{{name: "engine-0", host: "rack", failureDomain: "north", fake: fake}},
			orderServers: []*orderServer{{name: "orders-0", host: "shop", failureDomain: "east", fake: lavfake.NewOrderServer(book)}},
		},
	}
}

// runPrompt runs a prompt with the given request ID on the engine.
func (d *demo) runPrompt(id string) {
	body := `{"id": "` + id + `", "model": "` + modelName + `", "prompt": "p", "max_tokens": 1}`
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	d.platform.engines[0].fake.Handler().ServeHTTP(httptest.NewRecorder(), r)
}

// runOrder runs an order with the given idempotency key on the order server.
func (d *demo) runOrder(key string) {
	r := httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader(key))
	d.platform.orderServers[0].fake.Handler().ServeHTTP(httptest.NewRecorder(), r)
}

func TestCheckOrders(t *testing.T) {
	for _, c := range []struct {
		name                   string
		runs, attempts, notRun int
		answeredDone           bool
		want                   Report
	}{
		{"one execution, answered Done", 1, 1, 0, true, Report{}},
		{"one execution, two attempts, one answered NotRun", 1, 2, 1, true, Report{}},
		{"no execution, both attempts answered NotRun", 0, 2, 2, false, Report{}},
		{"two executions", 2, 2, 0, true, Report{OrdersRunMoreThanOnce: 1}},
		{"one execution, all attempts answered NotRun", 1, 2, 2, false, Report{FalseNotRun: 1}},
		{"no execution, answered Done", 0, 1, 0, true, Report{OrdersLost: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newTestDemo()
			for range c.runs {
				d.runOrder("k")
			}
			d.transport.orderAttempts["k"], d.transport.orderNotRun["k"] = c.attempts, c.notRun
			if c.answeredDone {
				d.transport.ordersDone["k"] = true
			}
			var got Report
			d.checkOrders(&got)
			lavassert.Equal(t, "report", got, c.want)
		})
	}
}

func TestCountFalseNotRunPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDemo()
		d.runPrompt("started")
		d.transport.promptsNotRun = []string{"started", "not-started"}
		lavassert.Equal(t, "prompts answered NotRun that ran", d.countFalseNotRunPrompts(), 1)
	})
}

func TestNewWorkAfterWithdrawals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDemo()
		startedAt := time.Now()
		d.runPrompt("before-withdrawal")
		time.Sleep(time.Second)
		withdrawn := &withdrawal{failureDomain: "north", from: time.Now()}
		time.Sleep(2 * time.Second)
		d.runPrompt("within-bound")
		lastDelay, lateCount := d.newWorkAfterWithdrawals([]*withdrawal{withdrawn}, time.Now())
		lavassert.Equal(t, "requests started past the bound", lateCount, 0)
		lavassert.AtMost(t, "time to the last start of work", lastDelay, 2*time.Second)
		time.Sleep(4 * time.Second)
		d.runPrompt("past-bound")
		d.runOrder("in-other-domain")
		lastDelay, lateCount = d.newWorkAfterWithdrawals([]*withdrawal{withdrawn}, time.Now())
		lavassert.Equal(t, "requests started past the bound", lateCount, 1)
		lavassert.AtLeast(t, "time to the last start of work", lastDelay, 6*time.Second)
		withdrawn.until = startedAt.Add(4 * time.Second)
		_, lateCount = d.newWorkAfterWithdrawals([]*withdrawal{withdrawn}, time.Now())
		lavassert.Equal(t, "requests started past the bound, withdrawal ended", lateCount, 0)
	})
}

func TestRecordingTransportCountsCutOffs(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "partial body")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	server.Config.ErrorLog = discardLogger()
	defer server.Close()
	for _, stopping := range []bool{true, false} {
		transport := newRecordingTransport(func(netip.AddrPort) bool { return stopping })
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
		lavassert.NoError(t, err)
		answer, err := transport.RoundTrip(request)
		lavassert.NoError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		lavassert.True(t, "reading the cut-off body fails", err != nil)
		lavassert.Equal(t, "cut-off counted", transport.cutOff == 1, stopping)
		lavassert.NoError(t, answer.Body.Close())
	}
}

func TestReleaseWatcher(t *testing.T) {
	status := http.StatusUnauthorized
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer host.Close()
	e := &entryHost{settings: lavsettings.Settings{Entry: netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))}}
	w := newReleaseWatcher([]*entryHost{e})
	pollWithStatus := func(code int) {
		status = code
		for _, r := range w.releases {
			w.pollHosts(context.Background(), r)
		}
	}
	w.watch("probe", time.Now())
	pollWithStatus(http.StatusUnauthorized)
	lavassert.True(t, "release not in force everywhere before the host accepts the probe", !w.allInForceEverywhere())
	pollWithStatus(http.StatusBadRequest)
	lavassert.True(t, "release in force everywhere after the host accepts the probe", w.allInForceEverywhere())
	pollWithStatus(http.StatusServiceUnavailable)
	_, reverts := w.summary(time.Now())
	lavassert.Equal(t, "reverts after a host is unavailable", reverts, 0)
	pollWithStatus(http.StatusUnauthorized)
	_, reverts = w.summary(time.Now())
	lavassert.Equal(t, "reverts after a host rejects the probe again", reverts, 1)
}

func TestReportListsBrokenGuarantees(t *testing.T) {
	unbroken := Report{Answered: 1}
	unbroken.listBroken()
	lavassert.Equal(t, "broken guarantees of a clean report", len(unbroken.Broken), 0)
	for _, name := range []string{
		"Late", "Incomplete", "Misdelivered", "OrdersRunMoreThanOnce", "OrdersLost", "FalseNotRun", "ColdOverloads", "LeakedReservations",
		"NewWorkAfterTakeOut", "TakeOutSeconds", "ReleaseInForceSeconds", "ReleaseReverts", "CutOffByPlannedStop",
	} {
		r := Report{Answered: 1}
		field := reflect.ValueOf(&r).Elem().FieldByName(name)
		if field.CanInt() {
			field.SetInt(1)
		} else {
			field.SetFloat(5.01)
		}
		r.listBroken()
		lavassert.Equal(t, "broken guarantees", r.Broken, []string{name})
	}
}

func TestReportHasRequiredKeys(t *testing.T) {
	data, err := json.Marshal(newReportCollector(7).finish())
	lavassert.NoError(t, err)
	var got map[string]any
	lavassert.NoError(t, json.Unmarshal(data, &got))
	for _, key := range strings.Fields(`Seed Admitted Answered Refused FailedInTime Late Incomplete Misdelivered OrdersSent
		OrdersRunMoreThanOnce FalseNotRun ColdOverloads LeakedReservations NewWorkAfterTakeOut TakeOutSeconds
		ReleaseInForceSeconds ReleaseReverts CutOffByPlannedStop FirstToken`) {
		_, ok := got[key]
		lavassert.True(t, "report has key "+key, ok)
	}
	first, ok := got["FirstToken"].(map[string]any)
	lavassert.True(t, "FirstToken is an object", ok)
	lavassert.Equal(t, "number of length classes", len(first), len(lavrequest.Classes()))
}
