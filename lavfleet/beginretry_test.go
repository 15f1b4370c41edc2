package lavfleet

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpermit"
	"lavenderrack.example/lavenderrack/lavplan"
)

// retryFixture returns a fleet with one endpoint that has a slot and 4,600 tokens, takes one request a
// second, and two retries left.
func retryFixture() (*Fleet, []Allocation) {
	f := New(Bounds{Retry: BudgetBounds{Ratio: 0.2, Window: 10 * time.Second, Burst: 2}})
	e := endpoint("e1", "a")
	e.Slots = 1
	engine := &lavconfig.Engine{Slots: 1, MemoryTokens: 5000}
	f.Update([]lavconfig.Service{{Name: "m", Engine: engine, ColdTime: time.Second, ColdRequestsPerSecond: 1}}, []lavconfig.Endpoint{e}, nil)
	f.SetBounds(Bounds{Retry: f.bounds.Retry, ColdFactor: 1})
	time.Sleep(10 * time.Second)
	return f, []Allocation{{Life: e.Incarnation(), Load: lavplan.Load{Requests: 1, KVTokens: 1000}}}
}

// sent returns the number of retries that count.
func sent(f *Fleet) int { return f.RetryShare("m").Sent }

// TestBeginRetryTakesAllOrNothing guards against retries and permits that are spent without a run.
func TestBeginRetryTakesAllOrNothing(t *testing.T) {
	for _, test := range []struct {
		name    string
		without func(f *Fleet, a []Allocation)
		begins  bool
	}{
		{"RoomAndRetry", func(*Fleet, []Allocation) {}, true},
		{"NoRetry", func(f *Fleet, _ []Allocation) { f.SetRetryHosts(1, false) }, false},
		{"NoSlot", func(f *Fleet, a []Allocation) {
			f.Begin([]Allocation{{Life: a[0].Life, Load: lavplan.Load{Requests: 1}}})
		}, false},
		{"NoMemory", func(f *Fleet, a []Allocation) {
			f.SetPeerReport(Report{Loads: map[lavconfig.Incarnation]lavplan.Load{a[0].Life: {KVTokens: 3700}}})
		}, false},
		{"NoPermit", func(f *Fleet, a []Allocation) { f.RecordLimit(a[0].Life, 1) }, false},
		{"Leaving", func(f *Fleet, a []Allocation) { f.RecordLeaving(a[0].Life) }, false},
		{"UnknownEndpoint", func(_ *Fleet, a []Allocation) { a[0].Life.ID = "e9" }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, allocations := retryFixture()
				test.without(f, allocations)
				run, _ := f.BeginRetry(allocations)
				lavassert.Equal(t, "begins", run != nil, test.begins)
				want := 0
				if test.begins {
					want = 1
				}
				lavassert.Equal(t, "retries spent", sent(f), want)
			})
		})
	}
}

// TestCanceledRunGivesAllBack guards against places, retries and permits that leak with a run which was
// not sent.
func TestCanceledRunGivesAllBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, allocations := retryFixture()
		f.RecordLimit(allocations[0].Life, 1)
		for range 3 {
			f.AddPermits(allocations[0].Life, time.Now(), lavpermit.Grant{Permits: 1, Interval: time.Second})
			run, share := f.BeginRetry(allocations)
			lavassert.True(t, "begins", run != nil)
			lavassert.Equal(t, "retries spent before", share.Sent, 0)
			run.Cancel()
			lavassert.Equal(t, "retries spent", sent(f), 0)
			lavassert.True(t, "no load", f.endpoints[allocations[0].Life].local.Zero())
			lavassert.Equal(t, "requests counted of the cold share", f.endpoints[allocations[0].Life].sent.count(time.Now()), 0)
			lavassert.Equal(t, "permits", f.endpoints[allocations[0].Life].stock.Count(time.Now()), 1)
			run, _ = f.BeginRetry(allocations)
			run.ReturnRetry()
			lavassert.Equal(t, "retries spent after the return", sent(f), 0)
			run.End(VerdictNone)
			time.Sleep(10 * time.Second)
		}
	})
}

// TestLateReturnOfARetry guards against counts that fall below what was sent once the window is over.
func TestLateReturnOfARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, allocations := retryFixture()
		run, _ := f.BeginRetry(allocations)
		time.Sleep(time.Minute)
		lavassert.True(t, "a retry is left", spendRetry(f, "m"))
		run.Cancel()
		lavassert.Equal(t, "retries spent", sent(f), 1)
	})
}
