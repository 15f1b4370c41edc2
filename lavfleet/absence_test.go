package lavfleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

// TestAbsenceLength checks since when callers add up while no endpoint wants requests. A time
// that is too short makes them return in a crowd, and one that is too long makes them wait.
func TestAbsenceLength(t *testing.T) {
	const (
		endpoints = 10
		askGap    = 100 * time.Millisecond
	)
	life := func(i int) lavconfig.Incarnation { return lavconfig.Incarnation{ID: fmt.Sprint("e", i), StartedAt: 1} }
	// askUntil asks endpoints from one index on, one after the other. Each wants no requests until
	// the end, or a little earlier the later it is asked.
	askUntil := func(f *Fleet, from int, end time.Time) {
		for i := from; i < endpoints; i++ {
			f.RecordRetryAfter(life(i), time.Until(end)-time.Duration(i)*time.Millisecond)
			time.Sleep(askGap)
		}
	}
	const firstOf = endpoints - 1
	tests := []struct {
		name string
		act  func(f *Fleet)
		want lavplan.Absence
	}{
		{"OneAfterTheOther", func(f *Fleet) {
			askUntil(f, 0, time.Now().Add(6*time.Second))
		}, lavplan.Absence{Left: 5*time.Second - firstOf*time.Millisecond, Length: 6*time.Second - firstOf*time.Millisecond}},
		{"OneLongBefore", func(f *Fleet) {
			f.RecordRetryAfter(life(0), time.Minute)
			time.Sleep(20 * time.Second)
			beginRun(f, "e9", lavplan.Load{}).End(VerdictGood)
			time.Sleep(time.Second)
			askUntil(f, 1, time.Now().Add(6*time.Second))
		}, lavplan.Absence{
			Left:   6*time.Second - (endpoints-1)*askGap - firstOf*time.Millisecond,
			Length: 7*time.Second - firstOf*time.Millisecond,
		}},
		{"Twice", func(f *Fleet) {
			askUntil(f, 0, time.Now().Add(2*time.Second))
			time.Sleep(2 * time.Second)
			beginRun(f, "e3", lavplan.Load{}).End(VerdictGood)
			askUntil(f, 0, time.Now().Add(6*time.Second))
		}, lavplan.Absence{Left: 5*time.Second - firstOf*time.Millisecond, Length: 6*time.Second - firstOf*time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := testFleet(1)
				var all []lavconfig.Endpoint
				for i := range endpoints {
					all = append(all, endpoint(life(i).ID, "a"))
				}
				f.Update([]lavconfig.Service{engineService}, all, nil)
				test.act(f)
				b, _ := f.Snapshot("m", func(lavconfig.Incarnation) bool { return false })
				lavassert.Equal(t, "absence", b.Absence(), test.want)
				expected, ok := f.ExpectedAbsence("m")
				lavassert.True(t, "absence expected", ok)
				lavassert.Equal(t, "time left until the first endpoint is expected", expected.Left, test.want.Left)
				lavassert.AtMost(t, "length of the expected absence", expected.Length, test.want.Length)
				lavassert.AtLeast(t, "length of the expected absence", expected.Length, test.want.Length-time.Second)
			})
		})
	}
}
