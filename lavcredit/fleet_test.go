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
	coldLimit   = 16_000
	warmLimit   = 200_000
	reportEvery = 250 * time.Millisecond
	reportLag   = 500 * time.Millisecond
	engineName  = "engine-0"
)

// engine counts from its own side what it is given.
type engine struct {
	mu          sync.Mutex
	incarnation lavengine.Incarnation
	cold        bool
	running     int
	begun       int
	overloads   int
	reports     []lavengine.LoadReport
}

// begin takes work in, as over a connection to that incarnation.
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

// restart begins a new life, cold.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation += "'"
	e.cold, e.running, e.reports = true, 0, nil
}

// turn makes the engine cold or warm in place.
func (e *engine) turn(cold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = cold
}

// pardon forgets the overloads so far.
func (e *engine) pardon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.overloads = 0
}

// report returns the newest report that is old enough to be known.
func (e *engine) report() lavengine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, lavengine.LoadReport{
		Incarnation: e.incarnation, Taken: time.Now(), Cold: e.cold, ColdLimit: coldLimit,
		MemoryTokens: warmLimit, RunningTokens: e.running, Models: []string{"m"},
	})
	for len(e.reports) > 1 && time.Since(e.reports[1].Taken) >= reportLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

func (e *engine) counts() (begun, overloads int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun, e.overloads
}

// host is one entry host. It is its own view, mesh and table.
type host struct {
	name     string
	fleet    *fleet
	exchange *lavcredit.Exchange
	handler  lavmesh.Handler
	view     atomic.Pointer[lavmember.View]
	snapshot atomic.Pointer[lavendpoint.Snapshot]
	store    *gate
	// deaf hosts get no messages.
	deaf atomic.Bool
	stop context.CancelFunc
	// stubborn work runs on at the engine after the host has died.
	stubborn atomic.Bool
	ended    sync.WaitGroup
}

func (h *host) View() *lavmember.View           { return h.view.Load() }
func (h *host) Self() lavmember.Member          { return lavmember.Member{Incarnation: h.name} }
func (h *host) Snapshot() *lavendpoint.Snapshot { return h.snapshot.Load() }

func (h *host) Handle(_ lavmesh.Topic, handler lavmesh.Handler) { h.handler = handler }

var errCut = errors.New("cut")

// Call carries a message with the delays and losses of the fleet.
func (h *host) Call(ctx context.Context, peer string, _ lavmesh.Topic, in, out any) error {
	to := h.fleet.host(peer)
	if to == nil || to.deaf.Load() || h.deaf.Load() {
		<-ctx.Done()
		return errCut
	}
	time.Sleep(h.fleet.delay())
	body, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	answer, err := to.handler(h.fleet.ctx, h.name, body)
	if err != nil {
		return err
	}
	time.Sleep(h.fleet.delay())
	if ctx.Err() != nil || h.fleet.lose() {
		<-ctx.Done()
		return errCut
	}
	body, err = cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return lavmesh.Decode(body, out)
}

// gate is a host's way to the store, which may be cut.
type gate struct {
	lavstore.Store
	cut atomic.Bool
}

func (g *gate) Renew(ctx context.Context, id lavstore.LeaseID) error {
	if g.cut.Load() {
		return lavstore.ErrUnavailable
	}
	return g.Store.Renew(ctx, id)
}

func (g *gate) Grant(ctx context.Context, ttl time.Duration) (lavstore.LeaseID, error) {
	if g.cut.Load() {
		return "", lavstore.ErrUnavailable
	}
	return g.Store.Grant(ctx, ttl)
}

// fleet is some hosts before one engine.
type fleet struct {
	ctx    context.Context
	store  *lavfake.Store
	engine *engine
	hosts  map[string]*host

	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	// hold is the longest that work runs.
	hold time.Duration
}

func (f *fleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.IntN(12)+1) * time.Millisecond
}

func (f *fleet) lose() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.loss
}

func (f *fleet) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = share
}

func (f *fleet) draw(low, high int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return low + f.random.IntN(high-low)
}

// run has some hosts send work to one engine in a bubble of virtual time.
func run(t *testing.T, body func(t *testing.T, f *fleet)) {
	t.Helper()
	runPausing(t, lavstep.None, body)
}

// pauseFor is longer than any grant lasts.
const pauseFor = 5 * time.Second

