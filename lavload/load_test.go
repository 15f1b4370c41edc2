package lavload_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// serve starts an HTTP server for the duration of the test and returns its
// address.
func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// entryHost starts a fake entry host that answers prompts with answer and
// accepts all orders and lookups.
func entryHost(t *testing.T, answer func(w http.ResponseWriter, prompt string, tokens int)) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Prompt    string `json:"prompt"`
			MaxTokens int    `json:"max_tokens"`
		}
		if json.NewDecoder(r.Body).Decode(&body) == nil {
			answer(w, body.Prompt, body.MaxTokens)
		}
	})
	mux.HandleFunc("/services/orders/orders", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(lavrequest.HeaderOutcome, lavrequest.OutcomeDone.String())
	})
	var self netip.AddrPort
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"Entries": [{"Addr": %q}], "Validity": "10s"}`, self)
	})
	self = serve(t, mux)
	return self
}

// writeAnswer writes text as a complete streaming answer with the given number
// of tokens.
func writeAnswer(w http.ResponseWriter, text string, tokens int) {
	event, err := lavengine.AppendEvent(nil, "m", lavengine.Frame{ID: "r", Tokens: tokens, Text: text, Final: true})
	if err == nil {
		w.Header().Set(lavrequest.HeaderRequest, "r")
		_, _ = w.Write(event)
	}
}

// correctAnswer writes the expected answer to a prompt.
func correctAnswer(w http.ResponseWriter, prompt string, tokens int) {
	writeAnswer(w, lavfake.AnswerText(prompt, 0, tokens), tokens)
}

// expectedText returns the expected answer to a prompt.
func expectedText(p *lavclient.Prompt) string { return lavfake.AnswerText(p.Text, 0, p.MaxTokens) }

// TestCallerJudges checks the verdict on each type of answer.
func TestCallerJudges(t *testing.T) {
	for _, c := range []struct {
		verdict lavload.Verdict
		answer  func(w http.ResponseWriter, prompt string, tokens int)
	}{
		{lavload.VerdictAnswered, correctAnswer},
		{lavload.VerdictIncomplete, func(w http.ResponseWriter, prompt string, _ int) {
			writeAnswer(w, lavfake.AnswerText(prompt, 0, 3), 3)
		}},
		{lavload.VerdictMisdelivered, func(w http.ResponseWriter, _ string, tokens int) {
			writeAnswer(w, lavfake.AnswerText("another", 0, tokens), tokens)
		}},
		{lavload.VerdictRefused, func(w http.ResponseWriter, _ string, _ int) {
			w.Header().Set(lavrequest.HeaderOutcome, lavrequest.OutcomeNotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{lavload.VerdictFailed, func(w http.ResponseWriter, _ string, _ int) {
			w.Header().Set(lavrequest.HeaderOutcome, lavrequest.OutcomeUnknown.String())
			w.WriteHeader(http.StatusBadGateway)
		}},
	} {
		t.Run(c.verdict.String(), func(t *testing.T) {
			client := lavclient.New(lavclient.Settings{Seeds: []netip.AddrPort{entryHost(t, c.answer)}}, &http.Client{})
			caller := lavload.Caller{Client: client, Want: expectedText}
			result := caller.Prompt(t.Context(), lavclient.Prompt{Model: "m", Text: "p", MaxTokens: 8, Timeout: time.Minute}, time.Now())
			lavassert.Equal(t, "verdict", result.Verdict, c.verdict)
		})
	}
	t.Run("Late", func(t *testing.T) {
		client := lavclient.New(lavclient.Settings{Seeds: []netip.AddrPort{entryHost(t, correctAnswer)}}, &http.Client{})
		caller := lavload.Caller{Client: client, Want: expectedText}
		due := time.Now().Add(-2 * time.Minute)
		result := caller.Prompt(t.Context(), lavclient.Prompt{Model: "m", Text: "p", MaxTokens: 8, Timeout: time.Minute}, due)
		lavassert.Equal(t, "verdict", result.Verdict, lavload.VerdictLate)
	})
}

const scenario = `{
	"Name": "test", "Duration": "1s", "Rate": 60,
	"Fleet": {"Models": ["m"]},
	"Customers": [{"Name": "a", "Arrivals": 1}],
	"Mix": [
		{"Kind": "Interactive", "Arrivals": 3, "Prompt": {"Min": 100, "Max": 200}, "Answer": {"Min": 4, "Max": 8}, "Timeout": "30s", "Weight": 2},
		{"Kind": "Order", "Arrivals": 1, "Timeout": "30s", "Weight": 1, "Resent": 0.5},
		{"Kind": "Lookup", "Arrivals": 1, "Timeout": "30s", "Weight": 1}
	],
	"Faults": [{"At": "100ms", "Kind": "StoreDown", "For": "100ms"}, {"At": "200ms", "Kind": "Cut", "Target": "0"}]
}`

// TestRun runs a scenario against a fake entry host. One of its two faults is of
// a kind that StandinFaults does not support, which the report has to show.
func TestRun(t *testing.T) {
	s, err := lavscenario.Parse("s", []byte(scenario))
	lavassert.NoError(t, err)
	store := lavfake.NewStore()
	report, err := lavload.Run(t.Context(), lavload.Options{
		Scenario:  s,
		Seed:      3,
		Entries:   []netip.AddrPort{entryHost(t, correctAnswer)},
		Tokens:    map[string]string{"a": "secret"},
		Service:   "orders",
		Want:      expectedText,
		Transport: &http.Transport{},
		Faults:    lavload.NewStandinFaults(&http.Client{}, "http://"+serve(t, store.ControlledHandler()).String()),
	})
	lavassert.NoError(t, err)
	lavassert.AtLeast(t, "number sent", report.Sent, len(s.Plan(3)))
	lavassert.Equal(t, "number answered", report.Verdicts["Answered"], report.Sent)
	lavassert.Equal(t, "weighted service", report.Service, 1)
	lavassert.Equal(t, "prompts with a first token", int(report.FirstToken["Short"].Count), report.Kinds["Interactive"]["Answered"])
	lavassert.Equal(t, "number of reported faults", len(report.Faults), 2)
	_, err = store.Get(t.Context(), "k")
	lavassert.True(t, "store answers again after its fault has ended", err.Error() == "key not found")
	var table strings.Builder
	lavassert.NoError(t, report.WriteTable(&table))
	lavassert.True(t, "table reports the fault that is not supported", strings.Contains(table.String(), "Cut can't be brought about from outside"))
	folder := t.TempDir()
	lavassert.NoError(t, report.WritePlots(folder))
	for _, name := range []string{"service.svg", "first-token.svg"} {
		text, err := os.ReadFile(filepath.Join(folder, name))
		lavassert.NoError(t, err)
		lavassert.True(t, name+" is SVG", strings.Contains(string(text), "<svg"))
	}
}

// TestStandinFaults checks that faults take effect on fake endpoints and in the
// published release.
func TestStandinFaults(t *testing.T) {
	engine := lavfake.NewEngine(lavfake.EngineSettings{MemoryTokens: 1000, Step: time.Millisecond})
	store := lavfake.NewStore()
	faults := lavload.NewStandinFaults(&http.Client{}, "http://"+serve(t, store.ControlledHandler()).String())
	note := lavrelease.Note{ID: "first"}
	note.Add.FailureDomains = []lavrelease.FailureDomain{{Name: "north", Region: "one"}, {Name: "east", Region: "one"}}
	note.Add.Hosts = []lavrelease.Host{{Name: "rack", FailureDomain: "north"}}
	note.Add.Endpoints = []lavrelease.Endpoint{{Name: "engine", Host: "rack", Addr: serve(t, engine.ControlledHandler()), MemoryTokens: 1000}}
	_, err := lavrelease.Publish(t.Context(), store, &note)
	lavassert.NoError(t, err)

	beginAndEnd := func(f lavscenario.Fault, during func()) error {
		if err := faults.Begin(t.Context(), f); err != nil {
			return err
		}
		during()
		return faults.End(context.WithoutCancel(t.Context()), f)
	}
	t.Run("engine restarts", func(t *testing.T) {
		lavassert.NoError(t, beginAndEnd(lavscenario.Fault{Kind: lavscenario.FaultEngineDies, Target: "0"}, func() {}))
		lavassert.Equal(t, "engine deaths", engine.Counts().Deaths, 1)
		err := faults.Begin(t.Context(), lavscenario.Fault{Kind: lavscenario.FaultEngineDies, Target: "1"})
		lavassert.True(t, "error for an engine index beyond the last", err != nil)
	})
	t.Run("failure domain is withdrawn and added back", func(t *testing.T) {
		withdrawn := func() []string {
			state, err := lavrelease.Load(t.Context(), store)
			lavassert.NoError(t, err)
			return state.Out.FailureDomains
		}
		lavassert.NoError(t, beginAndEnd(lavscenario.Fault{Kind: lavscenario.FaultDomainOut, Target: "east"}, func() {
			lavassert.Equal(t, "withdrawn failure domains", withdrawn(), []string{"east"})
		}))
		lavassert.Equal(t, "number of withdrawn failure domains", len(withdrawn()), 0)
	})
}
