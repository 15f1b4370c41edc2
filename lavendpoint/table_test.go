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

// fleet is some tables that share their polls over a bus, and the engines that
// they poll.
type fleet struct {
	t        *testing.T
	releases *lavrelease.Follower
	list     *hostList
	tables   []*lavendpoint.Table
	cancels  []context.CancelFunc
	ended    sync.WaitGroup

	mu    sync.Mutex
	alive []bool
	// deaf is a host that misses what is told; below zero is none.
	deaf    int
	reports map[string]lavengine.LoadReport
	down    map[string]bool
	polls   int
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

// polled is an engine that only reports its load.
type polled struct {
	lavengine.Engine
	fleet *fleet
	name  string
}

var errDown = errors.New("engine is down")

func (p *polled) Load(context.Context) (lavengine.LoadReport, error) {
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

// seat is one table's place on the bus.
type seat struct {
	fleet *fleet
	i     int
}

func (s *seat) owner(name string) int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.ownerOf(name)
}

// ownerOf is the host whose number the name's ends with, whether or not it is
// alive: views take a while.
func (f *fleet) ownerOf(name string) int { return int(name[len(name)-1]-'0') % len(f.alive) }

func (s *seat) Owns(name string) bool { return s.owner(name) == s.i }
func (s *seat) Hosts() int            { return len(s.fleet.alive) }
func (s *seat) Rank() int             { return s.i }

func (s *seat) Broadcast(b lavendpoint.UpdateBatch) {
	for i, t := range s.fleet.tables {
		s.fleet.mu.Lock()
		hears := i != s.i && i != s.fleet.deaf && s.fleet.alive[i] && s.fleet.alive[s.i]
		s.fleet.mu.Unlock()
		if hears {
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

func (f *fleet) takePolls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.polls
	f.polls = 0
	return n
}

func (f *fleet) setDeaf(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf = i
}

// kill ends a host.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	f.alive[i] = false
	f.mu.Unlock()
	f.cancels[i]()
}

// awaitPhase returns how long it takes until all living hosts see an endpoint
// in a phase.
func (f *fleet) awaitPhase(name string, want lavendpoint.Phase) time.Duration {
	f.t.Helper()
	began := time.Now()
	lavassert.Eventually(f.t, fmt.Sprintf("%s is %v everywhere", name, want), func() bool {
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

// withFleet runs body with hosts tables over ten engines on five hosts.
func withFleet(t *testing.T, hosts int, body func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, deaf: -1, list: &hostList{}, reports: make(map[string]lavengine.LoadReport), down: make(map[string]bool)}
		f.releases = lavrelease.NewFollower(lavfake.NewStore())
		state := &lavrelease.State{Version: 1, NoteID: "first"}
		state.FailureDomains = []lavrelease.FailureDomain{{Name: "north", Region: "inland"}}
		for i := range 10 {
			name := fmt.Sprintf("engine-%d", i)
			f.reports[name] = warm("a")
			state.Hosts = append(state.Hosts, lavrelease.Host{Name: "rack-" + name, FailureDomain: "north"})
			state.Endpoints = append(state.Endpoints, lavrelease.Endpoint{Name: name, Host: "rack-" + name})
		}
		f.releases.Adopt(t.Context(), state)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range hosts {
			f.alive = append(f.alive, true)
			table := lavendpoint.New(f.releases, f.list, func(e *lavendpoint.Endpoint) lavengine.Engine {
				return &polled{fleet: f, name: e.Name}
			})
			table.SetSharing(&seat{fleet: f, i: i})
			f.tables = append(f.tables, table)
		}
		for _, table := range f.tables {
			own, stop := context.WithCancel(ctx)
			f.cancels = append(f.cancels, stop)
			f.ended.Go(func() { _ = table.Serve(own) })
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
	const bound = 5 * time.Second
	t.Run("each endpoint is polled by its owner alone", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			time.Sleep(10 * time.Second)
			f.takePolls()
			time.Sleep(10 * time.Second)
			lavassert.AtMost(t, "polls in 10 s of 10 engines", f.takePolls(), 10*20+10)
		})
	})
	t.Run("a load reaches every host", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			r := warm("a")
			r.RunningTokens = 777
			f.set("engine-3", r)
			time.Sleep(2 * time.Second)
			for _, table := range f.tables {
				e, _ := table.Snapshot().Find("engine-3")
				lavassert.Equal(t, "tokens", e.Report.RunningTokens, 777)
				lavassert.Equal(t, "region", e.Region, "inland")
			}
		})
	})
	t.Run("an endpoint that turns cold is cold everywhere", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.set("engine-3", cold("b"))
			lavassert.AtMost(t, "time", f.awaitPhase("engine-3", lavendpoint.PhaseCold), time.Second)
			f.set("engine-3", warm("b"))
			lavassert.AtMost(t, "time", f.awaitPhase("engine-3", lavendpoint.PhaseReady), bound)
		})
	})
	// A host that starts misses what is told before its links stand.
	t.Run("a host that missed a change learns of it", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			changes := []struct {
				report lavengine.LoadReport
				want   lavendpoint.Phase
			}{{cold("a"), lavendpoint.PhaseCold}, {warm("a"), lavendpoint.PhaseReady}}
			for _, c := range changes {
				f.setDeaf(0)
				f.set("engine-3", c.report)
				time.Sleep(time.Second)
				f.setDeaf(-1)
				lavassert.AtMost(t, "time", f.awaitPhase("engine-3", c.want), bound)
			}
		})
	})
	t.Run("a dead endpoint is out everywhere", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.setDown("engine-3", true)
			lavassert.AtMost(t, "time", f.awaitPhase("engine-3", lavendpoint.PhaseOut), 3*time.Second)
			f.setDown("engine-3", false)
			f.awaitPhase("engine-3", lavendpoint.PhaseReady)
		})
	})
	t.Run("a leaving host's endpoint takes no new work, and a vanished one is out", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.list.set(lavendpoint.HostState{Name: "rack-engine-3", Leaving: true})
			lavassert.AtMost(t, "time", f.awaitPhase("engine-3", lavendpoint.PhaseLeaving), bound)
			f.list.set()
			lavassert.AtMost(t, "time", f.awaitPhase("engine-3", lavendpoint.PhaseOut), bound)
			f.list.set(lavendpoint.HostState{Name: "rack-engine-3"})
			f.awaitPhase("engine-3", lavendpoint.PhaseReady)
		})
	})
	t.Run("a release that takes a domain out works at once", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			n := lavrelease.Note{ID: "out", Withdraw: lavrelease.Names{FailureDomains: []string{"north"}}}
			state, err := lavrelease.Apply(f.releases.State(), &n)
			lavassert.NoError(t, err)
			f.releases.Adopt(t.Context(), state)
			lavassert.AtMost(t, "time", f.awaitPhase("engine-3", lavendpoint.PhaseLeaving), 100*time.Millisecond)
		})
	})
	t.Run("while an owner is silent the others poll", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			f.kill(3)
			time.Sleep(30 * time.Second)
			f.awaitPhase("engine-3", lavendpoint.PhaseReady)
			f.set("engine-3", cold("b"))
			lavassert.AtMost(t, "time", f.awaitPhase("engine-3", lavendpoint.PhaseCold), bound)
		})
	})
}

