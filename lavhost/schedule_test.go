package lavhost

import (
	"cmp"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/platform/standin"
)

const (
	scheduleHosts = 20
	// endpointSlots is the number of slots that the stand-ins state, and standinPrefill the time until
	// they answer.
	endpointSlots  = 16
	standinPrefill = 70 * time.Millisecond
	// fallbackMargin is what a prompt may take beside the wait for a scheduler and the prefill.
	fallbackMargin = 10 * time.Millisecond
	// streamTime is longer than a stream takes.
	streamTime = 3 * time.Second
)

// startScheduleLoad starts a fleet before model engines. It must be called in a synctest bubble. The
// caller must call end.
func startScheduleLoad(t *testing.T, hosts int) *promptLoad {
	t.Helper()
	l := startPromptLoadOn(t, 11, hosts)
	l.fleet.store.PutEntry(standin.EngineConfigEntry(2, "s"))
	time.Sleep(promptLoadSettle)
	return l
}

// answerTimes are when the answers to some prompts began.
type answerTimes struct {
	mu       sync.Mutex
	longest  time.Duration
	statuses map[int]int
}

// timedRecorder records when an answer begins.
type timedRecorder struct {
	*httptest.ResponseRecorder
	began time.Time
}

// Write implements http.ResponseWriter.
func (r *timedRecorder) Write(data []byte) (int, error) {
	if r.began.IsZero() {
		r.began = time.Now()
	}
	return r.ResponseRecorder.Write(data)
}

// burst sends prompts to each of some hosts at once, and waits for the answers.
func (l *promptLoad) burst(hosts []int, prompts int) *answerTimes {
	times := &answerTimes{statuses: make(map[int]int)}
	var callers sync.WaitGroup
	for _, host := range hosts {
		for range prompts {
			l.requests++
			own := fmt.Sprint("own", l.requests)
			callers.Go(func() { l.callTimed(times, host, own) })
		}
	}
	callers.Wait()
	return times
}

func (l *promptLoad) callTimed(times *answerTimes, host int, own string) {
	out := &timedRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := standin.NewPrompt(own, own)
	standin.SetTokens(r, cmp.Or(l.tokens, shortTokens), 300)
	sentAt := time.Now()
	l.fleet.host(host).ingress.ServeHTTP(out, r)
	times.mu.Lock()
	defer times.mu.Unlock()
	times.statuses[out.Code]++
	times.longest = max(times.longest, out.began.Sub(sentAt))
}

func allHosts(n int) []int {
	hosts := make([]int, n)
	for i := range hosts {
		hosts[i] = i
	}
	return hosts
}

// mostAtOneEndpoint returns the largest number of streams that an endpoint began since a time.
func (l *promptLoad) mostAtOneEndpoint(since time.Time) int {
	most := 0
	for i := range promptLoadEndpoints {
		most = max(most, l.endpoints.Served(promptLoadEndpoint(i), since, time.Now()))
	}
	return most
}

// schedulerIndex returns the index of the host that is the scheduler in the view of another.
func (l *promptLoad) schedulerIndex(t *testing.T, viewer int) int {
	t.Helper()
	m, ok := l.fleet.hosts[viewer].schedule.choice.schedulerOf(cellID{Service: "s", Cells: 1})
	lavassert.True(t, "there is a scheduler", ok)
	for i, h := range l.fleet.hosts {
		if h.settings.Host == m.Host {
			return i
		}
	}
	return -1
}

// switchScheduleOff makes all hosts decide by themselves.
func (f *emulatedFleet) switchScheduleOff() {
	for _, h := range f.hosts {
		h.ingress.relay.SetScheduler(inactiveSchedule{h.schedule})
	}
}

// inactiveSchedule leaves all decisions to its host.
type inactiveSchedule struct{ *scheduleClient }

// Active implements lavrelay.Scheduler.
func (inactiveSchedule) Active() bool { return false }

// shortTokens is the length of prompts unless a test states another one.
const shortTokens = 2000

// TestHostsKeepTheSlotsOfEndpoints plays a burst of prompts at all hosts, for 0.7 of the slots. By
// their own reports hosts overfill some endpoints while others have free slots.
func TestHostsKeepTheSlotsOfEndpoints(t *testing.T) {
	t.Parallel()
	const (
		promptsPerHost = 9
		prompts        = promptsPerHost * scheduleHosts
		// burstsAlone are the bursts without a scheduler. Not each one overfills an endpoint.
		burstsAlone = 4
	)
	synctest.Test(t, func(t *testing.T) {
		l := startScheduleLoad(t, scheduleHosts)
		defer l.end(t)
		start := time.Now()
		times := l.burst(allHosts(scheduleHosts), promptsPerHost)
		t.Logf("with a scheduler: first events within %v, at most %d at an endpoint", times.longest, l.mostAtOneEndpoint(start))
		lavassert.Equal(t, "served prompts", times.statuses[http.StatusOK], prompts)
		lavassert.AtMost(t, "streams at one endpoint", l.mostAtOneEndpoint(start), endpointSlots)
		lavassert.Equal(t, "prompts placed by the scheduler", l.fleet.counter("schedule.placed"), int64(prompts))
		time.Sleep(streamTime)
		l.fleet.switchScheduleOff()
		most := 0
		for range burstsAlone {
			start = time.Now()
			l.burst(allHosts(scheduleHosts), promptsPerHost)
			most = max(most, l.mostAtOneEndpoint(start))
		}
		t.Logf("without: at most %d at an endpoint", most)
		lavassert.AtLeast(t, "streams at one endpoint without a scheduler", most, endpointSlots+1)
	})
}

