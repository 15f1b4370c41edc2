package lavendpoint_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"

	"github.com/cockroachdb/errors"
)

// fleet is a set of tables that share their polls over an in-process bus, together
// with the engines that they poll.
type fleet struct {
	t        *testing.T
	releases *lavrelease.Follower
	hostList *hostList
	tables   []*lavendpoint.Table
	cancels  []context.CancelFunc
	ended    sync.WaitGroup

	mu    sync.Mutex
	alive []bool
	// isolated is the index of a host that receives no batches, or -1.
	isolated int
	reports  map[string]lavengine.LoadReport
	down     map[string]bool
	polls    int
}

type hostList struct {
	mu    sync.Mutex
	hosts []lavendpoint.HostState
}

func (l *hostList) Hosts(context.Context) ([]lavendpoint.HostState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts, nil
}

func (l *hostList) set(hosts ...lavendpoint.HostState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

// polledEngine is an engine that only reports its load.
type polledEngine struct {
	lavengine.Engine
	fleet *fleet
	name  string
}

var errDown = errors.New("engine is down")

func (p *polledEngine) Load(context.Context) (lavengine.LoadReport, error) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.fleet.polls++
	if p.fleet.down[p.name] {
		return lavengine.LoadReport{}, errDown
	}
	r := p.fleet.reports[p.name]
	r.Taken = time.Now()
	return r, nil
}

// busPort connects one host's table to the bus. It implements lavendpoint.Sharing.
type busPort struct {
	fleet *fleet
	host  int
}

func (p *busPort) owner(name string) int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.ownerOf(name)
}

// ownerOf returns the index of the host that owns an endpoint, derived from the
// last digit of the endpoint's name. The owner may be dead, because it takes time
// until a membership view changes.
func (f *fleet) ownerOf(name string) int { return int(name[len(name)-1]-'0') % len(f.alive) }

func (p *busPort) Owns(name string) bool { return p.owner(name) == p.host }
func (p *busPort) Hosts() int            { return len(p.fleet.alive) }
func (p *busPort) Rank() int             { return p.host }

func (p *busPort) Broadcast(b lavendpoint.UpdateBatch) {
	for i, t := range p.fleet.tables {
		p.fleet.mu.Lock()
		receives := i != p.host && i != p.fleet.isolated && p.fleet.alive[i] && p.fleet.alive[p.host]
		p.fleet.mu.Unlock()
		if receives {
			t.ApplyBatch(b, time.Now())
		}
	}
}

func (f *fleet) set(name string, r lavengine.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[name] = r
}

func (f *fleet) setDown(name string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[name] = down
}

// resetPolls returns the number of polls since its last call.
func (f *fleet) resetPolls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.polls
	f.polls = 0
	return n
}

func (f *fleet) setIsolated(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated = i
}

// kill stops a host.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	f.alive[i] = false
	f.mu.Unlock()
	f.cancels[i]()
}

// awaitPhase waits until all live hosts see the endpoint in the given phase, and
// returns the time that this took.
func (f *fleet) awaitPhase(name string, want lavendpoint.Phase) time.Duration {
	f.t.Helper()
	began := time.Now()
	lavassert.Eventually(f.t, fmt.Sprintf("all live hosts see %s as %v", name, want), func() bool {
		for i, t := range f.tables {
			e, ok := t.Snapshot().Find(name)
			if f.alive[i] && (!ok || e.Phase != want) {
				return false
			}
		}
		return true
	})
	return time.Since(began)
}

// withFleet runs body with the given number of tables, which poll ten engines.
func withFleet(t *testing.T, hosts int, body func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, isolated: -1, hostList: &hostList{}, reports: make(map[string]lavengine.LoadReport), down: make(map[string]bool)}
		f.releases = lavrelease.NewFollower(lavfake.NewStore())
		state := &lavrelease.State{Version: 1, NoteID: "first"}
		state.FailureDomains = []lavrelease.FailureDomain{{Name: "north", Region: "inland"}}
		for i := range 10 {
			name := fmt.Sprintf("engine-%d", i)
			f.reports[name] = warmReport("a")
			state.Hosts = append(state.Hosts, lavrelease.Host{Name: "rack-" + name, FailureDomain: "north"})
			state.Endpoints = append(state.Endpoints, lavrelease.Endpoint{Name: name, Host: "rack-" + name})
		}
		f.releases.Adopt(t.Context(), state)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range hosts {
			f.alive = append(f.alive, true)
			table := lavendpoint.New(f.releases, f.hostList, func(e *lavendpoint.Endpoint) lavengine.Engine {
				return &polledEngine{fleet: f, name: e.Name}
			})
			table.SetSharing(&busPort{fleet: f, host: i})
			f.tables = append(f.tables, table)
		}
		for _, table := range f.tables {
			tableCtx, cancelTable := context.WithCancel(ctx)
			f.cancels = append(f.cancels, cancelTable)
			f.ended.Go(func() { _ = table.Serve(tableCtx) })
		}
		for i := range 10 {
			f.awaitPhase(fmt.Sprintf("engine-%d", i), lavendpoint.PhaseReady)
		}
		body(f)
		cancel()
		f.ended.Wait()
	})
}

