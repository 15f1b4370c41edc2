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
	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"

	"github.com/cockroachdb/errors"
)

// mesh connects the Suspects of several hosts.
type mesh struct {
	hosts []*lavretry.Suspects
	// replicas returns the two hosts that are the replicas of every fingerprint at
	// a given age of the mesh.
	replicas func(age time.Duration) [2]int
	began    time.Time
	// partitioned drops all messages. dropsBroadcasts drops only broadcast deaths.
	partitioned, dropsBroadcasts bool
	// answerDelay is added to the time that a replica takes to answer Begin.
	answerDelay time.Duration
}

// fixedReplicas returns the same two replicas at any age.
func fixedReplicas(time.Duration) [2]int { return [2]int{0, 1} }

// peer implements lavretry.Peers for one host of a mesh.
type peer struct {
	self int
	mesh *mesh
}

func (p *peer) Replicas(uint64) lavretry.Replicas {
	var replicas lavretry.Replicas
	for _, i := range p.mesh.replicas(time.Since(p.mesh.began)) {
		if i == p.self {
			replicas.Self = true
		} else {
			replicas.Peers = append(replicas.Peers, fmt.Sprint(i))
		}
	}
	return replicas
}

// host returns the Suspects of the host with a given name, which is its index.
func (m *mesh) host(name string) *lavretry.Suspects {
	i, err := strconv.Atoi(name)
	if err != nil {
		panic(err)
	}
	return m.hosts[i]
}

func (p *peer) Begin(_ context.Context, peer string, r lavretry.Run) (lavretry.Verdict, error) {
	if p.mesh.partitioned {
		return lavretry.Verdict{}, errors.New("link is down")
	}
	verdict := p.mesh.host(peer).BeginLocal(r)
	time.Sleep(10*time.Millisecond + p.mesh.answerDelay)
	return verdict, nil
}

func (p *peer) End(peer string, r lavretry.Run, finished bool) {
	if !p.mesh.partitioned {
		p.mesh.host(peer).EndLocal(r, finished)
	}
}

func (p *peer) ReportDeath(peer string, r lavretry.Run, d lavretry.Death) {
	if !p.mesh.partitioned {
		p.mesh.host(peer).RecordReportedDeath(d)
		p.mesh.host(peer).EndLocal(r, false)
	}
}

func (p *peer) BroadcastDeath(d lavretry.Death) {
	for i, h := range p.mesh.hosts {
		if i != p.self && !p.mesh.dropsBroadcasts && !p.mesh.partitioned {
			h.RecordReportedDeath(d)
		}
	}
}

func (p *peer) BroadcastCompletion(traits []lavcrash.Trait) {
	for i, h := range p.mesh.hosts {
		if i != p.self && !p.mesh.dropsBroadcasts && !p.mesh.partitioned {
			h.RecordReportedCompletion(traits)
		}
	}
}

func (p *peer) SendRecords(peer string, records []lavretry.FingerprintRecord) {
	if !p.mesh.partitioned {
		p.mesh.host(peer).Merge(records)
	}
}

// newMesh returns a copy of m with a number of hosts that share one store.
func newMesh(m mesh, count int) *mesh {
	m.began = time.Now()
	store := lavfake.NewStore()
	for i := range count {
		m.hosts = append(m.hosts, lavretry.NewSuspects(store, &peer{self: i, mesh: &m}))
	}
	return &m
}

// fleet simulates endpoints and counts their deaths and the ended runs.
type fleet struct {
	mu           sync.Mutex
	incarnations map[string]int
	deaths       int
	ended        int
}

