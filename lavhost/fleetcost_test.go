package lavhost

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	lavassert.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFleet reports what one host of an idle fleet costs: processor time, mesh messages and
// datagrams, during the first ten seconds and afterwards. Processor time includes the emulated
// network.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{22, 88, 295} {
		b.Run(fmt.Sprint("Hosts=", hosts), func(b *testing.B) {
			for b.Loop() {
				result := make(chan [2]fleetCost, 1)
				testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
					Name: "Fleet",
					F:    func(t *testing.T) { result <- measureFleet(t, hosts) },
				}})
				costs := <-result
				costs[0].report(b, "Start")
				costs[1].report(b, "Idle")
			}
		})
	}
}

// fleetCost is what one host has used in a period.
type fleetCost struct {
	processor           time.Duration
	messages, datagrams int64
	storeCalls          int
	period              time.Duration
	hosts               int
}

func (c fleetCost) report(b *testing.B, phase string) {
	hostSeconds := float64(c.hosts) * c.period.Seconds()
	b.ReportMetric(float64(c.processor.Milliseconds())/hostSeconds, phase+"-ms/host/s")
	b.ReportMetric(float64(c.messages)/hostSeconds, phase+"-messages/host/s")
	b.ReportMetric(float64(c.datagrams)/hostSeconds, phase+"-datagrams/host/s")
	b.ReportMetric(float64(c.storeCalls)/c.period.Seconds(), phase+"-storecalls/s")
}

// measureFleet runs a fleet and returns the cost of a host while it starts and afterwards.
func measureFleet(t *testing.T, hosts int) [2]fleetCost {
	const startTime, idleTime = 10 * time.Second, 10 * time.Second
	var costs [2]fleetCost
	synctest.Test(t, func(t *testing.T) {
		before := fleetCost{processor: processorTime(t)}
		f := startFleet(t, hosts, hosts/2)
		defer f.end(t)
		for i, period := range []time.Duration{startTime, idleTime} {
			time.Sleep(period)
			now := fleetCost{processor: processorTime(t), messages: f.counter("mesh.sent"), datagrams: f.counter("datagrams.sent"), storeCalls: f.store.Calls()}
			costs[i] = fleetCost{
				processor: now.processor - before.processor, messages: now.messages - before.messages,
				datagrams: now.datagrams - before.datagrams, storeCalls: now.storeCalls - before.storeCalls,
				period: period, hosts: hosts,
			}
			before = now
		}
		lavassert.Equal(t, "members in the smallest view", f.smallestView(), hosts)
	})
	return costs
}
