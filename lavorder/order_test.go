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

// bench is two hosts that plan and give orders to two engines: one that checks
// fencing numbers, and one that obeys any order.
type bench struct {
	t        *testing.T
	store    *lavfake.Store
	releases *lavrelease.Follower
	table    *lavendpoint.Table
	engines  map[string]*lavfake.Engine
	client   *http.Client
	ended    sync.WaitGroup
	// owner is the host that owns both engines, and planner the one that
	// should plan.
	owner, planner atomic.Int32
}

const (
	checks  = "engine-checks"
	ignores = "engine-ignores"
)

// loadTime is how long an engine takes to load a model.
const loadTime = 3 * time.Second

type noList struct{}

func (noList) Hosts(context.Context) ([]lavendpoint.HostState, error) { return nil, nil }

// withBench runs body with two hosts; probe breaks the steps of the first.
func withBench(t *testing.T, probe lavstep.Probe, body func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, store: lavfake.NewStore(), engines: make(map[string]*lavfake.Engine)}
		network := lavfakenet.New(1, func(_, _ lavfakenet.Place) lavfakenet.Link {
			return lavfakenet.Link{Delay: time.Millisecond}
		})
		transport := &http.Transport{DialContext: network.Host(lavfakenet.Place{Host: "entry"}).DialContext}
		b.client = &http.Client{Transport: transport}
		state := &lavrelease.State{Version: 1, NoteID: "first"}
		state.Models = []lavrelease.Model{{Name: "caption", Replicas: 2, MemoryTokens: 100}}
		state.FailureDomains = []lavrelease.FailureDomain{{Name: "north"}}
		var servers []*http.Server
		for i, name := range []string{checks, ignores} {
			address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1))
			b.engines[name] = lavfake.NewEngine(lavfake.EngineSettings{
				MemoryTokens: 1000, PrefillRate: 1000, DecodeRate: 10, Step: 10 * time.Millisecond,
				LoadTime: loadTime, ChecksFence: name == checks,
			})
			l, err := network.Host(lavfakenet.Place{Host: name}).Listen("tcp", address.String())
			lavassert.NoError(t, err)
			server := &http.Server{Handler: b.engines[name].Handler()}
			go func() { _ = server.Serve(l) }()
			servers = append(servers, server)
			state.Hosts = append(state.Hosts, lavrelease.Host{Name: "rack-" + name, FailureDomain: "north"})
			state.Endpoints = append(state.Endpoints, lavrelease.Endpoint{Name: name, Host: "rack-" + name, Addr: address, IgnoresFence: name == ignores})
		}
		b.releases = lavrelease.NewFollower(b.store)
		b.releases.Adopt(t.Context(), state)
		b.table = lavendpoint.New(b.releases, noList{}, b.engine)
		ctx, cancel := context.WithCancel(t.Context())
		b.ended.Go(func() { _ = b.table.Serve(ctx) })
		for i := range int32(2) {
			own := ctx
			if i == 0 && probe != nil {
				own = lavstep.WithProbe(ctx, probe)
			}
			b.startHost(own, i)
		}
		defer func() {
			cancel()
			b.ended.Wait()
			transport.CloseIdleConnections()
			for _, s := range servers {
				_ = s.Close()
			}
		}()
		body(b)
	})
}

func (b *bench) engine(e *lavendpoint.Endpoint) lavengine.Engine {
	return lavengine.NewHTTP(b.client, "http://"+e.Addr.String())
}

func (b *bench) startHost(ctx context.Context, i int32) {
	planner := lavorder.NewPlanner(lavorder.PlannerConfig{
		Store: b.store, Endpoints: b.table, Releases: b.releases, Holder: fmt.Sprint("host-", i), MaxLoading: 2,
		Candidate: func() bool { return b.planner.Load() == i },
	})
	executor := lavorder.NewExecutor(lavorder.ExecutorConfig{
		Store: b.store, Endpoints: b.table, Releases: b.releases, Engine: b.engine, Scope: tally.NoopScope,
		Owns: func(string) bool { return b.owner.Load() == i },
	})
	b.ended.Go(func() { _ = planner.Serve(ctx) })
	b.ended.Go(func() { _ = executor.Serve(ctx) })
}

// need puts a release in force that needs one more model on both engines.
func (b *bench) need(model string) {
	n := lavrelease.Note{ID: model, Add: lavrelease.Items{Models: []lavrelease.Model{{Name: model, Replicas: 2, MemoryTokens: 100}}}}
	state, err := lavrelease.Apply(b.releases.State(), &n)
	lavassert.NoError(b.t, err)
	b.releases.Adopt(b.t.Context(), state)
}

func (b *bench) holds(endpoint string, models ...string) bool {
	e, ok := b.table.Snapshot().Find(endpoint)
	return ok && slices.Equal(e.Report.Models, models)
}

// awaitModels returns how long it takes until an engine holds just these.
func (b *bench) awaitModels(endpoint string, models ...string) time.Duration {
	b.t.Helper()
	began := time.Now()
	for time.Since(began) < 3*time.Minute {
		if b.holds(endpoint, models...) {
			return time.Since(began)
		}
		time.Sleep(100 * time.Millisecond)
	}
	e, _ := b.table.Snapshot().Find(endpoint)
	b.t.Fatalf("%s holds %v, not %v", endpoint, e.Report.Models, models)
	return 0
}

