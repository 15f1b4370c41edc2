package lavretry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavretry"

	"github.com/cockroachdb/errors"
)

// mesh joins the suspects of some hosts.
type mesh struct {
	hosts []*lavretry.Suspects
	// keepers says which two hosts keep every fingerprint when the mesh is that
	// old.
	keepers func(age time.Duration) [2]int
	began   time.Time
	// cut keeps everyone from the keepers; deaf loses what is spread.
	cut, deaf bool
	// slow is how much longer a keeper's answer takes.
	slow time.Duration
}

// firstTwo are keepers that stay.
func firstTwo(time.Duration) [2]int { return [2]int{0, 1} }

// peer is a host's view of the mesh.
type peer struct {
	self int
	mesh *mesh
}

func (p *peer) Replicas(uint64) lavretry.Replicas {
	var keepers lavretry.Replicas
	for _, i := range p.mesh.keepers(time.Since(p.mesh.began)) {
		if i == p.self {
			keepers.Self = true
		} else {
			keepers.Peers = append(keepers.Peers, fmt.Sprint(i))
		}
	}
	return keepers
}

// host returns the suspects of the host of that name.
func (m *mesh) host(name string) *lavretry.Suspects {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic(err)
	}
	return m.hosts[i]
}

func (p *peer) Begin(_ context.Context, peer string, r lavretry.Run) (lavretry.Verdict, error) {
	if p.mesh.cut {
		return lavretry.Verdict{}, errors.New("link is down")
	}
	verdict := p.mesh.host(peer).BeginLocal(r)
	time.Sleep(10*time.Millisecond + p.mesh.slow)
	return verdict, nil
}

func (p *peer) End(peer string, r lavretry.Run, finished bool) {
	if !p.mesh.cut {
		p.mesh.host(peer).EndLocal(r, finished)
	}
}

func (p *peer) ReportDeath(peer string, r lavretry.Run, d lavretry.Death) {
	if !p.mesh.cut {
		p.mesh.host(peer).RecordReportedDeath(d)
		p.mesh.host(peer).EndLocal(r, false)
	}
}

func (p *peer) BroadcastDeath(d lavretry.Death) {
	for i, h := range p.mesh.hosts {
		if i != p.self && !p.mesh.deaf && !p.mesh.cut {
			h.RecordReportedDeath(d)
		}
	}
}

func (p *peer) SendRecords(peer string, known []lavretry.FingerprintRecord) {
	if !p.mesh.cut {
		p.mesh.host(peer).Merge(known)
	}
}

// newMesh returns the mesh of some hosts.
func newMesh(m mesh, count int) *mesh {
	m.began = time.Now()
	store := lavfake.NewStore()
	for i := range count {
		m.hosts = append(m.hosts, lavretry.NewSuspects(store, &peer{self: i, mesh: &m}))
	}
	return &m
}

// fleet counts the deaths of endpoints.
type fleet struct {
	mu     sync.Mutex
	lives  map[string]int
	deaths int
	ended  int
}

// run runs a request for that long and reports how it ended to its host.
func (f *fleet) run(ctx context.Context, host *lavretry.Suspects, r lavretry.Run, takes time.Duration, kills bool) {
	f.mu.Lock()
	life := f.lives[r.Endpoint]
	f.mu.Unlock()
	time.Sleep(takes)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended++
	if !kills {
		host.End(r, true)
		return
	}
	if f.lives[r.Endpoint] == life {
		f.lives[r.Endpoint]++
		f.deaths++
	}
	host.RecordDeath(ctx, r, lavretry.Death{
		Fingerprint: 1, Endpoint: r.Endpoint, At: time.Now(),
		Incarnation: lavengine.Incarnation(fmt.Sprint(r.Endpoint, life)),
	})
}

const (
	hosts   = 6
	resends = 20
)