// execute runs a request at an endpoint for runTime and reports its end to host.
// If kills is true the endpoint dies of it.
func (f *fleet) execute(ctx context.Context, host *lavretry.Suspects, r lavretry.Run, runTime time.Duration, kills bool) {
	f.mu.Lock()
	incarnation := f.incarnations[r.Endpoint]
	f.mu.Unlock()
	time.Sleep(runTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended++
	if !kills {
		host.End(r, true)
		return
	}
	if f.incarnations[r.Endpoint] == incarnation {
		f.incarnations[r.Endpoint]++
		f.deaths++
	}
	host.RecordDeath(ctx, r, lavretry.Death{
		Fingerprint: 1, Endpoint: r.Endpoint, At: time.Now(),
		Incarnation: lavengine.Incarnation(fmt.Sprint(r.Endpoint, incarnation)),
	})
}

const (
	hosts             = 6
	attemptsPerCaller = 20
)

// resendToAllHosts simulates three callers for each host. Each caller sends the same
// request attemptsPerCaller times through its host to a random endpoint.
func resendToAllHosts(t *testing.T, template mesh, seed uint64, kills bool) *fleet {
	t.Helper()
	m := newMesh(template, hosts)
	f := &fleet{incarnations: make(map[string]int)}
	var callers sync.WaitGroup
	for i := range 3 * hosts {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		randomMillis := func(limit int) time.Duration { return time.Duration(random.IntN(limit)) * time.Millisecond }
		callers.Go(func() {
			for attempt := range attemptsPerCaller {
				r := lavretry.Run{
					ID: fmt.Sprint(i, "-", attempt), Fingerprint: 1,
					Endpoint: fmt.Sprint("e", random.IntN(16)), Until: time.Now().Add(time.Minute),
				}
				action := m.hosts[i%hosts].Begin(t.Context(), r).Action
				if action == lavretry.ActionGo || action == lavretry.ActionAlone {
					f.execute(t.Context(), m.hosts[i%hosts], r, randomMillis(200), kills)
				}
				time.Sleep(randomMillis(300))
			}
		})
	}
	callers.Wait()
	return f
}

// TestFleetDeathsAreBounded guards against a request that always kills its endpoint
// being run at more than MaxDeaths endpoints. A host that reaches no other
// host can only limit its own runs.
func TestFleetDeathsAreBounded(t *testing.T) {
	cases := []struct {
		name  string
		mesh  mesh
		bound int
	}{
		{"no faults", mesh{replicas: fixedReplicas}, lavretry.MaxDeaths},
		{"broadcasts are lost, so only replicas learn of deaths", mesh{replicas: fixedReplicas, dropsBroadcasts: true}, lavretry.MaxDeaths},
		{"one replica is replaced every 250 ms", mesh{replicas: rotatingReplicas}, lavretry.MaxDeaths},
		{"no host reaches any other", mesh{replicas: fixedReplicas, partitioned: true}, hosts * lavretry.MaxDeaths},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(8) {
				synctest.Test(t, func(t *testing.T) {
					f := resendToAllHosts(t, c.mesh, seed, true)
					t.Logf("seed %d: %d runs, %d deaths", seed, f.ended, f.deaths)
					lavassert.AtMost(t, "deaths", f.deaths, c.bound)
					lavassert.AtLeast(t, "deaths", f.deaths, 1)
				})
			}
		})
	}
}

// rotatingReplicas returns replicas of which one is replaced every 250 ms.
func rotatingReplicas(age time.Duration) [2]int {
	period := int(age / (250 * time.Millisecond))
	return [2]int{period % hosts, (period + 1) % hosts}
}

// TestNewReplica guards against a request in quarantine being run because one of
// the two replicas is new and has no record of its deaths.
func TestNewReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := [2]int{0, 1}
		m := newMesh(mesh{replicas: func(time.Duration) [2]int { return replicas }, dropsBroadcasts: true}, 4)
		runAndKill := func(id, endpoint string) {
			r := newRun(id, endpoint)
			r.Until = time.Now().Add(time.Minute)
			lavassert.True(t, "run may begin", m.hosts[2].Begin(t.Context(), r).Action < lavretry.ActionWait)
			m.hosts[2].RecordDeath(t.Context(), r, newDeath(endpoint))
		}
		runAndKill("1", "a")
		runAndKill("2", "b")
		replicas = [2]int{3, 0}
		for i, h := range m.hosts {
			r := newRun(fmt.Sprint("later at ", i), "c")
			lavassert.Equal(t, "action at "+fmt.Sprint(i), h.Begin(t.Context(), r).Action, lavretry.ActionRefuse)
		}
	})
}

