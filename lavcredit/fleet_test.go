package lavcredit_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Sizes of the fleet.
const (
	coldLimit      = 16_000
	warmLimit      = 200_000
	reportInterval = 250 * time.Millisecond
	reportDelay    = 500 * time.Millisecond
	engineName     = "engine-0"
)

// engine is a fake engine that counts the requests that it gets and how often it
// is overloaded while cold.
type engine struct {
	mu          sync.Mutex
	incarnation lavengine.Incarnation
	cold        bool
	running     int
	begun       int
	overloads   int
	reports     []lavengine.LoadReport
}

// begin starts a request that was sent to an incarnation. It refuses a request
// for any but the current one.
func (e *engine) begin(at lavengine.Incarnation, tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at != e.incarnation {
		return false
	}
	e.begun++
	e.running += tokens
	if e.cold && e.running > coldLimit {
		e.overloads++
	}
	return true
}

func (e *engine) end(at lavengine.Incarnation, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at == e.incarnation {
		e.running -= tokens
	}
}

// restart starts a new, cold incarnation. All running work is lost.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation += "'"
	e.cold, e.running, e.reports = true, 0, nil
}

// setCold makes the engine cold or warm without a restart.
func (e *engine) setCold(cold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = cold
}

// resetOverloads sets the count of overloads to zero.
func (e *engine) resetOverloads() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.overloads = 0
}

// report makes a load report and returns the newest one that is at least
// reportDelay old, or else the oldest one.
func (e *engine) report() lavengine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, lavengine.LoadReport{
		Incarnation: e.incarnation, Taken: time.Now(), Cold: e.cold, ColdLimit: coldLimit,
		MemoryTokens: warmLimit, RunningTokens: e.running, Models: []string{"m"},
	})
	for len(e.reports) > 1 && time.Since(e.reports[1].Taken) >= reportDelay {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

func (e *engine) counts() (begun, overloads int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun, e.overloads
}

// host is one entry host. It also implements the interfaces that its Exchange
// depends on: Endpoints, Members and Mesh.
type host struct {
	name     string
	fleet    *fleet
	exchange *lavcredit.Exchange
	handler  lavmesh.Handler
	view     atomic.Pointer[lavmember.View]
	snapshot atomic.Pointer[lavendpoint.Snapshot]
	store    *storeLink
	// isolated hosts send and receive no messages.
	isolated atomic.Bool
	stop     context.CancelFunc
	// workOutlivesHost makes requests run for 20 s longer at the engine, also after
	// the host has crashed.
	workOutlivesHost atomic.Bool
	services         sync.WaitGroup
}

func (h *host) View() *lavmember.View           { return h.view.Load() }
func (h *host) FullView() *lavmember.View       { return viewOf(h.fleet.names()...) }
func (h *host) Self() lavmember.Member          { return lavmember.Member{Incarnation: h.name} }
func (h *host) Snapshot() *lavendpoint.Snapshot { return h.snapshot.Load() }

func (h *host) Handle(_ lavmesh.Topic, handler lavmesh.Handler) { h.handler = handler }

var errLinkDown = errors.New("link is down")

// Call sends a message with random delays. The reply may be lost.
func (h *host) Call(ctx context.Context, peer string, _ lavmesh.Topic, in, out any) error {
	receiver := h.fleet.host(peer)
	if receiver == nil || receiver.isolated.Load() || h.isolated.Load() {
		<-ctx.Done()
		return errLinkDown
	}
	time.Sleep(h.fleet.delay())
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	answer, err := receiver.handler(h.fleet.ctx, h.name, body)
	if err != nil {
		return err
	}
	time.Sleep(h.fleet.delay())
	if ctx.Err() != nil || h.fleet.dropsReply() {
		<-ctx.Done()
		return errLinkDown
	}
	body, err = cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return lavmesh.Decode(body, out)
}

// storeLink is a host's connection to the store. While it is cut, no lease can be
// granted or renewed.
type storeLink struct {
	lavstore.Store
	cut atomic.Bool
}

func (g *storeLink) Renew(ctx context.Context, id lavstore.LeaseID) error {
	if g.cut.Load() {
		return lavstore.ErrUnavailable
	}
	return g.Store.Renew(ctx, id)
}

func (g *storeLink) Grant(ctx context.Context, ttl time.Duration) (lavstore.LeaseID, error) {
	if g.cut.Load() {
		return "", lavstore.ErrUnavailable
	}
	return g.Store.Grant(ctx, ttl)
}

// fleet is a set of hosts that send requests to one engine.
type fleet struct {
	ctx    context.Context
	store  *lavfake.Store
	engine *engine
	hosts  map[string]*host

	mu       sync.Mutex
	random   *rand.Rand
	lossRate float64
	// maxWorkTime is the longest time that a request runs at the engine.
	maxWorkTime time.Duration
}

func (f *fleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.IntN(12)+1) * time.Millisecond
}

func (f *fleet) dropsReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.lossRate
}

func (f *fleet) setLossRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = rate
}

func (f *fleet) randomInt(low, high int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return low + f.random.IntN(high-low)
}

// runFleet runs body in a synctest bubble while four hosts send requests to one
// engine.
func runFleet(t *testing.T, body func(t *testing.T, f *fleet)) {
	t.Helper()
	runPausingFleet(t, lavstep.None, body)
}

// pauseDuration is longer than a grant is valid.
const pauseDuration = 5 * time.Second

