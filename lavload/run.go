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

// Options are what may be chosen about a run.
type Options struct {
	Scenario *lavscenario.Scenario
	Seed     uint64
	// Entries are entry addresses to ask first.
	Entries []netip.AddrPort
	// Tokens are the credentials of the scenario's customers.
	Tokens map[string]string
	// Service names the plain service that takes orders and lookups.
	Service string
	// Want returns the right answer to a prompt, if that is known.
	Want func(p *lavclient.Prompt) string
	// Transport carries the calls.
	Transport http.RoundTripper
	// Faults brings the scenario's faults about; nil leaves them out.
	Faults Faults
	// Progress, if set, is told how far the run is about once a second.
	Progress func(at time.Duration, sent, answered int)
}

// Faults brings faults about in a running system.
type Faults interface {
	Begin(ctx context.Context, f lavscenario.Fault) error
	End(ctx context.Context, f lavscenario.Fault) error
}

// progressEvery is how often progress is told.
const progressEvery = time.Second

// run is a run in progress.
type run struct {
	options Options
	callers map[string]*Caller
	began   time.Time
	sending sync.WaitGroup

	mu     sync.Mutex
	report *recorder
}

// Run sends the arrivals of the scenario at their times and waits for their
// answers. It ends early if ctx does; requests under way are then finished.
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

// send sends each arrival at its time.
func (r *run) send(ctx context.Context) {
	calls := context.WithoutCancel(ctx)
	told := time.Duration(0)
	for _, a := range r.options.Scenario.Plan(r.options.Seed) {
		if lavpause.Until(ctx, r.began.Add(a.At)) != nil {
			return
		}
		if a.At-told >= progressEvery {
			told = a.At
			r.tell(a.At)
		}
		r.sending.Go(func() { r.arrive(calls, a) })
	}
}

func (r *run) tell(at time.Duration) {
	if r.options.Progress == nil {
		return
	}
	r.mu.Lock()
	sent, answered := r.report.progress()
	r.mu.Unlock()
	r.options.Progress(at, sent, answered)
}

// arrive sends one arrival, twice at once if its caller does so.
func (r *run) arrive(ctx context.Context, a lavscenario.Arrival) {
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

func promptOf(a lavscenario.Arrival) lavclient.Prompt {
	return lavclient.Prompt{Model: a.Model, Text: a.Prompt(), MaxTokens: a.MaxTokens, Kind: a.Kind, Timeout: a.Timeout}
}

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

func (r *run) record(a lavscenario.Arrival, result Result, behind time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(a, result, behind)
}

// scheduleFaults brings each fault about at its time.
func (r *run) scheduleFaults(ctx context.Context) *sync.WaitGroup {
	var faults sync.WaitGroup
	if r.options.Faults == nil {
		return &faults
	}
	for _, f := range r.options.Scenario.Faults {
		faults.Go(func() { r.fault(ctx, f) })
	}
	return &faults
}

// fault brings a fault about and takes it back, also if the run ends early.
func (r *run) fault(ctx context.Context, f lavscenario.Fault) {
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
