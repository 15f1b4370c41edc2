package lavexperiment

import (
	"strconv"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// scheduleFaults brings each fault of the scenario about at its time.
func (w *System) scheduleFaults() *sync.WaitGroup {
	var faults sync.WaitGroup
	for _, f := range w.scenario.Faults {
		faults.Go(func() {
			time.Sleep(time.Duration(f.At))
			w.begin(f)
			if f.For > 0 {
				time.Sleep(time.Duration(f.For))
				w.end(f)
			}
		})
	}
	return &faults
}

// begin brings a fault about.
func (w *System) begin(f lavscenario.Fault) {
	switch f.Kind {
	case lavscenario.FaultEngineDies:
		w.engines[index(f.Target, len(w.engines))].Restart()
	case lavscenario.FaultDomainOut:
		w.publishUntilDone(&lavrelease.Note{Withdraw: lavrelease.Names{FailureDomains: []string{f.Target}}})
	case lavscenario.FaultStoreDown:
		w.store.SetFaults(lavfake.StoreFaults{Down: true})
	case lavscenario.FaultStoreSlow:
		w.store.SetFaults(lavfake.StoreFaults{Delay: slowStore})
	case lavscenario.FaultRepliesLost:
		w.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
	case lavscenario.FaultEntryDies:
		w.network.SetDown(entryHost(index(f.Target, len(w.nodes))), true)
		w.restart(index(f.Target, len(w.nodes)))
	case lavscenario.FaultEntryRestarts:
		w.restart(index(f.Target, len(w.nodes)))
	case lavscenario.FaultSilence:
		for i := range w.nodes {
			w.network.Silence(entryHost(i), engineHost(index(f.Target, len(w.engines))))
		}
	case lavscenario.FaultCut:
		for i := range w.nodes {
			w.network.SetCut(entryHost(i), engineHost(index(f.Target, len(w.engines))), true)
		}
	case lavscenario.FaultTurnsCold:
		w.chill(w.engines[index(f.Target, len(w.engines))])
	case lavscenario.FaultCrashRequest:
		w.sendCrashers(f)
	case lavscenario.FaultServerDies:
		w.servers[index(f.Target, len(w.servers))].SetFaults(lavfake.OrderFaults{LoseReplies: true})
	}
}

// noticeMargin is the time, beyond the lag of load reports, that hosts take to
// ask for a report and to tell each other.
const noticeMargin = time.Second

// chill makes an engine cold without a restart. Until the next report nobody
// can know of it; what is sent meanwhile is counted apart.
func (w *System) chill(e *lavfake.Engine) {
	before := e.Counts().ColdOverloads
	e.Chill()
	time.Sleep(time.Duration(w.scenario.Fleet.Engine.Lag) + noticeMargin)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unnoticed += e.Counts().ColdOverloads - before
}

// Resends of a prompt that kills engines.
const (
	crashResends = 4
	crashPause   = time.Second
	crashTimeout = 10 * time.Second
)

// sendCrashers sends a prompt that kills the engine that runs it, again and
// again and through several entry hosts, as its callers do.
func (w *System) sendCrashers(f lavscenario.Fault) {
	c := w.scenario.Customers[0]
	a := lavscenario.Arrival{Customer: c.Name, Model: w.scenario.Fleet.Models[0], MaxTokens: 16, Timeout: crashTimeout}
	a.Text = crashMarker + f.At.String()
	for i := range crashResends {
		a.Domain = i
		w.call(a)
		time.Sleep(crashPause)
	}
}

// slowStore is the delay of each call of a slow store.
const slowStore = 2 * time.Second

// end takes a fault that lasts back.
func (w *System) end(f lavscenario.Fault) {
	switch f.Kind {
	case lavscenario.FaultDomainOut:
		w.publishUntilDone(&lavrelease.Note{Add: lavrelease.Items{FailureDomains: []lavrelease.FailureDomain{{Name: f.Target, Region: "one"}}}})
	case lavscenario.FaultStoreDown, lavscenario.FaultStoreSlow, lavscenario.FaultRepliesLost:
		w.store.SetFaults(lavfake.StoreFaults{})
	case lavscenario.FaultCut:
		for i := range w.nodes {
			w.network.SetCut(entryHost(i), engineHost(index(f.Target, len(w.engines))), false)
		}
	case lavscenario.FaultServerDies:
		w.servers[index(f.Target, len(w.servers))].SetFaults(lavfake.OrderFaults{})
	}
}

// restart stops an entry host's process and starts another in its place.
func (w *System) restart(i int) {
	n := w.nodes[i]
	n.cancel()
	w.fail(<-n.ended)
	w.network.SetDown(n.settings.Host, false)
	w.startNode(i)
}

// publishUntilDone publishes as an operator does who tries again until the
// store answers.
func (w *System) publishUntilDone(n *lavrelease.Note) {
	const tries = 600
	for range tries {
		base := w.note
		if w.Publish(n) == nil {
			return
		}
		w.note = base
		time.Sleep(time.Second)
	}
}

// index reads a target that is a number; others stand for the first.
func index(target string, n int) int {
	i, err := strconv.Atoi(target)
	if err != nil || i < 0 {
		return 0
	}
	return i % n
}
