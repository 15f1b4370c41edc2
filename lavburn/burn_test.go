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

func newHost(name string) *lavburn.Tracker { return lavburn.New(name, objectives) }

func good(customer string) lavburn.Sample {
	return lavburn.Sample{Customer: customer, Answered: true, FirstToken: 100 * time.Millisecond}
}

func bad(customer string) lavburn.Sample {
	return lavburn.Sample{Customer: customer, FirstToken: 100 * time.Millisecond}
}

// record counts n samples at now.
func record(b *lavburn.Tracker, now time.Time, n int, s lavburn.Sample) {
	for range n {
		b.Record(now, s)
	}
}

// window returns the count of an objective over a window.
func window(t *testing.T, b *lavburn.Tracker, now time.Time, objective string, w time.Duration) lavburn.WindowReport {
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
	lavassert.Equal(t, "count of all over "+w.String(), window(t, b, now, "all", w).Count, want)
}

func TestObjectives(t *testing.T) {
	b := newHost("a")
	record(b, start, 98, good("kiosk"))
	record(b, start, 1, lavburn.Sample{Customer: "kiosk", Answered: true, FirstToken: 2 * time.Second})
	record(b, start, 1, lavburn.Sample{Customer: "kiosk", Answered: true, Kind: lavrequest.KindAudit, FirstToken: time.Minute})
	t.Run("a late first token is bad where the objective bounds it", func(t *testing.T) {
		lavassert.Equal(t, "till", window(t, b, start, "till", time.Hour).Count, lavburn.Count{Good: 98, Total: 99})
	})
	t.Run("a request counts against each objective that it matches", func(t *testing.T) {
		assertCount(t, b, start, time.Hour, lavburn.Count{Good: 100, Total: 100})
	})
	t.Run("a burn is the bad share over the budget", func(t *testing.T) {
		burn := window(t, b, start, "till", time.Hour).Burn
		lavassert.True(t, fmt.Sprintf("burn %v near 1.01", burn), burn > 1.009 && burn < 1.011)
	})
}

func TestAlerts(t *testing.T) {
	alert := func(b *lavburn.Tracker, now time.Time) lavburn.Alert { return b.Report(now).Objectives[0].Alert }
	t.Run("an outage pages while it lasts and leaves a ticket", func(t *testing.T) {
		b := newHost("a")
		for m := range 10 {
			record(b, start.Add(time.Duration(m)*time.Minute), 10, bad("kiosk"))
		}
		lavassert.Equal(t, "during", alert(b, start.Add(9*time.Minute)), lavburn.AlertPage)
		for m := 10; m < 60; m++ {
			record(b, start.Add(time.Duration(m)*time.Minute), 10, good("kiosk"))
		}
		lavassert.Equal(t, "after", alert(b, start.Add(59*time.Minute)), lavburn.AlertTicket)
	})
	t.Run("a slow burn over days asks for a ticket", func(t *testing.T) {
		b := newHost("a")
		for m := range 72 * 60 {
			now := start.Add(time.Duration(m) * time.Minute)
			record(b, now, 49, good("kiosk"))
			record(b, now, 1, bad("kiosk"))
		}
		lavassert.Equal(t, "alert", alert(b, start.Add(72*time.Hour-time.Minute)), lavburn.AlertTicket)
		assertCount(t, b, start.Add(72*time.Hour-time.Minute), 6*time.Hour, lavburn.Count{Good: 360 * 49, Total: 360 * 50})
	})
}

