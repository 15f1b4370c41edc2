package lavburn_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavburn"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Date(2026, 3, 1, 12, 0, 30, 0, time.UTC)

func objectives() []lavrelease.Objective {
	return []lavrelease.Objective{
		{Name: "till", Kind: "Interactive", Class: "Short", FirstToken: lavrelease.Duration(time.Second), Target: 0.99},
		{Name: "all", Target: 0.9},
	}
}

func newTracker(name string) *lavburn.Tracker { return lavburn.New(name, objectives) }

func goodSample(customer string) lavburn.Sample {
	return lavburn.Sample{Customer: customer, Answered: true, FirstToken: 100 * time.Millisecond}
}

func badSample(customer string) lavburn.Sample {
	return lavburn.Sample{Customer: customer, FirstToken: 100 * time.Millisecond}
}

// record counts the sample s n times at time now.
func record(b *lavburn.Tracker, now time.Time, n int, s lavburn.Sample) {
	for range n {
		b.Record(now, s)
	}
}

// windowReport returns the report of an objective over the window w.
func windowReport(t *testing.T, b *lavburn.Tracker, now time.Time, objective string, w time.Duration) lavburn.WindowReport {
	t.Helper()
	for _, o := range b.Report(now).Objectives {
		for _, have := range o.Windows {
			if o.Name == objective && have.Window == lavrelease.Duration(w) {
				return have
			}
		}
	}
	t.Fatalf("no window %v of %s", w, objective)
	return lavburn.WindowReport{}
}

func assertCount(t *testing.T, b *lavburn.Tracker, now time.Time, w time.Duration, want lavburn.Count) {
	t.Helper()
	lavassert.Equal(t, "count of all over "+w.String(), windowReport(t, b, now, "all", w).Count, want)
}

func TestObjectives(t *testing.T) {
	b := newTracker("a")
	record(b, start, 98, goodSample("kiosk"))
	record(b, start, 1, lavburn.Sample{Customer: "kiosk", Answered: true, FirstToken: 2 * time.Second})
	record(b, start, 1, lavburn.Sample{Customer: "kiosk", Answered: true, Kind: lavrequest.KindAudit, FirstToken: time.Minute})
	t.Run("a late first token is bad only if the objective bounds the time to first token", func(t *testing.T) {
		lavassert.Equal(t, "count of till", windowReport(t, b, start, "till", time.Hour).Count, lavburn.Count{Good: 98, Total: 99})
	})
	t.Run("a request is counted for each objective that it matches", func(t *testing.T) {
		assertCount(t, b, start, time.Hour, lavburn.Count{Good: 100, Total: 100})
	})
	t.Run("the burn rate is the share of bad requests over the budget", func(t *testing.T) {
		burnRate := windowReport(t, b, start, "till", time.Hour).Burn
		lavassert.True(t, fmt.Sprintf("burn rate %v is near 1.01", burnRate), burnRate > 1.009 && burnRate < 1.011)
	})
}

func TestAlerts(t *testing.T) {
	alert := func(b *lavburn.Tracker, now time.Time) lavburn.Alert { return b.Report(now).Objectives[0].Alert }
	t.Run("an outage raises a page while it lasts and a ticket afterwards", func(t *testing.T) {
		b := newTracker("a")
		for m := range 10 {
			record(b, start.Add(time.Duration(m)*time.Minute), 10, badSample("kiosk"))
		}
		lavassert.Equal(t, "alert during the outage", alert(b, start.Add(9*time.Minute)), lavburn.AlertPage)
		for m := 10; m < 60; m++ {
			record(b, start.Add(time.Duration(m)*time.Minute), 10, goodSample("kiosk"))
		}
		lavassert.Equal(t, "alert after the outage", alert(b, start.Add(59*time.Minute)), lavburn.AlertTicket)
	})
	t.Run("a low burn rate over days raises a ticket", func(t *testing.T) {
		b := newTracker("a")
		for m := range 72 * 60 {
			now := start.Add(time.Duration(m) * time.Minute)
			record(b, now, 49, goodSample("kiosk"))
			record(b, now, 1, badSample("kiosk"))
		}
		lavassert.Equal(t, "alert", alert(b, start.Add(72*time.Hour-time.Minute)), lavburn.AlertTicket)
		assertCount(t, b, start.Add(72*time.Hour-time.Minute), 6*time.Hour, lavburn.Count{Good: 360 * 49, Total: 360 * 50})
	})
}

// TestMerge checks that the count of the fleet is the sum of the counts of all hosts
// if messages are reordered, repeated or lost, provided that the last message of each
// host is delivered.
func TestMerge(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("no request is counted twice or omitted", prop.ForAll(
		func(seed uint64, hosts, rounds int) bool {
			random := rand.New(rand.NewPCG(seed, 1))
			reader, want := newTracker("reader"), lavburn.Count{}
			var peers []*lavburn.Tracker
			for i := range hosts {
				peers = append(peers, newTracker(fmt.Sprint("host-", i)))
			}
			var sent []lavburn.Message
			now := start
			for range rounds {
				for _, p := range peers {
					n := random.IntN(5)
					record(p, now, n, goodSample("kiosk"))
					want = want.Add(lavburn.Count{Good: uint64(n), Total: uint64(n)})
					sent = append(sent, p.Delta(now))
				}
				now = now.Add(20 * time.Second)
				for range 2 * hosts {
					reader.Merge(now, sent[random.IntN(len(sent))])
				}
			}
			for _, p := range peers {
				reader.Merge(now, p.Delta(now))
			}
			for _, w := range reader.Report(now).Objectives {
				if w.Name == "all" && w.Windows[2].Count != want {
					return false
				}
			}
			return true
		},
		gen.UInt64(), gen.IntRange(1, 6), gen.IntRange(1, 9),
	))
	properties.TestingRun(t)
}

