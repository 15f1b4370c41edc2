package lavpermit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// Parameters of the simulations.
const (
	simStep     = 10 * time.Millisecond
	simTime     = 30 * time.Second
	simSettle   = 5 * time.Second
	simMaxWait  = 300 * time.Millisecond
	simDelay    = 5 * time.Millisecond
	simWindow   = 4 * time.Second
	simSlack    = 5
	simFactor   = 1.5
	simPressure = 1.5
)

// way divides a bound among hosts.
type way interface {
	// admit reports whether a host may send a request now.
	admit(now time.Time, host int) bool
	// exchange lets the hosts send each other messages. demand is the number of requests of each
	// host in the last second, and waiting the number of those that wait.
	exchange(now time.Time, demand, waiting []int)
	// messages is the number of messages so far.
	messages() int
}

// tokens is a bucket that holds a request and those of BurstTime.
type tokens struct {
	level float64
	at    time.Time
}

func (t *tokens) take(now time.Time, perSecond float64) bool {
	if !t.at.IsZero() {
		t.level = min(t.level+now.Sub(t.at).Seconds()*perSecond, 1+perSecond*BurstTime.Seconds())
	}
	t.at = now
	if t.level < 1 {
		return false
	}
	t.level--
	return true
}

// rounded is the division by the number of hosts that is rounded up to one request a second.
type rounded struct {
	perSecond float64
	sent      [][]time.Time
}

func (w *rounded) admit(now time.Time, host int) bool {
	for len(w.sent[host]) > 0 && now.Sub(w.sent[host][0]) >= time.Second {
		w.sent[host] = w.sent[host][1:]
	}
	if len(w.sent[host]) >= max(int(w.perSecond)/len(w.sent), 1) {
		return false
	}
	w.sent[host] = append(w.sent[host], now)
	return true
}

func (w *rounded) exchange(time.Time, []int, []int) {}
func (w *rounded) messages() int                    { return 0 }

// byDemand divides by the demand that hosts have told each other shortly before.
type byDemand struct {
	perSecond float64
	buckets   []tokens
	shares    []float64
	toldAt    time.Time
	count     int
}

func (w *byDemand) admit(now time.Time, host int) bool {
	return w.buckets[host].take(now, w.perSecond*w.shares[host])
}

func (w *byDemand) exchange(now time.Time, demand, _ []int) {
	const interval = 100 * time.Millisecond
	if now.Sub(w.toldAt) < interval {
		return
	}
	w.toldAt = now
	sum := 0
	for _, d := range demand {
		sum += d
	}
	for i, d := range demand {
		w.shares[i] = float64(d) / float64(max(sum, 1))
	}
	w.count += len(demand)
}

func (w *byDemand) messages() int { return w.count }

// even divides by the number of hosts, to a fraction.
type even struct {
	perSecond float64
	buckets   []tokens
}

func (w *even) admit(now time.Time, host int) bool {
	return w.buckets[host].take(now, w.perSecond/float64(len(w.buckets)))
}
func (w *even) exchange(time.Time, []int, []int) {}
func (w *even) messages() int                    { return 0 }

// byPermits is the division of this package, with messages that take time and may be lost.
type byPermits struct {
	perSecond float64
	allocator *Allocator[int]
	stocks    []Stock
	askers    []string
	inFlight  []delivery
	// lost says that the messages from a host, or to it, are lost.
	lostFrom, lostTo func(now time.Time, host int) bool
	count            int
}

// delivery is a grant that is on its way.
type delivery struct {
	at, askedAt time.Time
	host        int
	grant       Grant
}

func (w *byPermits) admit(now time.Time, host int) bool { return w.stocks[host].Take(now) }