// TestConfirm guards against work that begins at an endpoint by what was known
// before its owner died, though it has turned cold since.
func TestConfirm(t *testing.T) {
	const name = "engine-3"
	// confirmed asks one host for what it would begin work by.
	confirmed := func(f *fleet, host int) lavengine.LoadReport {
		e, ok := f.tables[host].Snapshot().Find(name)
		lavassert.True(f.t, "endpoint is known", ok)
		report, err := f.tables[host].Confirm(f.t.Context(), e)
		lavassert.NoError(f.t, err)
		return report
	}
	t.Run("what turned cold a second ago is known to be", func(t *testing.T) {
		for after := 0 * time.Millisecond; after < 3*time.Second; after += 70 * time.Millisecond {
			withFleet(t, 6, func(f *fleet) {
				f.kill(3)
				time.Sleep(after)
				f.set(name, cold("a"))
				time.Sleep(time.Second)
				for host := range 3 {
					lavassert.True(t, fmt.Sprintf("host %d knows, %v after the death", host, after), confirmed(f, host).Cold)
				}
			})
		}
	})
	t.Run("nobody is asked while the owner tells", func(t *testing.T) {
		withFleet(t, 6, func(f *fleet) {
			time.Sleep(10 * time.Second)
			f.takePolls()
			const calls, pause = 100, 100 * time.Millisecond
			for range calls {
				for host := range 6 {
					confirmed(f, host)
				}
				time.Sleep(pause)
			}
			lavassert.AtMost(t, "polls in 10 s of 10 engines", f.takePolls(), 10*20+10)
		})
	})
	t.Run("an endpoint that can't be asked is not confirmed", func(t *testing.T) {
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