// TestNewReplicaAndRunningRequests guards against a third run of a request being
// allowed while two still run, because a new replica has no record of them. No
// death has been reported at that time.
func TestNewReplicaAndRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := [2]int{0, 1}
		m := newMesh(mesh{replicas: func(time.Duration) [2]int { return replicas }}, 4)
		begin := func(host int, id, endpoint string, want lavretry.Action) lavretry.Run {
			t.Helper()
			r := newRun(id, endpoint)
			r.Until = time.Now().Add(time.Minute)
			lavassert.Equal(t, "action of "+id, m.hosts[host].Begin(t.Context(), r).Action, want)
			return r
		}
		first := begin(2, "1", "a", lavretry.ActionGo)
		begin(2, "2", "b", lavretry.ActionGo)
		replicas = [2]int{3, 0}
		begin(3, "3", "c", lavretry.ActionWait)
		begin(1, "4", "c", lavretry.ActionWait)
		// The former replica is also notified of the end, so that its record is
		// right if it becomes a replica again.
		m.hosts[2].End(first, false)
		replicas = [2]int{1, 3}
		begin(1, "5", "c", lavretry.ActionGo)
	})
}

// TestLeavingReplica guards against the record of a request's runs being lost when
// one replica dies and the other one leaves. The leaving one must hand it over.
func TestLeavingReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := [2]int{0, 1}
		m := newMesh(mesh{replicas: func(time.Duration) [2]int { return replicas }}, 4)
		for i, endpoint := range []string{"a", "b"} {
			r := newRun(fmt.Sprint(i), endpoint)
			r.Until = time.Now().Add(time.Minute)
			lavassert.Equal(t, "action", m.hosts[0].Begin(t.Context(), r).Action, lavretry.ActionGo)
		}
		// Host 0 dies, host 1 leaves, and hosts 3 and 2 become the replicas.
		replicas = [2]int{3, 2}
		m.hosts[1].HandOver(func(uint64) []string { return []string{"2", "3"} })
		lavassert.Equal(t, "action", m.hosts[2].Begin(t.Context(), newRun("later", "c")).Action, lavretry.ActionWait)
		lavassert.Equal(t, "action", m.hosts[3].Begin(t.Context(), newRun("later", "c")).Action, lavretry.ActionWait)
	})
}

// TestSlowReplicas guards against a host allowing a run before any replica has
// answered, and against it forgetting the quarantine once it reaches no replica.
func TestSlowReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(mesh{replicas: fixedReplicas, answerDelay: 300 * time.Millisecond}, 3)
		for _, endpoint := range []string{"a", "b"} {
			m.hosts[0].RecordReportedDeath(newDeath(endpoint))
			m.hosts[1].RecordReportedDeath(newDeath(endpoint))
		}
		lavassert.Equal(t, "action", m.hosts[2].Begin(t.Context(), newRun("1", "c")).Action, lavretry.ActionRefuse)
		m.partitioned = true
		lavassert.Equal(t, "action while partitioned", m.hosts[2].Begin(t.Context(), newRun("2", "c")).Action, lavretry.ActionRefuse)
	})
}