// assault sends one request again and again at every host at the same time.
func assault(t *testing.T, of mesh, seed uint64, kills bool) *fleet {
	t.Helper()
	m := newMesh(of, hosts)
	f := &fleet{lives: make(map[string]int)}
	var callers sync.WaitGroup
	for i := range 3 * hosts {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		draw := func(below int) time.Duration { return time.Duration(random.IntN(below)) * time.Millisecond }
		callers.Go(func() {
			for try := range resends {
				r := lavretry.Run{
					ID: fmt.Sprint(i, "-", try), Fingerprint: 1,
					Endpoint: fmt.Sprint("e", random.IntN(16)), Until: time.Now().Add(time.Minute),
				}
				action := m.hosts[i%hosts].Begin(t.Context(), r).Action
				if action == lavretry.ActionGo || action == lavretry.ActionAlone {
					f.run(t.Context(), m.hosts[i%hosts], r, draw(200), kills)
				}
				time.Sleep(draw(300))
			}
		})
	}
	callers.Wait()
	return f
}

func TestDeathsOfTheFleetAreBounded(t *testing.T) {
	bounds := []struct {
		name  string
		mesh  mesh
		bound int
	}{
		{"all is well", mesh{keepers: firstTwo}, lavretry.MaxDeaths},
		{"deaths reach the keepers only", mesh{keepers: firstTwo, deaf: true}, lavretry.MaxDeaths},
		{"one keeper after the other is another host", mesh{keepers: byTurns}, lavretry.MaxDeaths},
		{"no host reaches another", mesh{keepers: firstTwo, cut: true}, hosts * lavretry.MaxDeaths},
	}
	for _, c := range bounds {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(8) {
				synctest.Test(t, func(t *testing.T) {
					f := assault(t, c.mesh, seed, true)
					t.Logf("seed %d: %d runs, %d deaths", seed, f.ended, f.deaths)
					lavassert.AtMost(t, "deaths", f.deaths, c.bound)
					lavassert.AtLeast(t, "deaths", f.deaths, 1)
				})
			}
		})
	}
}

// byTurns are keepers of which one is replaced each 250 ms.
func byTurns(age time.Duration) [2]int {
	turn := int(age / (250 * time.Millisecond))
	return [2]int{turn % hosts, (turn + 1) % hosts}
}

// TestNewKeeper guards against a host that has just become a keeper, and knows
// nothing yet, letting a prompt run that has killed as many engines as it may.
func TestNewKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := [2]int{0, 1}
		m := newMesh(mesh{keepers: func(time.Duration) [2]int { return keepers }, deaf: true}, 4)
		killed := func(id, endpoint string) {
			r := run(id, endpoint)
			r.Until = time.Now().Add(time.Minute)
			lavassert.True(t, "may run", m.hosts[2].Begin(t.Context(), r).Action < lavretry.ActionWait)
			m.hosts[2].RecordDeath(t.Context(), r, death(endpoint))
		}
		killed("1", "a")
		killed("2", "b")
		keepers = [2]int{3, 0}
		for i, h := range m.hosts {
			r := run(fmt.Sprint("later at ", i), "c")
			lavassert.Equal(t, "action at "+fmt.Sprint(i), h.Begin(t.Context(), r).Action, lavretry.ActionRefuse)
		}
	})
}

// TestNewKeeperAndRunningPrompts is the same while the two still run, so that no
// death could have been told.
func TestNewKeeperAndRunningPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := [2]int{0, 1}
		m := newMesh(mesh{keepers: func(time.Duration) [2]int { return keepers }}, 4)
		at := func(host int, id, endpoint string, want lavretry.Action) lavretry.Run {
			t.Helper()
			r := run(id, endpoint)
			r.Until = time.Now().Add(time.Minute)
			lavassert.Equal(t, "action of "+id, m.hosts[host].Begin(t.Context(), r).Action, want)
			return r
		}
		first := at(2, "1", "a", lavretry.ActionGo)
		at(2, "2", "b", lavretry.ActionGo)
		keepers = [2]int{3, 0}
		at(3, "3", "c", lavretry.ActionWait)
		at(1, "4", "c", lavretry.ActionWait)
		// The keeper of before hears of the end too, and so may be one again.
		m.hosts[2].End(first, false)
		keepers = [2]int{1, 3}
		at(1, "5", "c", lavretry.ActionGo)
	})
}

