package lavload

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavscenario"

	"github.com/cockroachdb/errors"
)

// Options configures a run.
type Options struct {
	Scenario *lavscenario.Scenario
	Seed     uint64
	// Entries are the addresses of entry hosts at which clients start; they
	// discover the others from these.
	Entries []netip.AddrPort
	// Tokens maps each customer of the scenario to its credential.
	Tokens map[string]string
	// Service is the name of the plain service that receives orders and lookups.
	Service string
	// Want returns the expected answer to a prompt. See Caller.Want.
	Want func(p *lavclient.Prompt) string
	// Transport is the HTTP transport of all clients.
	Transport http.RoundTripper
	// Faults injects the scenario's faults. If it is nil, none are injected.
	Faults Faults
	// Progress, if not nil, is called about once a second with the elapsed time
	// and the number of requests sent and answered.
	Progress func(at time.Duration, sent, answered int)
}

// Faults injects faults into a running system.
type Faults interface {
	// Begin injects a fault.
	Begin(ctx context.Context, f lavscenario.Fault) error
	// End reverts a fault that was injected.
	End(ctx context.Context, f lavscenario.Fault) error
}

// progressInterval is the interval at which Options.Progress is called.
const progressInterval = time.Second

// run is the state of a run.
type run struct {
	options Options
	callers map[string]*Caller
	began   time.Time
	sending sync.WaitGroup

	mu     sync.Mutex
	report *recorder
}

// Run sends the arrivals of the scenario at their planned times and waits for
// all answers. If ctx is canceled, it sends no more requests but still waits
// for the requests in flight.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &run{options: options, callers: make(map[string]*Caller), report: newRecorder(options.Scenario, options.Seed)}
	for _, c := range options.Scenario.Customers {
		token, ok := options.Tokens[c.Name]
		if !ok {
			return nil, errors.Newf("customer %s of the scenario has no token", c.Name)
		}
		settings := lavclient.Settings{Seeds: options.Entries, Credential: token}
		r.callers[c.Name] = &Caller{Client: lavclient.New(settings, &http.Client{Transport: options.Transport}), Want: options.Want}
	}
	r.began = time.Now()
	faults := r.scheduleFaults(ctx)
	r.send(ctx)
	r.sending.Wait()
	faults.Wait()
	return r.report.finish(), nil
}

// send starts a goroutine for each arrival at its planned time.
func (r *run) send(ctx context.Context) {
	calls := context.WithoutCancel(ctx)
	lastProgress := time.Duration(0)
	for _, a := range r.options.Scenario.Plan(r.options.Seed) {
		if lavpause.Until(ctx, r.began.Add(a.At)) != nil {
			return
		}
		if a.At-lastProgress >= progressInterval {
			lastProgress = a.At
			r.reportProgress(a.At)
		}
		r.sending.Go(func() { r.sendArrival(calls, a) })
	}
}

// reportProgress calls Options.Progress.
func (r *run) reportProgress(at time.Duration) {
	if r.options.Progress == nil {
		return
	}
	r.mu.Lock()
	sent, answered := r.report.progress()
	r.mu.Unlock()
	r.options.Progress(at, sent, answered)
}

// sendArrival sends the request of an arrival and records the result. If the
// arrival is marked as Resend, it sends the call twice concurrently.
func (r *run) sendArrival(ctx context.Context, a lavscenario.Arrival) {
	due := r.began.Add(a.At)
	behind := time.Since(due)
	caller := r.callers[a.Customer]
	if a.Kind.IsPrompt() {
		r.record(a, caller.Prompt(ctx, promptOf(a), due), behind)
		return
	}
	call := r.callOf(a)
	if a.Resend {
		r.sending.Go(func() { r.record(a, caller.Service(ctx, call, due), behind) })
	}
	r.record(a, caller.Service(ctx, call, due), behind)
}

// promptOf returns the client's prompt for an arrival.
func promptOf(a lavscenario.Arrival) lavclient.Prompt {
	return lavclient.Prompt{Model: a.Model, Text: a.Prompt(), MaxTokens: a.MaxTokens, Kind: a.Kind, Timeout: a.Timeout}
}

// callOf returns the client's call for an arrival at the plain service.
func (r *run) callOf(a lavscenario.Arrival) lavclient.Call {
	call := lavclient.Call{Path: "/services/" + r.options.Service + "/orders", Kind: a.Kind, Timeout: a.Timeout}
	if a.Kind == lavrequest.KindOrder {
		call.Key = lavclient.NewKey()
		call.Body = []byte(call.Key)
		return call
	}
	call.Method = http.MethodGet
	return call
}

// record adds a result to the report.
func (r *run) record(a lavscenario.Arrival, result Result, behind time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(a, result, behind)
}

// scheduleFaults starts a goroutine for each fault, which injects it at its
// planned time. The caller waits on the returned group.
func (r *run) scheduleFaults(ctx context.Context) *sync.WaitGroup {
	var faults sync.WaitGroup
	if r.options.Faults == nil {
		return &faults
	}
	for _, f := range r.options.Scenario.Faults {
		faults.Go(func() { r.injectFault(ctx, f) })
	}
	return &faults
}

// injectFault injects a fault at its planned time and reverts it after its
// duration. If ctx is canceled, the fault is reverted at once.
func (r *run) injectFault(ctx context.Context, f lavscenario.Fault) {
	at := r.began.Add(time.Duration(f.At))
	if lavpause.Until(ctx, at) != nil {
		return
	}
	err := r.options.Faults.Begin(ctx, f)
	if err == nil && f.For > 0 {
		_ = lavpause.Until(ctx, at.Add(time.Duration(f.For)))
		err = r.options.Faults.End(context.WithoutCancel(ctx), f)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.addFault(f, err)
}