func TestTable(t *testing.T) {
	const maxDelay = 5 * time.Second
	t.Run("each endpoint is polled only by its owner", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			time.Sleep(10 * time.Second)
			f.resetPolls()
			time.Sleep(10 * time.Second)
			lavassert.AtMost(t, "polls of 10 engines in 10 s", f.resetPolls(), 10*20+10)
		})
	})
	t.Run("a load reaches every host", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			r := warmReport("a")
			r.RunningTokens = 777
			f.set("engine-3", r)
			time.Sleep(2 * time.Second)
			for _, table := range f.tables {
				e, _ := table.Snapshot().Find("engine-3")
				lavassert.Equal(t, "running tokens", e.Report.RunningTokens, 777)
				lavassert.Equal(t, "region", e.Region, "inland")
			}
		})
	})
	t.Run("an endpoint that turns cold is cold everywhere", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.set("engine-3", coldReport("b"))
			lavassert.AtMost(t, "time until the phase is seen", f.awaitPhase("engine-3", lavendpoint.PhaseCold), time.Second)
			f.set("engine-3", warmReport("b"))
			lavassert.AtMost(t, "time until the phase is seen", f.awaitPhase("engine-3", lavendpoint.PhaseReady), maxDelay)
		})
	})
	// A host that starts misses the batches that are sent before its mesh links are
	// up.
	t.Run("a host that missed a batch detects the change", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			changes := []struct {
				report lavengine.LoadReport
				want   lavendpoint.Phase
			}{{coldReport("a"), lavendpoint.PhaseCold}, {warmReport("a"), lavendpoint.PhaseReady}}
			for _, c := range changes {
				f.setIsolated(0)
				f.set("engine-3", c.report)
				time.Sleep(time.Second)
				f.setIsolated(-1)
				lavassert.AtMost(t, "time until the phase is seen", f.awaitPhase("engine-3", c.want), maxDelay)
			}
		})
	})
	t.Run("a dead endpoint is out everywhere", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.setDown("engine-3", true)
			lavassert.AtMost(t, "time until the phase is seen", f.awaitPhase("engine-3", lavendpoint.PhaseOut), 3*time.Second)
			f.setDown("engine-3", false)
			f.awaitPhase("engine-3", lavendpoint.PhaseReady)
		})
	})
	t.Run("an endpoint of a leaving host is leaving, and one of a host that is no longer listed is out", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.hostList.set(lavendpoint.HostState{Name: "rack-engine-3", Leaving: true})
			lavassert.AtMost(t, "time until the phase is seen", f.awaitPhase("engine-3", lavendpoint.PhaseLeaving), maxDelay)
			f.hostList.set()
			lavassert.AtMost(t, "time until the phase is seen", f.awaitPhase("engine-3", lavendpoint.PhaseOut), maxDelay)
			f.hostList.set(lavendpoint.HostState{Name: "rack-engine-3"})
			f.awaitPhase("engine-3", lavendpoint.PhaseReady)
		})
	})
	t.Run("a release that withdraws a failure domain takes effect at once", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			n := lavrelease.Note{ID: "out", Withdraw: lavrelease.Names{FailureDomains: []string{"north"}}}
			state, err := lavrelease.Apply(f.releases.State(), &n)
			lavassert.NoError(t, err)
			f.releases.Adopt(t.Context(), state)
			lavassert.AtMost(t, "time until the phase is seen", f.awaitPhase("engine-3", lavendpoint.PhaseLeaving), 100*time.Millisecond)
		})
	})
	t.Run("while an owner is silent the other hosts poll its endpoints", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.kill(3)
			time.Sleep(30 * time.Second)
			f.awaitPhase("engine-3", lavendpoint.PhaseReady)
			f.set("engine-3", coldReport("b"))
			lavassert.AtMost(t, "time until the phase is seen", f.awaitPhase("engine-3", lavendpoint.PhaseCold), maxDelay)
		})
	})
}

// TestConfirm guards against beginning work at an endpoint that has turned cold
// since its owner died, based on a report from before the death.
func TestConfirm(t *testing.T) {
	const name = "engine-3"
	// confirm returns the report on which the host would base new work.
	confirm := func(f *fleet, host int) lavengine.LoadReport {
		e, ok := f.tables[host].Snapshot().Find(name)
		lavassert.True(f.t, "endpoint is known", ok)
		report, err := f.tables[host].Confirm(f.t.Context(), e)
		lavassert.NoError(f.t, err)
		return report
	}
	t.Run("an endpoint that turned cold 1 s ago is reported as cold", func(t *testing.T) {
		for delay := 0 * time.Millisecond; delay < 3*time.Second; delay += 70 * time.Millisecond {
			withFleet(t, 6, func(f *fleet) {
				f.kill(3)
				time.Sleep(delay)
				f.set(name, coldReport("a"))
				time.Sleep(time.Second)
				for host := range 3 {
					lavassert.True(t, fmt.Sprintf("host %d reports the endpoint as cold, %v after the owner's death", host, delay), confirm(f, host).Cold)
				}
			})
		}
	})
	t.Run("no endpoint is polled by Confirm while its owner sends batches", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			time.Sleep(10 * time.Second)
			f.resetPolls()
			const calls, pause = 100, 100 * time.Millisecond
			for range calls {
				for host := range 6 {
					confirm(f, host)
				}
				time.Sleep(pause)
			}
			lavassert.AtMost(t, "polls of 10 engines in 10 s", f.resetPolls(), 10*20+10)
		})
	})
	t.Run("Confirm fails if the endpoint can't be polled", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.kill(3)
			f.setDown(name, true)
			time.Sleep(time.Second)
			e, _ := f.tables[0].Snapshot().Find(name)
			_, err := f.tables[0].Confirm(f.t.Context(), e)
			lavassert.ErrorIs(t, err, errDown)
		})
	})
}
