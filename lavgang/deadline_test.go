package lavgang_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// TestSilentEnginesDontDelayTheEnd guards against a caller that waits past its
// deadline for engines that don't answer, because the run releases its memory
// there first, or asks whether they have died.
func TestSilentEnginesDontDelayTheEnd(t *testing.T) {
	const (
		// timeout is a little longer than the prompt takes without a fault, which
		// is 12.756 s.
		timeout       = 13 * time.Second
		deadlineSlack = 100 * time.Millisecond
	)
	faults := []struct {
		name   string
		inject func(tc *testCluster, engine string)
	}{
		{"their connections fall silent", func(tc *testCluster, engine string) { tc.rack.Network.Blackhole(entryHost, engine) }},
		{"the paths are cut", func(tc *testCluster, engine string) { tc.rack.Network.SetPartitioned(entryHost, engine, true) }},
		{"their hosts go down and the paths are cut", func(tc *testCluster, engine string) {
			tc.rack.Network.SetDown(engine, true)
			tc.rack.Network.SetPartitioned(entryHost, engine, true)
		}},
	}
	times := []time.Duration{
		500 * time.Millisecond, 8 * time.Second, 11 * time.Second, 12 * time.Second, 12500 * time.Millisecond,
		// The last of these come while the engines are asked to release the memory.
		12750 * time.Millisecond, 12755 * time.Millisecond, 12757 * time.Millisecond, 12760 * time.Millisecond,
	}
	for _, f := range faults {
		for _, at := range times {
			t.Run(fmt.Sprint(f.name, " after ", at), func(t *testing.T) {
				withCluster(t, 8, func(t *testing.T, tc *testCluster) {
					job, answer := newJob(prompt(), timeout)
					engines := tc.rack.Snapshot().Endpoints
					time.AfterFunc(at, func() {
						for _, e := range engines {
							f.inject(tc, e.Name)
						}
					})
					_, err := tc.run(t.Context(), job)
					lavassert.AtMost(t, "time past the deadline", time.Since(job.Request.Deadline), deadlineSlack)
					if err == nil {
						tc.checkAnswer(t, job, answer)
					}
					for _, e := range engines {
						tc.rack.Network.SetDown(e.Name, false)
						tc.rack.Network.SetPartitioned(entryHost, e.Name, false)
					}
					tc.sweepAndCheck(t, false)
				})
			})
		}
	}
}
