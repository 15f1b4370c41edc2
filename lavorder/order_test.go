package lavorder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavorder"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/uber-go/tally/v4"
)

// testFleet has two hosts, each with a planner and an executor, and two engines:
// one checks fencing tokens, the other ignores them.
type testFleet struct {
	t        *testing.T
	store    *lavfake.Store
	releases *lavrelease.Follower
	table    *lavendpoint.Table
	engines  map[string]*lavfake.Engine
	client   *http.Client
	ended    sync.WaitGroup
	// owner is the index of the host that owns both engines, and planner the index
	// of the host that should be the planner.
	owner, planner atomic.Int32
}

const (
	checkingEngine = "engine-checks"
	ignoringEngine = "engine-ignores"
)

// loadTime is the time that an engine takes to load a model.
const loadTime = 3 * time.Second

type emptyHostList struct{}

func (emptyHostList) Hosts(context.Context) ([]lavendpoint.HostState, error) { return nil, nil }

// withFleet runs body with two hosts. The probe injects faults into the steps of
// the first host.
func withFleet(t *testing.T, probe lavstep.FaultInjector, body func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, store: lavfake.NewStore(), engines: make(map[string]*lavfake.Engine)}
		network := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
			return lavfakenet.Link{Delay: time.Millisecond}
		})
		transport := &http.Transport{DialContext: network.Host(lavfakenet.HostInfo{Host: "entry"}).DialContext}
		f.client = &http.Client{Transport: transport}
		state := &lavrelease.State{Version: 1, NoteID: "first"}
		state.Models = []lavrelease.Model{{Name: "caption", Replicas: 2, MemoryTokens: 100}}
		state.FailureDomains = []lavrelease.FailureDomain{{Name: "north"}}
		var servers []*http.Server
		for i, name := range []string{checkingEngine, ignoringEngine} {
			address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1))
			f.engines[name] = lavfake.NewEngine(lavfake.EngineSettings{
				MemoryTokens: 1000, PrefillRate: 1000, DecodeRate: 10, Step: 10 * time.Millisecond,
				LoadTime: loadTime, ChecksFence: name == checkingEngine,
			})
			l, err := network.Host(lavfakenet.HostInfo{Host: name}).Listen("tcp", address.String())
			lavassert.NoError(t, err)
			server := &http.Server{Handler: f.engines[name].Handler()}
			go func() { _ = server.Serve(l) }()
			servers = append(servers, server)
			state.Hosts = append(state.Hosts, lavrelease.Host{Name: "rack-" + name, FailureDomain: "north"})
			state.Endpoints = append(state.Endpoints, lavrelease.Endpoint{Name: name, Host: "rack-" + name, Addr: address, IgnoresFence: name == ignoringEngine})
		}
		f.releases = lavrelease.NewFollower(f.store)
		f.releases.Adopt(t.Context(), state)
		f.table = lavendpoint.New(f.releases, emptyHostList{}, f.engine)
		ctx, cancel := context.WithCancel(t.Context())
		f.ended.Go(func() { _ = f.table.Serve(ctx) })
		for i := range int32(2) {
			hostCtx := ctx
			if i == 0 && probe != nil {
				hostCtx = lavstep.WithFaultInjector(ctx, probe)
			}
			f.startHost(hostCtx, i)
		}
		defer func() {
			cancel()
			f.ended.Wait()
			transport.CloseIdleConnections()
			for _, s := range servers {
				_ = s.Close()
			}
		}()
		body(f)
	})
}

func (f *testFleet) engine(e *lavendpoint.Endpoint) lavengine.Engine {
	return lavengine.NewHTTP(f.client, "http://"+e.Addr.String())
}

func (f *testFleet) startHost(ctx context.Context, i int32) {
	planner := lavorder.NewPlanner(lavorder.PlannerConfig{
		Store: f.store, Endpoints: f.table, Releases: f.releases, Holder: fmt.Sprint("host-", i), MaxLoading: 2,
		Candidate: func() bool { return f.planner.Load() == i },
	})
	executor := lavorder.NewExecutor(lavorder.ExecutorConfig{
		Store: f.store, Endpoints: f.table, Releases: f.releases, Engine: f.engine, Scope: tally.NoopScope,
		Owns: func(string) bool { return f.owner.Load() == i },
	})
	f.ended.Go(func() { _ = planner.Serve(ctx) })
	f.ended.Go(func() { _ = executor.Serve(ctx) })
}

// requireModel puts a release in force that requires one more model on both
// engines.
func (f *testFleet) requireModel(model string) {
	n := lavrelease.Note{ID: model, Add: lavrelease.Items{Models: []lavrelease.Model{{Name: model, Replicas: 2, MemoryTokens: 100}}}}
	state, err := lavrelease.Apply(f.releases.State(), &n)
	lavassert.NoError(f.t, err)
	f.releases.Adopt(f.t.Context(), state)
}

func (f *testFleet) holdsModels(endpoint string, models ...string) bool {
	e, ok := f.table.Snapshot().Find(endpoint)
	return ok && slices.Equal(e.Report.Models, models)
}

// awaitModels waits until the engine holds exactly the given models, and returns
// the time that this took.
func (f *testFleet) awaitModels(endpoint string, models ...string) time.Duration {
	f.t.Helper()
	began := time.Now()
	for time.Since(began) < 3*time.Minute {
		if f.holdsModels(endpoint, models...) {
			return time.Since(began)
		}
		time.Sleep(100 * time.Millisecond)
	}
	e, _ := f.table.Snapshot().Find(endpoint)
	f.t.Fatalf("%s holds models %v, want %v", endpoint, e.Report.Models, models)
	return 0
}