// TestLeavingKeeper guards against the last host that knows of a prompt's runs
// leaving with what it knows, as the other keeper can't be reached.
func TestLeavingKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keepers := [2]int{0, 1}
		m := newMesh(mesh{keepers: func(time.Duration) [2]int { return keepers }}, 4)
		for i, endpoint := range []string{"a", "b"} {
			r := run(fmt.Sprint(i), endpoint)
			r.Until = time.Now().Add(time.Minute)
			lavassert.Equal(t, "action", m.hosts[0].Begin(t.Context(), r).Action, lavretry.ActionGo)
		}
		// Host 0 dies, host 1 leaves, and 3 and 2 keep the fingerprint.
		keepers = [2]int{3, 2}
		m.hosts[1].HandOver(func(uint64) []string { return []string{"2", "3"} })
		lavassert.Equal(t, "action", m.hosts[2].Begin(t.Context(), run("later", "c")).Action, lavretry.ActionWait)
		lavassert.Equal(t, "action", m.hosts[3].Begin(t.Context(), run("later", "c")).Action, lavretry.ActionWait)
	})
}

// TestSlowKeepers guards against a host letting a prompt run before any keeper has
// answered, and against it forgetting that the prompt is in quarantine.
func TestSlowKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(mesh{keepers: firstTwo, slow: 300 * time.Millisecond}, 3)
		for _, endpoint := range []string{"a", "b"} {
			m.hosts[0].RecordReportedDeath(death(endpoint))
			m.hosts[1].RecordReportedDeath(death(endpoint))
		}
		lavassert.Equal(t, "action", m.hosts[2].Begin(t.Context(), run("1", "c")).Action, lavretry.ActionRefuse)
		m.cut = true
		lavassert.Equal(t, "action while cut off", m.hosts[2].Begin(t.Context(), run("2", "c")).Action, lavretry.ActionRefuse)
	})
}

// TestCutOffHost guards against a host that reaches no keeper letting a suspect
// run: it knows of one death and may have missed another.
func TestCutOffHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(mesh{keepers: firstTwo, cut: true}, 3)
		m.hosts[2].RecordReportedDeath(death("a"))
		lavassert.Equal(t, "a suspect", m.hosts[2].Begin(t.Context(), run("1", "b")).Action, lavretry.ActionWait)
		innocent := run("2", "b")
		innocent.Fingerprint = 2
		lavassert.Equal(t, "one that is none", m.hosts[2].Begin(t.Context(), innocent).Action, lavretry.ActionGo)
	})
}

func TestInnocentsClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := assault(t, mesh{keepers: firstTwo}, 1, false)
		// What waits for the first good end is a few tries of the first ones.
		lavassert.AtLeast(t, "answers", f.ended, 3*hosts*resends*9/10)
	})
}

func TestStoreTellsHostsThatStartLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := lavfake.NewStore()
		serve := func(s *lavretry.Suspects, takes time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), takes)
			defer cancel()
			lavassert.ErrorIs(t, s.Serve(ctx), context.DeadlineExceeded)
		}
		first := lavretry.NewSuspects(store, lavretry.NoPeers{})
		store.SetFaults(lavfake.StoreFaults{Down: true})
		for _, endpoint := range []string{"a", "b"} {
			r := run(endpoint, endpoint)
			first.RecordDeath(t.Context(), r, lavretry.Death{Fingerprint: 1, Endpoint: endpoint, Incarnation: "i", At: time.Now()})
		}
		serve(first, time.Second)
		store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
		serve(first, time.Second)
		store.SetFaults(lavfake.StoreFaults{})
		serve(first, time.Second)
		later := lavretry.NewSuspects(store, lavretry.NoPeers{})
		serve(later, time.Second)
		lavassert.Equal(t, "action", later.Check(1).Action, lavretry.ActionRefuse)
	})
}