func (w *byPermits) exchange(now time.Time, demand, waiting []int) {
	left := w.inFlight[:0]
	for _, d := range w.inFlight {
		switch {
		case now.Before(d.at):
			left = append(left, d)
		case !w.lostTo(now, d.host):
			w.stocks[d.host].Add(now, d.askedAt, d.grant)
		}
	}
	w.inFlight = left
	for i := range w.stocks {
		if demand[i]+waiting[i] == 0 {
			continue
		}
		s := &w.stocks[i]
		need := Need(float64(demand[i]), waiting[i], s.Count(now), s.Horizon())
		if need == 0 || !s.MayAsk(now) {
			continue
		}
		s.Asked(now)
		w.count++
		if w.lostFrom(now, i) {
			continue
		}
		w.count++
		g := w.allocator.Grant(now, 0, w.perSecond, w.askers[i], need)
		w.inFlight = append(w.inFlight, delivery{at: now.Add(2 * simDelay), askedAt: now, host: i, grant: g})
	}
}

func (w *byPermits) messages() int { return w.count }

// load is the requests of a simulation.
type load struct {
	hosts     int
	perSecond float64
	// target returns the host at which a request arrives.
	target func(now time.Time, random *rand.Rand) int
	// counts says whether the requests of a time count for the used share.
	counts func(since time.Duration) bool
}

// result is what a simulation shows.
type result struct {
	// most is the largest number of requests in a simWindow, and used the share of the bound
	// that was used.
	most     int
	used     float64
	messages float64
}

// run plays a load, of simPressure times the bound, on one way.
func (l load) run(w way, seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	arrived := make([][]time.Time, l.hosts)
	queues := make([][]time.Time, l.hosts)
	demand, waiting := make([]int, l.hosts), make([]int, l.hosts)
	var sent []time.Time
	counted, countedTime := 0, time.Duration(0)
	owed := 0.0
	for since := time.Duration(0); since < simTime; since += simStep {
		now := epoch.Add(since)
		owed += l.perSecond * simPressure * simStep.Seconds() * 2 * random.Float64()
		for ; owed >= 1; owed-- {
			host := l.target(now, random)
			arrived[host] = append(arrived[host], now)
			queues[host] = append(queues[host], now)
		}
		counts := since > simSettle && l.counts(since)
		if counts {
			countedTime += simStep
		}
		for i := range l.hosts {
			for len(arrived[i]) > 0 && now.Sub(arrived[i][0]) > time.Second {
				arrived[i] = arrived[i][1:]
			}
			for len(queues[i]) > 0 && now.Sub(queues[i][0]) > simMaxWait {
				queues[i] = queues[i][1:]
			}
			for len(queues[i]) > 0 && w.admit(now, i) {
				queues[i] = queues[i][1:]
				sent = append(sent, now)
				if counts {
					counted++
				}
			}
			demand[i], waiting[i] = len(arrived[i]), 0
			for _, at := range queues[i] {
				if at.Add(simMaxWait).Sub(now) >= AnswerTime {
					waiting[i]++
				}
			}
		}
		w.exchange(now, demand, waiting)
	}
	return result{
		most:     mostWithin(sent),
		used:     float64(counted) / (l.perSecond * countedTime.Seconds()),
		messages: float64(w.messages()) / simTime.Seconds(),
	}
}

