package lavmatrix

import (
	"fmt"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// Durations and parameters of the faults.
const (
	storeOutageTime = 6 * time.Second
	// storeReplyDelay is the delay of each store call during storeSlowTime.
	storeReplyDelay = 700 * time.Millisecond
	storeSlowTime   = 5 * time.Second
	// replyLossTime is how long the store loses its replies.
	replyLossTime = 1500 * time.Millisecond
	// pauseTime is how long a host is paused. It exceeds the TTL of every lease.
	pauseTime = 17 * time.Second
	// lossyTime is how long links are lossy.
	lossyTime = 5 * time.Second
	// foreignBytesTime is how long engines send bytes that are no event.
	foreignBytesTime = 2 * time.Second
	// loadReportWait is how long entry hosts may take to learn from a load report
	// that an engine has turned cold.
	loadReportWait = time.Second
	// hostDownTime is how long the engine's host stays down, and then how long the
	// host list shows it as leaving.
	hostDownTime = 6 * time.Second
	// takeOutGrace is how long after its withdrawal a failure domain may still
	// receive new work.
	takeOutGrace = 5 * time.Second
	// domainOutTime is how long the failure domain stays withdrawn.
	domainOutTime = 10 * time.Second
	// crashingPromptSends is how often the prompt that crashes engines is sent.
	crashingPromptSends = 6
)

// injectors holds the function that injects each fault. Its arguments are the
// process that reached the step and the peer of that step. The process may be
// nil, and the peer empty.
var injectors = map[Fault]func(s *system, proc *process, peer string){
	FaultEngineDies:  func(s *system, _ *process, peer string) { s.engines[s.engineAt(peer)].Restart() },
	FaultProcessDies: func(_ *system, proc *process, _ string) { proc.kill() },
	FaultTurnsCold:   func(s *system, _ *process, _ string) { s.work.Go(s.turnEnginesCold) },
	FaultStoreDown: func(s *system, _ *process, _ string) {
		s.injectStoreFault(lavfake.StoreFaults{Down: true}, storeOutageTime)
	},
	FaultStoreSlow: func(s *system, _ *process, _ string) {
		s.injectStoreFault(lavfake.StoreFaults{Delay: storeReplyDelay}, storeSlowTime)
	},
	FaultReplyLost: func(s *system, _ *process, _ string) {
		s.injectStoreFault(lavfake.StoreFaults{LoseReplies: true}, replyLossTime)
	},
	FaultLeaseLapsedPaused: func(_ *system, proc *process, _ string) { proc.pause(pauseTime) },
	FaultOperatorsRace:     func(s *system, _ *process, _ string) { s.work.Go(s.publishConcurrently) },
	FaultCrashRequestResent: func(s *system, _ *process, _ string) {
		s.work.Go(s.sendCrashingPrompts)
	},
	FaultConnectionSilent: func(s *system, proc *process, _ string) { s.silenceConnections(proc) },
	FaultLinkLossy:        func(s *system, _ *process, _ string) { s.makeLinksLossy() },
	FaultHostListLate:     func(s *system, _ *process, _ string) { s.work.Go(s.delayHostList) },
	FaultDomainOut:        func(s *system, _ *process, _ string) { s.work.Go(s.takeDomainOut) },
	FaultForeignBytes:     func(s *system, _ *process, _ string) { s.sendForeignBytes() },
}

// sendForeignBytes makes every engine send bytes that are no event for foreignBytesTime.
func (s *system) sendForeignBytes() {
	set := func(on bool) {
		for _, e := range s.engines {
			e.SendForeign(on)
		}
	}
	set(true)
	s.work.Go(func() {
		time.Sleep(foreignBytesTime)
		set(false)
	})
}

// makeLinksLossy makes every link lossy for lossyTime.
func (s *system) makeLinksLossy() {
	s.lossy.Store(true)
	s.work.Go(func() {
		time.Sleep(lossyTime)
		s.lossy.Store(false)
	})
}

// silenceConnections stops all traffic on the open connections of a host,
// except those to callers: detecting a silent connection to an entry host is up
// to the client, as lavclient does.
func (s *system) silenceConnections(proc *process) {
	if proc == nil {
		return
	}
	name := proc.host.settings.Host
	for _, other := range s.otherHosts(name) {
		if !strings.HasPrefix(other, callerPrefix) {
			s.network.Blackhole(name, other)
		}
	}
}

// engineAt returns the index of the engine that a step's peer names or
// addresses, or 0 if the peer is not an engine.
func (s *system) engineAt(peer string) int {
	for i := range s.engines {
		if peer == engineHost(i) || strings.Contains(peer, fmt.Sprintf("10.1.0.%d:", i)) {
			return i
		}
	}
	return 0
}

// injectStoreFault makes the key-value service faulty for the given time.
func (s *system) injectStoreFault(f lavfake.StoreFaults, duration time.Duration) {
	s.store.SetFaults(f)
	s.work.Go(func() {
		time.Sleep(duration)
		s.store.SetFaults(lavfake.StoreFaults{})
	})
}

// turnEnginesCold turns every engine cold. Hosts request load reports every 500
// ms, and a report is 200 ms old by then. A host can't know that the engine is
// cold before it has such a report, so overloads until then are counted in
// unavoidableOverloads and do not violate a guarantee.
func (s *system) turnEnginesCold() {
	before := make([]int, len(s.engines))
	for i, e := range s.engines {
		before[i] = e.Counts().ColdOverloads
		e.MakeCold()
	}
	time.Sleep(loadReportWait)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.engines {
		s.unavoidableOverloads[i] += e.Counts().ColdOverloads - before[i]
	}
}

// publishConcurrently publishes two notes concurrently, both based on the
// current release.
func (s *system) publishConcurrently() {
	state, err := lavrelease.Load(s.ctx, s.store)
	if err != nil {
		return
	}
	for _, id := range []string{"race-a", "race-b"} {
		id = fmt.Sprint(id, "-", state.Version)
		n := &lavrelease.Note{ID: id, Base: state.Version}
		n.Add.Models = []lavrelease.Model{{Name: "raced-" + id, Version: "1"}}
		s.work.Go(func() { s.publishOnce(n) })
	}
}

// sendCrashingPrompts sends the prompt that crashes engines crashingPromptSends
// times, to each entry host in turn.
func (s *system) sendCrashingPrompts() {
	for i := range crashingPromptSends {
		c := newPrompt("this is "+crashMarker, 100, 4*time.Second)
		c.crashesEngine = true
		s.send(c, i%len(s.hosts))
	}
}

// delayHostList takes an engine's host down without a change of the host list,
// and lists the host as leaving only after it is back up.
func (s *system) delayHostList() {
	name := engineHost(1)
	s.network.SetDown(name, true)
	time.Sleep(hostDownTime)
	s.network.SetDown(name, false)
	s.hostList.Set(s.hostStates(name)...)
	time.Sleep(hostDownTime)
	s.hostList.Set(s.hostStates("")...)
}

// takeDomainOut withdraws a failure domain by a release, checks that it
// receives no new prompts after takeOutGrace, and adds it back.
func (s *system) takeDomainOut() {
	const domain = 1
	now := time.Now().UnixNano()
	out := func(base lavrelease.Version) *lavrelease.Note {
		return &lavrelease.Note{ID: fmt.Sprint("out-", now), Base: base, Withdraw: lavrelease.Names{FailureDomains: []string{domains[domain]}}}
	}
	back := func(base lavrelease.Version) *lavrelease.Note {
		n := &lavrelease.Note{ID: fmt.Sprint("back-", now), Base: base}
		n.Add.FailureDomains = []lavrelease.FailureDomain{{Name: domains[domain], Region: "one"}}
		return n
	}
	s.publish(out)
	time.Sleep(takeOutGrace)
	before := s.submitted(domain)
	time.Sleep(domainOutTime - takeOutGrace)
	if now := s.submitted(domain); now > before {
		s.recordViolation("%d prompts went to a domain later than %v after it was taken out", now-before, takeOutGrace)
	}
	s.publish(back)
}

// submitted returns the number of prompts submitted to the engines of a failure
// domain.
func (s *system) submitted(domain int) int {
	sum := 0
	for i, e := range s.engines {
		if engineDomains[i] == domains[domain] {
			sum += e.Counts().Submitted
		}
	}
	return sum
}
