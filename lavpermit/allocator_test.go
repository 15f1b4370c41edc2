package lavpermit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// epoch is an arbitrary time.
var epoch = time.Unix(1_000_000, 0)

// TestPermitsStayWithinBound checks that in any span of time no more permits are handed out than
// the bound allows, whoever asks when for how many.
func TestPermitsStayWithinBound(t *testing.T) {
	const span = 20 * time.Second
	handedOut := func(perSecond float64, hosts int, seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		a := NewAllocator[string]()
		var at []time.Time
		for now := epoch; now.Before(epoch.Add(span)); now = now.Add(time.Duration(random.Int64N(int64(40 * time.Millisecond)))) {
			g := a.Grant(now, "b", perSecond, fmt.Sprint(random.IntN(hosts)), random.IntN(20))
			for range g.Permits {
				at = append(at, now)
			}
		}
		return withinBound(at, perSecond)
	}
	properties := gopter.NewProperties(nil)
	properties.Property("bound is kept", prop.ForAll(handedOut, gen.Float64Range(0.1, 200), gen.IntRange(1, 50), gen.UInt64()))
	properties.TestingRun(t)
}

// withinBound reports whether the times of permits keep a bound in each span between two of them.
func withinBound(at []time.Time, perSecond float64) bool {
	// The permits from i to j are too many if j+1-i > perSecond*(at[j]-at[i]+BurstTime)+BurstPermits.
	lowest := math.Inf(1)
	for j := range at {
		due := perSecond * at[j].Sub(epoch).Seconds()
		lowest = min(lowest, float64(j)-due)
		if float64(j+1)-due-lowest > perSecond*BurstTime.Seconds()+BurstPermits+1e-6 {
			return false
		}
	}
	return true
}

func TestGrant(t *testing.T) {
	t.Run("NewHolderHasNone", func(t *testing.T) {
		g := NewAllocator[string]().Grant(epoch, "b", 1000, "h", 10)
		lavassert.Equal(t, "permits", g.Permits, 0)
	})
	t.Run("FractionIsKept", func(t *testing.T) {
		a := NewAllocator[string]()
		count := 0
		for i := range 1001 {
			count += a.Grant(epoch.Add(time.Duration(i)*100*time.Millisecond), "b", 0.3, "h", 5).Permits
		}
		lavassert.Equal(t, "permits in 100 s", count, 30)
	})
	t.Run("HostsGetTheSame", func(t *testing.T) {
		a := NewAllocator[string]()
		counts := make(map[string]int)
		random := rand.New(rand.NewPCG(1, 1))
		for now := epoch; now.Before(epoch.Add(100 * time.Second)); now = now.Add(20 * time.Millisecond) {
			host := fmt.Sprint(random.IntN(4))
			counts[host] += a.Grant(now, "b", 40, host, 100).Permits
		}
		for host, count := range counts {
			lavassert.AtLeast(t, "permits of host "+host, count, 900)
			lavassert.AtMost(t, "permits of host "+host, count, 1100)
		}
	})
	t.Run("IntervalOfEachHost", func(t *testing.T) {
		a := NewAllocator[string]()
		a.Grant(epoch, "b", 2, "h", 1)
		g := a.Grant(epoch, "b", 2, "i", 1)
		lavassert.Equal(t, "interval of two hosts at 2 a second", g.Interval, time.Second)
	})
	t.Run("HostsThatStopAskingAreForgotten", func(t *testing.T) {
		a := NewAllocator[string]()
		a.Grant(epoch, "b", 2, "h", 1)
		g := a.Grant(epoch.Add(2*minAskerTTL), "b", 2, "i", 1)
		lavassert.Equal(t, "interval of one host at 2 a second", g.Interval, 500*time.Millisecond)
	})
	t.Run("LowerLimit", func(t *testing.T) {
		a := NewAllocator[string]()
		a.Grant(epoch, "b", 100, "h", 0)
		g := a.Grant(epoch.Add(10*time.Second), "b", 1, "h", 100)
		lavassert.Equal(t, "permits saved up", g.Permits, BurstPermits)
	})
	t.Run("NoLimitIsZeroForGood", func(t *testing.T) {
		a := NewAllocator[string]()
		a.Grant(epoch, "b", 0, "h", 1)
		g := a.Grant(epoch.Add(10*time.Second), "b", 0, "h", 1)
		lavassert.Equal(t, "permits in 10 s", g.Permits, 1)
	})
}