func TestOrders(t *testing.T) {
	t.Run("engines get what they lack, each order as often as it should be given", func(t *testing.T) {
		withBench(t, nil, func(b *bench) {
			t := b.t
			lavassert.AtMost(t, "time of the engine that checks", b.awaitModels(checks, "caption"), 15*time.Second)
			lavassert.AtLeast(t, "time of the engine that doesn't", b.awaitModels(ignores, "caption"), 5*time.Second)
			b.need("review")
			b.awaitModels(checks, "caption", "review")
			b.awaitModels(ignores, "caption", "review")
			time.Sleep(time.Minute)
			for name, e := range b.engines {
				lavassert.Equal(t, "orders of "+name, e.Counts().Orders, 2)
				lavassert.Equal(t, "old orders of "+name, e.Counts().FenceRefused+e.Counts().FenceViolations, 0)
			}
		})
	})
	t.Run("an engine that restarts empty is filled again", func(t *testing.T) {
		withBench(t, nil, func(b *bench) {
			t := b.t
			b.awaitModels(checks, "caption")
			e, _ := b.table.Snapshot().Find(checks)
			_, err := b.engine(e).Order(t.Context(), lavengine.Order{Fence: 1 << 40})
			lavassert.NoError(t, err)
			b.awaitModels(checks)
			b.engines[checks].Restart()
			b.awaitModels(checks, "caption")
		})
	})
	t.Run("two owners who both believe", func(t *testing.T) {
		var paused atomic.Int32
		pauseOrder := func(_ context.Context, step lavstep.Step, _ string) error {
			if step == lavstep.PlanOrder && paused.Load() > 0 {
				paused.Add(-1)
				time.Sleep(2 * time.Minute)
			}
			return nil
		}
		withBench(t, pauseOrder, func(b *bench) {
			t := b.t
			b.awaitModels(checks, "caption")
			b.awaitModels(ignores, "caption")
			// The first host is paused as it is about to order "review" alone
			// beside "caption"; the second goes on with a later release.
			paused.Store(2)
			b.need("review")
			time.Sleep(10 * time.Second)
			b.owner.Store(1)
			b.planner.Store(1)
			b.need("zoning")
			b.awaitModels(checks, "caption", "review", "zoning")
			b.awaitModels(ignores, "caption", "review", "zoning")
			time.Sleep(80 * time.Second)
			lavassert.Equal(t, "old orders before the paused host wakes", b.engines[ignores].Counts().FenceViolations, 0)
			lavassert.Eventually(t, "the paused orders arrive", func() bool {
				return b.engines[checks].Counts().FenceRefused == 1 && b.engines[ignores].Counts().FenceViolations == 1
			})
			time.Sleep(time.Second)
			lavassert.True(t, "the engine that checks is as planned", b.holds(checks, "caption", "review", "zoning"))
			lavassert.True(t, "the other has obeyed the old order", !b.holds(ignores, "caption", "review", "zoning"))
			lavassert.AtMost(t, "time to repair", b.awaitModels(ignores, "caption", "review", "zoning"), 10*time.Second)
		})
	})
	t.Run("two planners who both believe", func(t *testing.T) {
		var paused atomic.Bool
		pausePlan := func(_ context.Context, step lavstep.Step, _ string) error {
			if step == lavstep.PlanWrite && paused.Swap(false) {
				time.Sleep(3 * time.Minute)
			}
			return nil
		}
		withBench(t, pausePlan, func(b *bench) {
			t := b.t
			b.awaitModels(checks, "caption")
			paused.Store(true)
			b.need("review")
			time.Sleep(4 * time.Second)
			b.planner.Store(1)
			time.Sleep(lavorder.LeaseTTL + 10*time.Second)
			b.awaitModels(checks, "caption", "review")
			b.awaitModels(ignores, "caption", "review")
			time.Sleep(5 * time.Second)
			before, err := b.store.Get(t.Context(), "plan")
			lavassert.NoError(t, err)
			time.Sleep(3 * time.Minute)
			after, err := b.store.Get(t.Context(), "plan")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "the plan after the paused planner woke", string(after.Value), string(before.Value))
		})
	})
	t.Run("while the store is down no order goes to an engine that obeys any", func(t *testing.T) {
		withBench(t, nil, func(b *bench) {
			t := b.t
			// The plan is known and the engine that checks has its order; the
			// other's is due in the middle of the outage.
			b.awaitModels(checks, "caption")
			lavassert.Equal(t, "orders before the outage", b.engines[ignores].Counts().Orders, 0)
			b.store.SetFaults(lavfake.StoreFaults{Down: true})
			time.Sleep(time.Minute)
			lavassert.Equal(t, "orders of the engine that obeys any", b.engines[ignores].Counts().Orders, 0)
			b.store.SetFaults(lavfake.StoreFaults{})
			b.awaitModels(ignores, "caption")
		})
	})
}