// runPausingFleet is runFleet with hosts that pause for pauseDuration with a
// probability of 1/10 each time they reach a step.
func runPausingFleet(t *testing.T, at lavstep.Step, body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{
			ctx:         ctx,
			store:       lavfake.NewStore(),
			engine:      &engine{incarnation: "a", cold: true},
			hosts:       make(map[string]*host),
			random:      rand.New(rand.NewPCG(7, 7)),
			maxWorkTime: 2 * time.Second,
		}
		f.ctx = lavstep.WithFaultInjector(ctx, func(_ context.Context, step lavstep.Step, _ string) error {
			if step == at && f.randomInt(0, 10) == 0 {
				time.Sleep(pauseDuration)
			}
			return nil
		})
		for _, name := range []string{"entry-a", "entry-b", "entry-c", "entry-d"} {
			f.hosts[name] = f.newHost(name)
		}
		f.setView("entry-a", "entry-b", "entry-c", "entry-d")
		for _, name := range f.names() {
			f.hosts[name].start()
		}
		body(t, f)
		cancel()
		for _, h := range f.hosts {
			h.services.Wait()
		}
	})
}

func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (f *fleet) host(name string) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

func (f *fleet) newHost(name string) *host {
	h := &host{name: name, fleet: f, store: &storeLink{Store: f.store}}
	h.snapshot.Store(&lavendpoint.Snapshot{})
	return h
}

func viewOf(names ...string) *lavmember.View {
	v := &lavmember.View{}
	for _, name := range names {
		v.Members = append(v.Members, lavmember.Member{Incarnation: name})
	}
	return v
}

// setView gives the named hosts a view of which they are the members.
func (f *fleet) setView(names ...string) {
	for _, name := range names {
		f.hosts[name].view.Store(viewOf(names...))
	}
}

// owner returns the host that owns the engine in a view of the named members.
func (f *fleet) owner(names ...string) *host {
	m, _ := lavmember.Owner(viewOf(names...), engineName)
	return f.hosts[m.Incarnation]
}

// start runs the host's services and sends requests to the engine.
func (h *host) start() {
	ctx, stop := context.WithCancel(h.fleet.ctx)
	h.stop = stop
	claims := lavcredit.NewClaims(h.store, h.name)
	h.exchange = lavcredit.NewExchange(lavcredit.Dependencies{Endpoints: h, Members: h, Mesh: h, Claims: claims})
	h.services.Go(func() { _ = claims.Serve(ctx) })
	h.services.Go(func() { _ = h.exchange.Serve(ctx) })
	h.services.Go(func() { h.refreshSnapshot(ctx) })
	h.services.Go(func() { h.sendRequests(ctx) })
}

// crash stops the host without a shutdown.
func (h *host) crash() {
	h.isolated.Store(true)
	h.stop()
	h.store.cut.Store(true)
}

// refreshSnapshot puts the engine's latest report into the snapshot every
// reportInterval.
func (h *host) refreshSnapshot(ctx context.Context) {
	for ctx.Err() == nil {
		report := h.fleet.engine.report()
		phase := lavendpoint.PhaseReady
		if report.Cold {
			phase = lavendpoint.PhaseCold
		}
		h.snapshot.Store(lavendpoint.NewSnapshot(1, []lavendpoint.Endpoint{
			{Name: engineName, Phase: phase, Report: report, Heard: time.Now()},
		}))
		time.Sleep(reportInterval)
	}
}

// sendRequests takes a credit for a random number of tokens every 5 ms to 50 ms
// and sends a request if it gets one.
func (h *host) sendRequests(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(h.fleet.randomInt(5, 50)) * time.Millisecond)
		e, ok := h.Snapshot().Find(engineName)
		if !ok {
			continue
		}
		tokens := h.fleet.randomInt(500, 4000)
		credit, ok := h.exchange.Take(time.Now(), e, tokens)
		if !ok {
			h.exchange.Want(time.Now(), e, tokens)
			continue
		}
		workTime := time.Duration(h.fleet.randomInt(10, int(h.fleet.maxWorkTime/time.Millisecond))) * time.Millisecond
		requests.Go(func() { h.runRequest(ctx, credit, workTime) })
	}
}

// runRequest sends one request. It reaches the engine after a random delay and
// ends there after workTime, even if the host has crashed in the meantime.
func (h *host) runRequest(ctx context.Context, credit lavcredit.Credit, workTime time.Duration) {
	time.Sleep(h.fleet.delay())
	if ctx.Err() == nil && credit.Valid(time.Now()) && h.fleet.engine.begin(credit.Incarnation, credit.Tokens) {
		time.Sleep(workTime)
		if h.workOutlivesHost.Load() {
			time.Sleep(20 * time.Second)
		}
		h.fleet.engine.end(credit.Incarnation, credit.Tokens)
	}
	h.exchange.Return(credit)
}

// replace stops a host and starts a new one after up to 8 s.
func (f *fleet) replace(name string) {
	f.hosts[name].stop()
	f.hosts[name].isolated.Store(true)
	rest := without(f.liveHosts(), name)
	f.setView(rest...)
	time.Sleep(time.Duration(f.randomInt(0, 8000)) * time.Millisecond)
	next := f.newHost(name + "'")
	f.mu.Lock()
	f.hosts[next.name] = next
	f.mu.Unlock()
	f.setView(append(rest, next.name)...)
	next.start()
}

// liveHosts returns the names of the hosts that have not been isolated.
func (f *fleet) liveHosts() []string {
	return slices.DeleteFunc(f.names(), func(name string) bool { return f.hosts[name].isolated.Load() })
}

// without returns names without one of them.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return strings.EqualFold(other, name) })
}