// scheduleFailures make the scheduler fail, whose index is given.
var scheduleFailures = []struct {
	name string
	fail func(f *emulatedFleet, scheduler int)
}{
	{"NoFailure", func(*emulatedFleet, int) {}},
	{"Stopped", func(f *emulatedFleet, scheduler int) { f.restart(scheduler) }},
	{"CutOffFromDatagrams", func(f *emulatedFleet, scheduler int) { f.loseDatagramsOf(scheduler) }},
	{"CutOff", func(f *emulatedFleet, scheduler int) {
		f.loseDatagramsOf(scheduler)
		f.isolate(scheduler, true)
	}},
	{"TwoHalves", func(f *emulatedFleet, _ int) { f.split() }},
	{"EveryThirdDatagramIsLost", func(f *emulatedFleet, _ int) {
		sent := 0
		f.datagrams.lose(func(netip.AddrPort, netip.AddrPort) bool {
			sent++
			return sent%3 == 0
		})
	}},
}

// loseDatagramsOf loses all datagrams from and to a host.
func (f *emulatedFleet) loseDatagramsOf(i int) {
	at := f.hosts[i].settings.Datagrams
	f.datagrams.lose(func(from, to netip.AddrPort) bool { return from == at || to == at })
}

// split cuts the fleet into two halves that can't reach each other.
func (f *emulatedFleet) split() {
	half := make(map[netip.AddrPort]bool)
	for i, h := range f.hosts {
		half[h.settings.Datagrams] = i < len(f.hosts)/2
		for j, other := range f.hosts {
			if i < len(f.hosts)/2 && len(f.hosts)/2 <= j {
				f.network.SetPartitioned(h.settings.Host, other.settings.Host, true)
			}
		}
	}
	f.datagrams.lose(func(from, to netip.AddrPort) bool { return half[from] != half[to] })
}

// TestFailureOfTheScheduler guards against prompts that are lost, or held for longer than a scheduler
// may take, while the scheduler fails and a successor takes over.
func TestFailureOfTheScheduler(t *testing.T) {
	t.Parallel()
	const rounds = 6
	for _, test := range scheduleFailures {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hosts := scheduleHosts
				if test.name == "TwoHalves" {
					// Both halves are large enough for schedulers.
					hosts = 2 * (maxDirectHosts + 1)
				}
				l := startScheduleLoad(t, hosts)
				defer l.end(t)
				scheduler := l.schedulerIndex(t, 0)
				callers := slices.DeleteFunc(allHosts(hosts), func(i int) bool { return i == scheduler })
				placed := l.fleet.counter("schedule.placed")
				for round := range rounds {
					if round == 1 {
						l.callers.Go(func() { test.fail(l.fleet, scheduler) })
					}
					times := l.burst(callers, 1)
					lavassert.Equal(t, "served prompts", times.statuses[http.StatusOK], len(callers))
					lavassert.AtMost(t, "time to the first event", times.longest, answerTimeout+standinPrefill+fallbackMargin)
				}
				t.Logf("%d prompts, %d placed by schedulers, %d questions unanswered, %d declined", rounds*len(callers),
					l.fleet.counter("schedule.placed")-placed, l.fleet.counter("schedule.unanswered"), l.fleet.counter("schedule.declined"))
			})
		})
	}
}

// occupy counts streams and prefill that doesn't end at all endpoints, which the scheduler knows at
// once as they are its own. Long prompts wait meanwhile.
func (f *emulatedFleet) occupy(scheduler int) (end func()) {
	const remaining = 120 * time.Millisecond
	fleet := f.hosts[scheduler].fleet
	var runs []*lavfleet.Run
	for _, life := range fleet.KnownEndpoints() {
		// A quarter of the prefill counts until its first event.
		load := lavplan.Load{Requests: 4, Streams: testStreams, Prefill: 4 * remaining}
		runs = append(runs, fleet.Begin([]lavfleet.Allocation{{Life: life, Load: load}}))
	}
	time.Sleep(4 * remaining * 5 / 4)
	return func() {
		for _, r := range runs {
			r.End(lavfleet.VerdictNone)
		}
	}
}

// TestFailureWhilePromptsWait guards against prompts that wait for a scheduler which has failed.
func TestFailureWhilePromptsWait(t *testing.T) {
	t.Parallel()
	const longTokens = 13_000
	for _, test := range scheduleFailures {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startScheduleLoad(t, scheduleHosts)
				defer l.end(t)
				l.tokens = longTokens
				scheduler := l.schedulerIndex(t, 0)
				callers := slices.DeleteFunc(allHosts(scheduleHosts), func(i int) bool { return i == scheduler })
				end := l.fleet.occupy(scheduler)
				l.callers.Go(func() {
					time.Sleep(decideInterval)
					lavassert.Equal(t, "prompts that wait", l.fleet.counter("schedule.waited"), int64(len(callers)))
					end()
					test.fail(l.fleet, scheduler)
				})
				times := l.burst(callers, 1)
				t.Logf("%v, first events within %v", times.statuses, times.longest)
				lavassert.Equal(t, "answered prompts", times.statuses[http.StatusOK]+times.statuses[http.StatusServiceUnavailable], len(callers))
				lavassert.AtMost(t, "time to the first event", times.longest, signTimeout+standinPrefill+fallbackMargin)
			})
		})
	}
}