// TestMerge delivers the messages of several hosts in any order, any number of
// times: the fleet's count is the sum, as long as each is heard once.
func TestMerge(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("nothing counts twice and nothing is missed", prop.ForAll(
		func(seed uint64, hosts, rounds int) bool {
			random := rand.New(rand.NewPCG(seed, 1))
			reader, want := newHost("reader"), lavburn.Count{}
			var peers []*lavburn.Tracker
			for i := range hosts {
				peers = append(peers, newHost(fmt.Sprint("host-", i)))
			}
			var sent []lavburn.Message
			now := start
			for range rounds {
				for _, p := range peers {
					n := random.IntN(5)
					record(p, now, n, good("kiosk"))
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
	t.Run("a host that restarts takes the fleet's sums from a peer", func(t *testing.T) {
		a, b := newHost("a"), newHost("b")
		record(a, start, 30, good("kiosk"))
		b.Merge(start, a.Delta(start))
		later := start.Add(time.Hour)
		record(b, later, 5, bad("kiosk"))
		again := newHost("a2")
		again.Merge(later, b.Snapshot(later))
		again.Merge(later, b.Snapshot(later))
		record(again, later, 1, good("kiosk"))
		assertCount(t, again, later, 6*time.Hour, lavburn.Count{Good: 31, Total: 36})
		assertCount(t, again, later, 5*time.Minute, lavburn.Count{Good: 1, Total: 6})
	})
	t.Run("a folded sum and open cells of the same minute count once", func(t *testing.T) {
		a, b := newHost("a"), newHost("b")
		record(a, start, 10, good("kiosk"))
		b.Merge(start, a.Delta(start))
		late := start.Add(4*time.Minute + 45*time.Second)
		open := b.Snapshot(late)
		folded := a.Snapshot(start.Add(6 * time.Minute))
		reader := newHost("reader")
		reader.Merge(late, open)
		reader.Merge(late, folded)
		assertCount(t, reader, late, time.Hour, lavburn.Count{Good: 10, Total: 10})
		assertCount(t, reader, late.Add(10*time.Minute), time.Hour, lavburn.Count{Good: 10, Total: 10})
	})
	t.Run("a count that comes too late is dropped and said so", func(t *testing.T) {
		a, b := newHost("a"), newHost("b")
		record(a, start, 10, good("kiosk"))
		b.Merge(start.Add(10*time.Minute), a.Delta(start))
		assertCount(t, b, start.Add(10*time.Minute), time.Hour, lavburn.Count{})
		lavassert.Equal(t, "dropped", b.Report(start.Add(10*time.Minute)).Dropped, uint64(1))
	})
}

// TestMemory counts 16,000 customers, each of whom sends something every
// minute, for more than the longest window of single minutes.
func TestMemory(t *testing.T) {
	const customers, hosts = 16_000, 20
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	reader := newHost("reader")
	now := start
	for m := range 70 {
		now = start.Add(time.Duration(m) * time.Minute)
		for h := range hosts {
			peer := newHost(fmt.Sprint("host-", h))
			for i := h; i < customers; i += hosts {
				peer.Record(now, good(names[i]))
			}
			record(peer, now, 3, bad("the one that fares worst"))
			reader.Merge(now, peer.Delta(now))
		}
	}
	t.Run("the worst customer is named", func(t *testing.T) {
		worst := reader.Report(now).Objectives[0].Customers[0]
		lavassert.Equal(t, "customer", worst.Customer, "the one that fares worst")
		lavassert.Equal(t, "bad", worst.Count.Bad(), 3*60*hosts)
	})
	t.Run("memory is bounded", func(t *testing.T) {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		copied := newHost("copy")
		copied.Merge(now, reader.Snapshot(now))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(reader)
		lavassert.AtMost(t, "bytes", int64(after.HeapAlloc)-int64(before.HeapAlloc), 4<<20)
		runtime.KeepAlive(copied)
	})
}

func TestFormats(t *testing.T) {
	b := newHost("a")
	b.Record(time.Now(), bad(`<script>alert("x")</script>`))
	record(b, time.Now(), 20, good("kiosk"))
	server := httptest.NewServer(b)
	defer server.Close()
	t.Run("a fetched report is the report", func(t *testing.T) {
		got, err := lavburn.Fetch(t.Context(), http.DefaultClient, server.URL)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "till", got.Objectives[0].Windows[0].Count, lavburn.Count{Good: 20, Total: 21})
		lavassert.Equal(t, "alert", got.Objectives[0].Alert, b.Report(time.Now()).Objectives[0].Alert)
		var text bytes.Buffer
		lavassert.NoError(t, got.WriteText(&text))
		lavassert.True(t, "text names the objective", strings.Contains(text.String(), "till"))
	})
	t.Run("the page stands alone and names nobody unescaped", func(t *testing.T) {
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
