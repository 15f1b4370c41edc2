package lavexperiment

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// Trace is all that a run left behind.
type Trace struct {
	Results []Result
	// Resent are the results of calls that were sent a second time.
	Resent []Result
	// Runs is how often each order ran, by its content.
	Runs    map[string]int
	Engines []lavfake.EngineCounts
	// Unnoticed counts cold overloads before any report could tell.
	Unnoticed int
	// Crashers is the number of prompts that kill engines.
	Crashers int
	// Held is the number of streams that still held memory at the end.
	Held int
}

// Run drives a plan through a new world.
func Run(ctx context.Context, s *lavscenario.Scenario, policy Policy, plan []lavscenario.Arrival, seed uint64) (*Trace, error) {
	w, err := NewSystem(ctx, s, policy, seed)
	if err != nil {
		return nil, err
	}
	trace := w.drive(plan)
	w.settle()
	trace.Runs = w.book.Runs()
	trace.Unnoticed = w.unnoticed
	for _, e := range w.engines {
		trace.Engines = append(trace.Engines, e.Counts())
		trace.Held += e.Running()
	}
	return trace, w.Close()
}

// settleTime is how long the system has to free what ended requests held.
const settleTime = 10 * time.Second

func (w *System) settle() { time.Sleep(settleTime) }

// drive sends each arrival at its time and the faults at theirs, and waits for
// all of them to end.
func (w *System) drive(plan []lavscenario.Arrival) *Trace {
	trace := &Trace{Results: make([]Result, len(plan)), Crashers: w.scenario.CrashRequests()}
	var mu sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	faults := w.scheduleFaults()
	for i, a := range plan {
		time.Sleep(time.Until(began.Add(a.At)))
		running.Go(func() { trace.Results[i] = w.call(a) })
		if a.Resend {
			running.Go(func() {
				time.Sleep(resendAfter)
				again := w.call(a)
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

// resendAfter is how soon a caller sends a call a second time.
const resendAfter = 15 * time.Millisecond