// mostWithin returns the largest number of times in a simWindow.
func mostWithin(at []time.Time) int {
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > simWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func never(time.Time, int) bool     { return false }
func always(time.Duration) bool     { return true }
func allowed(perSecond float64) int { return int(simFactor*perSecond*simWindow.Seconds()) + simSlack }

// newWays returns the ways for a number of hosts.
func newWays(hosts int, perSecond float64) map[string]way {
	return map[string]way{
		"rounded": &rounded{perSecond: perSecond, sent: make([][]time.Time, hosts)},
		"even":    &even{perSecond: perSecond, buckets: make([]tokens, hosts)},
		"demand":  &byDemand{perSecond: perSecond, buckets: make([]tokens, hosts), shares: make([]float64, hosts)},
		"permits": newPermitWay(hosts, perSecond),
	}
}

func newPermitWay(hosts int, perSecond float64) *byPermits {
	w := &byPermits{perSecond: perSecond, allocator: NewAllocator[int](), stocks: make([]Stock, hosts), lostFrom: never, lostTo: never}
	for i := range hosts {
		w.askers = append(w.askers, fmt.Sprint(i))
	}
	return w
}

// flows are how requests arrive at the hosts, each with the least share of the bound that must be
// used.
var flows = []struct {
	name   string
	target func(hosts int) func(time.Time, *rand.Rand) int
	counts func(time.Duration) bool
	least  float64
}{
	{"even", func(hosts int) func(time.Time, *rand.Rand) int {
		return func(_ time.Time, random *rand.Rand) int { return random.IntN(hosts) }
	}, always, 0.9},
	{"one host", func(int) func(time.Time, *rand.Rand) int {
		return func(time.Time, *rand.Rand) int { return 0 }
	}, always, 0.8},
	{"moved each 4 s", func(hosts int) func(time.Time, *rand.Rand) int {
		return func(now time.Time, _ *rand.Rand) int { return int(now.Unix()/4*7) % hosts }
	}, func(since time.Duration) bool { return since%(4*time.Second) >= time.Second }, 0.8},
	{"moved each second", func(hosts int) func(time.Time, *rand.Rand) int {
		return func(now time.Time, _ *rand.Rand) int { return int(now.Unix()*7) % hosts }
	}, always, 0},
}

// TestWaysToDivide plays loads on this package's division and on others, and logs what each makes of
// them. Only this package's must keep the bound, and use it.
func TestWaysToDivide(t *testing.T) {
	for _, hosts := range []int{6, 22, 88, 295, 430} {
		for _, perSecond := range []float64{0.5, 2, 50, 2000} {
			for _, flow := range flows {
				t.Run(fmt.Sprintf("%d hosts, %v a second, %s", hosts, perSecond, flow.name), func(t *testing.T) {
					t.Parallel()
					l := load{hosts: hosts, perSecond: perSecond, target: flow.target(hosts), counts: flow.counts}
					for name, w := range newWays(hosts, perSecond) {
						r := l.run(w, 1)
						t.Logf("%-8s most in 4 s %5d of %5d, used %.2f, messages a second %.1f", name, r.most, allowed(perSecond), r.used, r.messages)
						if name != "permits" {
							continue
						}
						lavassert.AtMost(t, "requests in 4 s", r.most, allowed(perSecond))
						lavassert.AtLeast(t, "used share", r.used, flow.least)
					}
				})
			}
		}
	}
}

// TestPermitsUnderFaults plays faults that lose messages, and holders that end: the bound must hold,
// and be used again afterwards.
func TestPermitsUnderFaults(t *testing.T) {
	const from, until = 10 * time.Second, 16 * time.Second
	during := func(now time.Time) bool { return !now.Before(epoch.Add(from)) && now.Before(epoch.Add(until)) }
	third := func(now time.Time, host int) bool { return during(now) && host%3 == 0 }
	all := func(now time.Time, _ int) bool { return during(now) }
	tests := []struct {
		name     string
		from, to func(time.Time, int) bool
		// holderEnds is true if the holder is replaced during the fault.
		holderEnds bool
	}{
		{"QuestionsLost", third, never, false},
		{"AnswersLost", never, third, false},
		{"HolderGone", all, all, true},
		{"HolderReplacedAtOnce", never, never, true},
	}
	for _, test := range tests {
		for _, hosts := range []int{6, 295} {
			for _, perSecond := range []float64{0.5, 2, 200} {
				t.Run(fmt.Sprintf("%s, %d hosts, %v a second", test.name, hosts, perSecond), func(t *testing.T) {
					w := newPermitWay(hosts, perSecond)
					w.lostFrom, w.lostTo = test.from, test.to
					ends := test.holderEnds
					l := load{
						hosts: hosts, perSecond: perSecond,
						target: func(now time.Time, random *rand.Rand) int {
							if ends && during(now) {
								w.allocator, ends = NewAllocator[int](), false
							}
							return random.IntN(hosts)
						},
						counts: func(since time.Duration) bool { return since > until+2*time.Second },
					}
					r := l.run(w, 2)
					t.Logf("most in 4 s %d of %d, used afterwards %.2f", r.most, allowed(perSecond), r.used)
					lavassert.AtMost(t, "requests in 4 s", r.most, allowed(perSecond))
					lavassert.AtLeast(t, "used share afterwards", r.used, 0.9)
				})
			}
		}
	}
}
