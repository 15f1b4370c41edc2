package lavexperiment

import (
	"strconv"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// scheduleFaults starts a goroutine for each fault of the scenario, which
// injects it at its planned time and reverts it after its duration. The caller
// waits on the returned group.
func (sys *System) scheduleFaults() *sync.WaitGroup {
	var faults sync.WaitGroup
	for _, f := range sys.scenario.Faults {
		faults.Go(func() {
			time.Sleep(time.Duration(f.At))
			sys.injectFault(f)
			if f.For > 0 {
				time.Sleep(time.Duration(f.For))
				sys.revertFault(f)
			}
		})
	}
	return &faults
}

// injectFault injects a fault.
func (sys *System) injectFault(f lavscenario.Fault) {
	switch f.Kind {
	case lavscenario.FaultEngineDies:
		sys.engines[targetIndex(f.Target, len(sys.engines))].Restart()
	case lavscenario.FaultDomainOut:
		sys.publishWithRetries(&lavrelease.Note{Withdraw: lavrelease.Names{FailureDomains: []string{f.Target}}})
	case lavscenario.FaultStoreDown:
		sys.store.SetFaults(lavfake.StoreFaults{Down: true})
	case lavscenario.FaultStoreSlow:
		sys.store.SetFaults(lavfake.StoreFaults{Delay: slowStoreDelay})
	case lavscenario.FaultRepliesLost:
		sys.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
	case lavscenario.FaultEntryDies:
		sys.network.SetDown(entryHost(targetIndex(f.Target, len(sys.nodes))), true)
		sys.restart(targetIndex(f.Target, len(sys.nodes)))
	case lavscenario.FaultEntryRestarts:
		sys.restart(targetIndex(f.Target, len(sys.nodes)))
	case lavscenario.FaultSilence:
		for i := range sys.nodes {
			sys.network.Blackhole(entryHost(i), engineHost(targetIndex(f.Target, len(sys.engines))))
		}
	case lavscenario.FaultCut:
		for i := range sys.nodes {
			sys.network.SetPartitioned(entryHost(i), engineHost(targetIndex(f.Target, len(sys.engines))), true)
		}
	case lavscenario.FaultTurnsCold:
		sys.turnEngineCold(sys.engines[targetIndex(f.Target, len(sys.engines))])
	case lavscenario.FaultCrashRequest:
		sys.sendCrashRequests(f)
	case lavscenario.FaultServerDies:
		sys.servers[targetIndex(f.Target, len(sys.servers))].SetFaults(lavfake.OrderFaults{LoseReplies: true})
	}
}

// reportPropagationTime is the time, in addition to the lag of load reports,
// that entry hosts need to request a report and to forward it to each other.
const reportPropagationTime = time.Second

// turnEngineCold turns an engine cold without a restart. Entry hosts can't know
// about it before the next load report, so overloads until then are counted in
// unavoidableOverloads and do not violate a guarantee.
func (sys *System) turnEngineCold(e *lavfake.Engine) {
	before := e.Counts().ColdOverloads
	e.MakeCold()
	time.Sleep(time.Duration(sys.scenario.Fleet.Engine.Lag) + reportPropagationTime)
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.unavoidableOverloads += e.Counts().ColdOverloads - before
}

// Parameters of the prompt that crashes engines. crashRequestSends is how often
// it is sent.
const (
	crashRequestSends    = 4
	crashRequestInterval = time.Second
	crashRequestTimeout  = 10 * time.Second
)

// sendCrashRequests sends a prompt that crashes the engine that runs it. It
// resends the prompt from callers in several failure domains, and so through
// several entry hosts, as the callers of a failing request do.
func (sys *System) sendCrashRequests(f lavscenario.Fault) {
	c := sys.scenario.Customers[0]
	a := lavscenario.Arrival{Customer: c.Name, Model: sys.scenario.Fleet.Models[0], MaxTokens: 16, Timeout: crashRequestTimeout}
	a.Text = crashMarker + f.At.String()
	for i := range crashRequestSends {
		a.Domain = i
		sys.call(a)
		time.Sleep(crashRequestInterval)
	}
}

// slowStoreDelay is the delay that FaultStoreSlow adds to each store call.
const slowStoreDelay = 2 * time.Second

// revertFault reverts a fault, if its kind has a duration.
func (sys *System) revertFault(f lavscenario.Fault) {
	switch f.Kind {
	case lavscenario.FaultDomainOut:
		sys.publishWithRetries(&lavrelease.Note{Add: lavrelease.Items{FailureDomains: []lavrelease.FailureDomain{{Name: f.Target, Region: "one"}}}})
	case lavscenario.FaultStoreDown, lavscenario.FaultStoreSlow, lavscenario.FaultRepliesLost:
		sys.store.SetFaults(lavfake.StoreFaults{})
	case lavscenario.FaultCut:
		for i := range sys.nodes {
			sys.network.SetPartitioned(entryHost(i), engineHost(targetIndex(f.Target, len(sys.engines))), false)
		}
	case lavscenario.FaultServerDies:
		sys.servers[targetIndex(f.Target, len(sys.servers))].SetFaults(lavfake.OrderFaults{})
	}
}

// restart stops the process of an entry host and starts a new one.
func (sys *System) restart(i int) {
	n := sys.nodes[i]
	n.cancel()
	sys.recordError(<-n.ended)
	sys.network.SetDown(n.settings.Host, false)
	sys.startNode(i)
}

// publishWithRetries publishes a note and retries once per second on errors, as
// an operator does while the store is unavailable.
func (sys *System) publishWithRetries(n *lavrelease.Note) {
	const tries = 600
	for range tries {
		base := sys.published
		if sys.Publish(n) == nil {
			return
		}
		sys.published = base
		time.Sleep(time.Second)
	}
}

// targetIndex parses the target of a fault as an index below n, modulo n. It
// returns 0 for a target that is not a non-negative number.
func targetIndex(target string, n int) int {
	i, err := strconv.Atoi(target)
	if err != nil || i < 0 {
		return 0
	}
	return i % n
}