// runPausing is run with hosts that are paused now and then as they reach a
// step.
func runPausing(t *testing.T, at lavstep.Step, body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{
			ctx:    ctx,
			store:  lavfake.NewStore(),
			engine: &engine{incarnation: "a", cold: true},
			hosts:  make(map[string]*host),
			random: rand.New(rand.NewPCG(7, 7)),
			hold:   2 * time.Second,
		}
		f.ctx = lavstep.WithProbe(ctx, func(_ context.Context, step lavstep.Step, _ string) error {
			if step == at && f.draw(0, 10) == 0 {
				time.Sleep(pauseFor)
			}
			return nil
		})
		for _, name := range []string{"entry-a", "entry-b", "entry-c", "entry-d"} {
			f.hosts[name] = f.newHost(name)
		}
		f.agree("entry-a", "entry-b", "entry-c", "entry-d")
		for _, name := range f.names() {
			f.hosts[name].start()
		}
		body(t, f)
		cancel()
		for _, h := range f.hosts {
			h.ended.Wait()
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
	h := &host{name: name, fleet: f, store: &gate{Store: f.store}}
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

// agree gives these members' view to each of them.
func (f *fleet) agree(names ...string) {
	for _, name := range names {
		f.hosts[name].view.Store(viewOf(names...))
	}
}

// owner returns the host that owns the engine by that view.
func (f *fleet) owner(names ...string) *host {
	m, _ := lavmember.Owner(viewOf(names...), engineName)
	return f.hosts[m.Incarnation]
}

// start runs the host's services and its load.
func (h *host) start() {
	ctx, stop := context.WithCancel(h.fleet.ctx)
	h.stop = stop
	claims := lavcredit.NewClaims(h.store, h.name)
	h.exchange = lavcredit.NewExchange(lavcredit.Dependencies{Endpoints: h, Members: h, Mesh: h, Claims: claims})
	h.ended.Go(func() { _ = claims.Serve(ctx) })
	h.ended.Go(func() { _ = h.exchange.Serve(ctx) })
	h.ended.Go(func() { h.hear(ctx) })
	h.ended.Go(func() { h.load(ctx) })
}

// die stops the host at once.
func (h *host) die() {
	h.deaf.Store(true)
	h.stop()
	h.store.cut.Store(true)
}

// hear keeps the snapshot new.
func (h *host) hear(ctx context.Context) {
	for ctx.Err() == nil {
		report := h.fleet.engine.report()
		phase := lavendpoint.PhaseReady
		if report.Cold {
			phase = lavendpoint.PhaseCold
		}
		h.snapshot.Store(lavendpoint.NewSnapshot(1, []lavendpoint.Endpoint{
			{Name: engineName, Phase: phase, Report: report, Heard: time.Now()},
		}))
		time.Sleep(reportEvery)
	}
}

// load begins work whenever there is credit for it.
func (h *host) load(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(h.fleet.draw(5, 50)) * time.Millisecond)
		e, ok := h.Snapshot().Find(engineName)
		if !ok {
			continue
		}
		tokens := h.fleet.draw(500, 4000)
		credit, ok := h.exchange.Take(time.Now(), e, tokens)
		if !ok {
			h.exchange.Want(time.Now(), e, tokens)
			continue
		}
		hold := time.Duration(h.fleet.draw(10, int(h.fleet.hold/time.Millisecond))) * time.Millisecond
		work.Go(func() { h.work(ctx, credit, hold) })
	}
}

// work is one request. It reaches the engine a moment after its credit was
// taken, and ends there some time later, even if the host has died.
func (h *host) work(ctx context.Context, credit lavcredit.Credit, hold time.Duration) {
	time.Sleep(h.fleet.delay())
	if ctx.Err() == nil && credit.Valid(time.Now()) && h.fleet.engine.begin(credit.Incarnation, credit.Tokens) {
		time.Sleep(hold)
		if h.stubborn.Load() {
			time.Sleep(20 * time.Second)
		}
		h.fleet.engine.end(credit.Incarnation, credit.Tokens)
	}
	h.exchange.Return(credit)
}

// replace shuts a host down in order and starts another in its place.
func (f *fleet) replace(name string) {
	f.hosts[name].stop()
	f.hosts[name].deaf.Store(true)
	rest := without(f.live(), name)
	f.agree(rest...)
	time.Sleep(time.Duration(f.draw(0, 8000)) * time.Millisecond)
	next := f.newHost(name + "'")
	f.mu.Lock()
	f.hosts[next.name] = next
	f.mu.Unlock()
	f.agree(append(rest, next.name)...)
	next.start()
}

// live returns the hosts that have not been stopped.
func (f *fleet) live() []string {
	return slices.DeleteFunc(f.names(), func(name string) bool { return f.hosts[name].deaf.Load() })
}

// without returns the names but one.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(have string) bool { return strings.EqualFold(have, name) })
}
