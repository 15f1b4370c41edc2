package lavexperiment

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// Trace holds the results of a run and the counters of the fakes.
type Trace struct {
	// Results has the result of each arrival of the plan, in order.
	Results []Result
	// Resent has the results of the second calls of arrivals that are resent.
	Resent []Result
	// Runs is how often each order ran, by its body.
	Runs map[string]int
	// Engines has the counters of each engine.
	Engines []lavfake.EngineCounts
	// UnavoidableOverloads is the number of overloads of cold engines that
	// happened before a load report could show that the engine had turned cold.
	UnavoidableOverloads int
	// CrashRequests is the number of distinct prompts that crash engines.
	CrashRequests int
	// Held is the number of streams that still hold engine memory at the end.
	Held int
}

// Run builds a system, runs the plan and the faults of the scenario against it
// and returns the results.
func Run(ctx context.Context, s *lavscenario.Scenario, policy Policy, plan []lavscenario.Arrival, seed uint64) (*Trace, error) {
	sys, err := NewSystem(ctx, s, policy, seed)
	if err != nil {
		return nil, err
	}
	trace := sys.sendPlan(plan)
	sys.settle()
	trace.Runs = sys.orderBook.Runs()
	trace.UnavoidableOverloads = sys.unavoidableOverloads
	for _, e := range sys.engines {
		trace.Engines = append(trace.Engines, e.Counts())
		trace.Held += e.RunningStreams()
	}
	return trace, sys.Close()
}

// settleTime is how long the system may take to free the resources of requests
// that have ended.
const settleTime = 10 * time.Second

// settle waits for settleTime.
func (sys *System) settle() { time.Sleep(settleTime) }

// sendPlan sends each arrival and injects each fault at its planned time, and
// waits for all of them to end.
func (sys *System) sendPlan(plan []lavscenario.Arrival) *Trace {
	trace := &Trace{Results: make([]Result, len(plan)), CrashRequests: sys.scenario.CrashRequests()}
	var mu sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	faults := sys.scheduleFaults()
	for i, a := range plan {
		time.Sleep(time.Until(began.Add(a.At)))
		running.Go(func() { trace.Results[i] = sys.call(a) })
		if a.Resend {
			running.Go(func() {
				time.Sleep(resendDelay)
				again := sys.call(a)
				mu.Lock()
				defer mu.Unlock()
				trace.Resent = append(trace.Resent, again)
			})
		}
	}
	running.Wait()
	faults.Wait()
	return trace
}

// resendDelay is the delay after which a caller sends a call a second time.
const resendDelay = 15 * time.Millisecond