func TestRestart(t *testing.T) {
	t.Run("a restarted host loads the counts of the fleet from a peer", func(t *testing.T) {
		a, b := newTracker("a"), newTracker("b")
		record(a, start, 30, goodSample("kiosk"))
		b.Merge(start, a.Delta(start))
		later := start.Add(time.Hour)
		record(b, later, 5, badSample("kiosk"))
		restarted := newTracker("a2")
		restarted.Merge(later, b.Snapshot(later))
		restarted.Merge(later, b.Snapshot(later))
		record(restarted, later, 1, goodSample("kiosk"))
		assertCount(t, restarted, later, 6*time.Hour, lavburn.Count{Good: 31, Total: 36})
		assertCount(t, restarted, later, 5*time.Minute, lavburn.Count{Good: 1, Total: 6})
	})
	t.Run("a sum and the unfolded cells of the same minute are counted once", func(t *testing.T) {
		a, b := newTracker("a"), newTracker("b")
		record(a, start, 10, goodSample("kiosk"))
		b.Merge(start, a.Delta(start))
		late := start.Add(4*time.Minute + 45*time.Second)
		open := b.Snapshot(late)
		folded := a.Snapshot(start.Add(6 * time.Minute))
		reader := newTracker("reader")
		reader.Merge(late, open)
		reader.Merge(late, folded)
		assertCount(t, reader, late, time.Hour, lavburn.Count{Good: 10, Total: 10})
		assertCount(t, reader, late.Add(10*time.Minute), time.Hour, lavburn.Count{Good: 10, Total: 10})
	})
	t.Run("a late cell is dropped and counted as dropped", func(t *testing.T) {
		a, b := newTracker("a"), newTracker("b")
		record(a, start, 10, goodSample("kiosk"))
		b.Merge(start.Add(10*time.Minute), a.Delta(start))
		assertCount(t, b, start.Add(10*time.Minute), time.Hour, lavburn.Count{})
		lavassert.Equal(t, "dropped", b.Report(start.Add(10*time.Minute)).Dropped, uint64(1))
	})
}

// TestMemory checks that memory stays bounded with 16,000 customers that each send a
// request every minute for longer than customer counts are retained.
func TestMemory(t *testing.T) {
	const customers, hosts = 16_000, 20
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	reader := newTracker("reader")
	now := start
	for m := range 70 {
		now = start.Add(time.Duration(m) * time.Minute)
		for h := range hosts {
			peer := newTracker(fmt.Sprint("host-", h))
			for i := h; i < customers; i += hosts {
				peer.Record(now, goodSample(names[i]))
			}
			record(peer, now, 3, badSample("most-bad-requests"))
			reader.Merge(now, peer.Delta(now))
		}
	}
	t.Run("the customer with the most bad requests is listed first", func(t *testing.T) {
		worst := reader.Report(now).Objectives[0].Customers[0]
		lavassert.Equal(t, "customer", worst.Customer, "most-bad-requests")
		lavassert.Equal(t, "bad requests", worst.Count.Bad(), 3*60*hosts)
	})
	t.Run("memory is bounded", func(t *testing.T) {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		copied := newTracker("copy")
		copied.Merge(now, reader.Snapshot(now))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(reader)
		lavassert.AtMost(t, "bytes", int64(after.HeapAlloc)-int64(before.HeapAlloc), 4<<20)
		runtime.KeepAlive(copied)
	})
}

func TestFormats(t *testing.T) {
	b := newTracker("a")
	b.Record(time.Now(), badSample(`<script>alert("x")</script>`))
	record(b, time.Now(), 20, goodSample("kiosk"))
	server := httptest.NewServer(b)
	defer server.Close()
	t.Run("a fetched report equals the local report", func(t *testing.T) {
		got, err := lavburn.Fetch(t.Context(), http.DefaultClient, server.URL)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "count of till", got.Objectives[0].Windows[0].Count, lavburn.Count{Good: 20, Total: 21})
		lavassert.Equal(t, "alert", got.Objectives[0].Alert, b.Report(time.Now()).Objectives[0].Alert)
		var text bytes.Buffer
		lavassert.NoError(t, got.WriteText(&text))
		lavassert.True(t, "text contains the objective", strings.Contains(text.String(), "till"))
	})
	t.Run("the page is self-contained and escapes customer names", func(t *testing.T) {
		var html bytes.Buffer
		lavassert.NoError(t, b.Report(time.Now()).WriteHTML(&html))
		for _, banned := range []string{"<script", "src=", "href=\"http", "@import", "<?xml"} {
			lavassert.True(t, "page without "+banned, !strings.Contains(html.String(), banned))
		}
		lavassert.Equal(t, "plots", strings.Count(html.String(), "<svg"), 2)
	})
	t.Run("an unknown format is refused", func(t *testing.T) {
		recorder := httptest.NewRecorder()
		b.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/burn?format=xml", http.NoBody))
		lavassert.Equal(t, "status", recorder.Code, http.StatusBadRequest)
	})
}