// TestIsolatedHost guards against a host that reaches no replica allowing a suspect
// to run. It knows of one death and may have missed another.
func TestIsolatedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(mesh{replicas: fixedReplicas, partitioned: true}, 3)
		m.hosts[2].RecordReportedDeath(newDeath("a"))
		lavassert.Equal(t, "action for a suspect", m.hosts[2].Begin(t.Context(), newRun("1", "b")).Action, lavretry.ActionWait)
		harmless := newRun("2", "b")
		harmless.Fingerprint = 2
		lavassert.Equal(t, "action for another request", m.hosts[2].Begin(t.Context(), harmless).Action, lavretry.ActionGo)
	})
}

// TestHarmlessRequestIsCleared guards against a request that kills no endpoint being
// held back after its first successful run.
func TestHarmlessRequestIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := resendToAllHosts(t, mesh{replicas: fixedReplicas}, 1, false)
		// Only attempts before the first successful run have to wait, so at least
		// 9 of 10 attempts run.
		lavassert.AtLeast(t, "ended runs", f.ended, 3*hosts*attemptsPerCaller*9/10)
	})
}

// TestStoreInformsHostsThatStartLater guards against deaths being lost while the
// store is down or its replies are lost.
func TestStoreInformsHostsThatStartLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := lavfake.NewStore()
		serve := func(s *lavretry.Suspects, serveTime time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), serveTime)
			defer cancel()
			lavassert.ErrorIs(t, s.Serve(ctx), context.DeadlineExceeded)
		}
		first := lavretry.NewSuspects(store, lavretry.NoPeers{})
		store.SetFaults(lavfake.StoreFaults{Down: true})
		for _, endpoint := range []string{"a", "b"} {
			r := newRun(endpoint, endpoint)
			first.RecordDeath(t.Context(), r, lavretry.Death{Fingerprint: 1, Endpoint: endpoint, Incarnation: "i", At: time.Now()})
		}
		serve(first, time.Second)
		store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
		serve(first, time.Second)
		store.SetFaults(lavfake.StoreFaults{})
		serve(first, time.Second)
		later := lavretry.NewSuspects(store, lavretry.NoPeers{})
		serve(later, time.Second)
		lavassert.Equal(t, "action", later.Check(&lavrequest.Request{Fingerprint: 1}).Action, lavretry.ActionRefuse)
	})
}

func TestSharedPrefix(t *testing.T) {
	const prompts, crashesUnstopped, lateArrivals = 30, 5, 3
	bad := func(n int) *lavrequest.Request {
		return &lavrequest.Request{Fingerprint: uint64(1000 + n), Model: "m", Prefixes: []lavrequest.PrefixHash{1, 2}}
	}
	sound := &lavrequest.Request{Fingerprint: 1, Model: "m", Prefixes: []lavrequest.PrefixHash{1, 3}}
	runOf := func(r *lavrequest.Request, n int) lavretry.Run {
		return lavretry.Run{
			ID: fmt.Sprint(r.Fingerprint, "-", n), Fingerprint: r.Fingerprint, Traits: lavretry.TraitsOf(r),
			Endpoint: fmt.Sprint("e", n), Until: time.Now().Add(time.Minute),
		}
	}
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(mesh{replicas: fixedReplicas}, hosts)
		died := 0
		for n := range prompts {
			time.Sleep(time.Second)
			host := m.hosts[n%hosts]
			done := runOf(sound, n)
			lavassert.Equal(t, "sound request with the shorter prefix", host.Begin(t.Context(), done).Action, lavretry.ActionGo)
			host.End(done, true)
			r := runOf(bad(n), n)
			if host.Begin(t.Context(), r).Action == lavretry.ActionRefuse {
				continue
			}
			died++
			host.RecordDeath(t.Context(), r, lavretry.Death{Fingerprint: r.Fingerprint, Endpoint: r.Endpoint, Incarnation: "1", At: time.Now()})
		}
		lavassert.AtMost(t, "endpoints that died", died, crashesUnstopped+lateArrivals)
		lavassert.Equal(t, "verdict on another request with the prefix", m.hosts[0].Check(bad(prompts)).Action, lavretry.ActionRefuse)
	})
}