func TestOrders(t *testing.T) {
	t.Run("engines load missing models, and each order is sent once", func(t *testing.T) {
		withFleet(t, nil, func(f *testFleet) {
			t := f.t
			lavassert.AtMost(t, "time until the checking engine has the model", f.awaitModels(checkingEngine, "caption"), 15*time.Second)
			lavassert.AtLeast(t, "time until the ignoring engine has the model", f.awaitModels(ignoringEngine, "caption"), 5*time.Second)
			f.requireModel("review")
			f.awaitModels(checkingEngine, "caption", "review")
			f.awaitModels(ignoringEngine, "caption", "review")
			time.Sleep(time.Minute)
			for name, e := range f.engines {
				lavassert.Equal(t, "orders of "+name, e.Counts().Orders, 2)
				lavassert.Equal(t, "outdated orders of "+name, e.Counts().FenceRefused+e.Counts().FenceViolations, 0)
			}
		})
	})
	t.Run("an engine that restarts without models loads them again", func(t *testing.T) {
		withFleet(t, nil, func(f *testFleet) {
			t := f.t
			f.awaitModels(checkingEngine, "caption")
			e, _ := f.table.Snapshot().Find(checkingEngine)
			_, err := f.engine(e).Order(t.Context(), lavengine.Order{Fence: 1 << 40})
			lavassert.NoError(t, err)
			f.awaitModels(checkingEngine)
			f.engines[checkingEngine].Restart()
			f.awaitModels(checkingEngine, "caption")
		})
	})
	t.Run("a paused owner sends orders after another owner has taken over", func(t *testing.T) {
		var paused atomic.Int32
		pauseOrder := func(_ context.Context, step lavstep.Step, _ string) error {
			if step == lavstep.PlanOrder && paused.Load() > 0 {
				paused.Add(-1)
				time.Sleep(2 * time.Minute)
			}
			return nil
		}
		withFleet(t, pauseOrder, func(f *testFleet) {
			t := f.t
			f.awaitModels(checkingEngine, "caption")
			f.awaitModels(ignoringEngine, "caption")
			// The first host is paused just before it sends the order for "caption"
			// and "review". The second host takes over with a later release.
			paused.Store(2)
			f.requireModel("review")
			time.Sleep(10 * time.Second)
			f.owner.Store(1)
			f.planner.Store(1)
			f.requireModel("zoning")
			f.awaitModels(checkingEngine, "caption", "review", "zoning")
			f.awaitModels(ignoringEngine, "caption", "review", "zoning")
			time.Sleep(80 * time.Second)
			lavassert.Equal(t, "outdated orders before the paused host resumes", f.engines[ignoringEngine].Counts().FenceViolations, 0)
			lavassert.Eventually(t, "the paused orders arrive at the engines", func() bool {
				return f.engines[checkingEngine].Counts().FenceRefused == 1 && f.engines[ignoringEngine].Counts().FenceViolations == 1
			})
			time.Sleep(time.Second)
			lavassert.True(t, "the checking engine holds the planned models", f.holdsModels(checkingEngine, "caption", "review", "zoning"))
			lavassert.True(t, "the ignoring engine has obeyed the outdated order", !f.holdsModels(ignoringEngine, "caption", "review", "zoning"))
			lavassert.AtMost(t, "time until the planned models are restored", f.awaitModels(ignoringEngine, "caption", "review", "zoning"), 10*time.Second)
		})
	})
	t.Run("a paused planner writes after another planner has taken over", func(t *testing.T) {
		var paused atomic.Bool
		pausePlan := func(_ context.Context, step lavstep.Step, _ string) error {
			if step == lavstep.PlanWrite && paused.Swap(false) {
				time.Sleep(3 * time.Minute)
			}
			return nil
		}
		withFleet(t, pausePlan, func(f *testFleet) {
			t := f.t
			f.awaitModels(checkingEngine, "caption")
			paused.Store(true)
			f.requireModel("review")
			time.Sleep(4 * time.Second)
			f.planner.Store(1)
			time.Sleep(lavorder.LeaseTTL + 10*time.Second)
			f.awaitModels(checkingEngine, "caption", "review")
			f.awaitModels(ignoringEngine, "caption", "review")
			time.Sleep(5 * time.Second)
			before, err := f.store.Get(t.Context(), "plan")
			lavassert.NoError(t, err)
			time.Sleep(3 * time.Minute)
			after, err := f.store.Get(t.Context(), "plan")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "the plan after the paused planner has resumed", string(after.Value), string(before.Value))
		})
	})
	t.Run("while the store is down no order is sent to an engine that ignores fencing tokens", func(t *testing.T) {
		withFleet(t, nil, func(f *testFleet) {
			t := f.t
			// The plan has been written and the checking engine has received its
			// order. The order of the ignoring engine becomes due during the
			// outage.
			f.awaitModels(checkingEngine, "caption")
			lavassert.Equal(t, "orders to the ignoring engine before the outage", f.engines[ignoringEngine].Counts().Orders, 0)
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			time.Sleep(time.Minute)
			lavassert.Equal(t, "orders to the ignoring engine during the outage", f.engines[ignoringEngine].Counts().Orders, 0)
			f.store.SetFaults(lavfake.StoreFaults{})
			f.awaitModels(ignoringEngine, "caption")
		})
	})
}
