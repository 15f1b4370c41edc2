package lavmatrix

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavstep"
)

// Cell is a combination of a fault, the step that triggers it and an optional
// background fault.
type Cell struct {
	// Background is the background fault, which is injected when the workload
	// starts. FaultNone means that there is none.
	Background Fault
	// Fault is injected when Step is first reached.
	Fault Fault
	Step  lavstep.Step
}

// Name returns the name of the cell, which is also that of its subtest.
func (c Cell) Name() string {
	if c.Background == FaultNone {
		return fmt.Sprintf("%v/%v", c.Fault, c.Step)
	}
	return fmt.Sprintf("%v/%v/%v", c.Background, c.Fault, c.Step)
}

// Result is the result of the run of a cell.
type Result struct {
	Cell    Cell
	Verdict Verdict
	// Broken describes the guarantees that were violated.
	Broken []string
	// Reached is how often each step was reached.
	Reached map[lavstep.Step]int
	// Answered is the number of calls that were answered within their deadline.
	Answered int
	// Sent is the number of calls sent.
	Sent int
	// UnavoidableOverloads is the number of overloads of cold engines that
	// happened before a load report could show that the engine had turned cold.
	UnavoidableOverloads int
}

// Run runs a cell in a synctest bubble, whose time is virtual.
func Run(t *testing.T, c Cell) Result {
	t.Helper()
	result := Result{Cell: c}
	synctest.Test(t, func(t *testing.T) { result = run(t.Context(), c) })
	return result
}

// run starts a system, runs the workload with the cell's faults and checks the
// guarantees.
func run(ctx context.Context, c Cell) Result {
	s := newSystem(ctx)
	if err := s.start(); err != nil {
		s.recordViolation("system did not start: %v", err)
	} else {
		s.arm(c)
		s.runWorkload()
		s.checkGuarantees()
	}
	s.close()
	return s.result(c)
}
