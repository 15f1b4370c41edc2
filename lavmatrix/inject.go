package lavmatrix

import (
	"fmt"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// Times of the faults.
const (
	outageTime = 6 * time.Second
	slowDelay  = 700 * time.Millisecond
	slowTime   = 5 * time.Second
	loseTime   = 1500 * time.Millisecond
	// pauseTime is longer than any lease.
	pauseTime = 17 * time.Second
	lossyTime = 5 * time.Second
	// noticeTime is the time in which hosts hear of an engine that turned cold.
	noticeTime = time.Second
	awayTime   = 6 * time.Second
	// takeOutTime is the time in which a domain that is out gets no new work
	// any more; outTime is how long it is out.
	takeOutTime = 5 * time.Second
	outTime     = 10 * time.Second
	// crashSends is how often the prompt that kills engines is sent.
	crashSends = 6
)

// injectors say how each fault is brought about, as seen by the life that
// reached a step with that peer. The life may be nil.
var injectors = map[Fault]func(s *system, l *life, peer string){
	FaultEngineDies:        func(s *system, _ *life, peer string) { s.engines[s.engineAt(peer)].Restart() },
	FaultProcessDies:       func(_ *system, l *life, _ string) { l.kill() },
	FaultTurnsCold:         func(s *system, _ *life, _ string) { s.work.Go(s.chill) },
	FaultStoreDown:         func(s *system, _ *life, _ string) { s.storeFault(lavfake.StoreFaults{Down: true}, outageTime) },
	FaultStoreSlow:         func(s *system, _ *life, _ string) { s.storeFault(lavfake.StoreFaults{Delay: slowDelay}, slowTime) },
	FaultReplyLost:         func(s *system, _ *life, _ string) { s.storeFault(lavfake.StoreFaults{LoseReplies: true}, loseTime) },
	FaultLeaseLapsedPaused: func(_ *system, l *life, _ string) { l.pause(pauseTime) },
	FaultOperatorsRace:     func(s *system, _ *life, _ string) { s.work.Go(s.race) },
	FaultCrashRequestResent: func(s *system, _ *life, _ string) {
		s.work.Go(s.crash)
	},
	FaultConnectionSilent: func(s *system, l *life, _ string) { s.silence(l) },
	FaultLinkLossy:        func(s *system, _ *life, _ string) { s.loseLinks() },
	FaultHostListLate:     func(s *system, _ *life, _ string) { s.work.Go(s.lateList) },
	FaultDomainOut:        func(s *system, _ *life, _ string) { s.work.Go(s.takeOut) },
}

// loseLinks makes every link lossy for a while.
func (s *system) loseLinks() {
	s.lossy.Store(true)
	s.work.Go(func() {
		time.Sleep(lossyTime)
		s.lossy.Store(false)
	})
}

// silence silences the open connections of a host. Those of callers are theirs
// to watch, as lavclient does.
func (s *system) silence(l *life) {
	if l == nil {
		return
	}
	name := l.host.settings.Host
	for _, other := range s.others(name) {
		if !strings.HasPrefix(other, callerPrefix) {
			s.network.Blackhole(name, other)
		}
	}
}

// engineAt returns the engine that a step's peer names, or the first.
func (s *system) engineAt(peer string) int {
	for i := range s.engines {
		if peer == engineHost(i) || strings.Contains(peer, fmt.Sprintf("10.1.0.%d:", i)) {
			return i
		}
	}
	return 0
}

func (s *system) storeFault(f lavfake.StoreFaults, lasts time.Duration) {
	s.store.SetFaults(f)
	s.work.Go(func() {
		time.Sleep(lasts)
		s.store.SetFaults(lavfake.StoreFaults{})
	})
}

// chill makes every engine cold. A report is 200 ms old when it is asked for,
// which hosts do every 500 ms: what is sent before can't be held back, and is
// counted apart.
func (s *system) chill() {
	before := make([]int, len(s.engines))
	for i, e := range s.engines {
		before[i] = e.Counts().ColdOverloads
		e.MakeCold()
	}
	time.Sleep(noticeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.engines {
		s.unnoticed[i] += e.Counts().ColdOverloads - before[i]
	}
}

// race publishes two notes upon the same release at the same time.
func (s *system) race() {
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

// crash sends the prompt that kills engines again and again.
func (s *system) crash() {
	for i := range crashSends {
		c := newPrompt("this is "+crashMarker, 100, 4*time.Second)
		c.crash = true
		s.send(c, i%len(s.hosts))
	}
}

// lateList takes an engine's host away and tells of it when it is back.
func (s *system) lateList() {
	name := engineHost(1)
	s.network.SetDown(name, true)
	time.Sleep(awayTime)
	s.network.SetDown(name, false)
	s.hostList.Set(s.hostStates(name)...)
	time.Sleep(awayTime)
	s.hostList.Set(s.hostStates("")...)
}

// takeOut takes a failure domain out by a release, and back.
func (s *system) takeOut() {
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
	time.Sleep(takeOutTime)
	before := s.submitted(domain)
	time.Sleep(outTime - takeOutTime)
	if now := s.submitted(domain); now > before {
		s.breaks("%d prompts went to a domain later than %v after it was taken out", now-before, takeOutTime)
	}
	s.publish(back)
}

// submitted counts the prompts that the engines of a domain were given.
func (s *system) submitted(domain int) int {
	sum := 0
	for i, e := range s.engines {
		if engineDomains[i] == domains[domain] {
			sum += e.Counts().Submitted
		}
	}
	return sum
}
