package lavdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// withdrawal is a period during which a set of endpoints must get no new work,
// because their failure domain is withdrawn or their host is leaving.
type withdrawal struct {
	// Either failureDomain or host selects the endpoints; the other one is empty.
	failureDomain string
	host          string
	from          time.Time
	// until is zero for a withdrawal that has not ended.
	until time.Time
}

// script injects faults and publishes releases at fixed fractions of the load
// phase.
type script struct {
	demo          *demo
	random        *rand.Rand
	failureDomain string
	withdrawals   []*withdrawal
}

// scriptStep is one step of the script.
type scriptStep struct {
	// fraction is the part of the load phase, from 0 to 1, after which the step
	// runs.
	fraction    float64
	description string
	run         func(ctx context.Context) error
}

// newScript returns a script that withdraws a randomly drawn failure domain.
func newScript(d *demo, random *rand.Rand) *script {
	return &script{demo: d, random: random, failureDomain: failureDomains[random.IntN(len(failureDomains))]}
}

// steps returns the steps in order of time. It draws at random which engine
// dies, which host leaves and which entry host restarts.
func (s *script) steps() []scriptStep {
	engineToKill := s.demo.platform.engines[s.random.IntN(engineCount)]
	leavingEngine := s.randomEngineOutside(s.failureDomain)
	hostToRestart := s.demo.entryHosts[s.random.IntN(entryHostCount)]
	return []scriptStep{
		{0.10, "withdraw failure domain " + s.failureDomain + " from service", s.withdrawDomain},
		{0.25, "take the key-value service down", func(context.Context) error {
			s.demo.platform.store.SetFaults(lavfake.StoreFaults{Down: true})
			return nil
		}},
		{0.32, "restore the key-value service", s.clearStoreFaults},
		{0.40, "return failure domain " + s.failureDomain + " to service", s.restoreDomain},
		{0.50, "stop entry host " + hostToRestart.settings.Host + " and start it again", func(ctx context.Context) error {
			return s.restartEntryHost(ctx, hostToRestart)
		}},
		{0.60, "kill " + engineToKill.name, func(context.Context) error {
			engineToKill.fake.Restart()
			return nil
		}},
		{0.70, "mark host " + leavingEngine.host + " as leaving in the host list", func(context.Context) error {
			s.demo.platform.publishHostList(leavingEngine.host)
			s.withdrawals = append(s.withdrawals, &withdrawal{host: leavingEngine.host, from: time.Now().Add(hostListLag)})
			return nil
		}},
		{0.75, "make the key-value service lose replies", func(context.Context) error {
			s.demo.platform.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			return nil
		}},
		{0.80, "make the key-value service answer normally again", s.clearStoreFaults},
	}
}

// clearStoreFaults lets the key-value service work normally again.
func (s *script) clearStoreFaults(context.Context) error {
	s.demo.platform.store.SetFaults(lavfake.StoreFaults{})
	return nil
}

// randomEngineOutside draws an engine that is not in the given failure domain.
func (s *script) randomEngineOutside(failureDomain string) *engine {
	for {
		if e := s.demo.platform.engines[s.random.IntN(engineCount)]; e.failureDomain != failureDomain {
			return e
		}
	}
}

// run runs each step at its time. It stops at the first step that fails.
func (s *script) run(ctx context.Context, duration time.Duration) error {
	startedAt := time.Now()
	for _, step := range s.steps() {
		dueAt := startedAt.Add(time.Duration(step.fraction * float64(duration)))
		if err := lavpause.Until(ctx, dueAt); err != nil {
			return err
		}
		s.demo.writeProgress("%s", step.description)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.description, err)
		}
	}
	return nil
}

// withdrawDomain publishes a release that withdraws the failure domain.
func (s *script) withdrawDomain(ctx context.Context) error {
	acceptedAt, err := s.demo.operator.publish(ctx, &lavrelease.Note{
		Comment: "Withdraw a failure domain", Withdraw: lavrelease.Names{FailureDomains: []string{s.failureDomain}},
	})
	s.withdrawals = append(s.withdrawals, &withdrawal{failureDomain: s.failureDomain, from: acceptedAt})
	return err
}

// restoreDomain ends the withdrawal of the failure domain and publishes a
// release that adds the domain again.
func (s *script) restoreDomain(ctx context.Context) error {
	s.withdrawals[0].until = time.Now()
	note := &lavrelease.Note{Comment: "Restore the failure domain"}
	note.Add.FailureDomains = []lavrelease.FailureDomain{{Name: s.failureDomain, Region: "demo"}}
	_, err := s.demo.operator.publish(ctx, note)
	return err
}

// restartEntryHost drains an entry host and starts it again after it has ended.
// It returns at once, so that the script continues during the restart.
func (s *script) restartEntryHost(ctx context.Context, host *entryHost) error {
	s.demo.background.Go(func() {
		startedAt := time.Now()
		if err := host.stopAndWait(); err != nil {
			s.demo.writeProgress("entry host %s stopped with an error: %v", host.settings.Host, err)
		}
		host.start(ctx)
		if !awaitHostReady(ctx, host) {
			s.demo.writeProgress("entry host %s did not become ready after its restart", host.settings.Host)
			return
		}
		host.stopping.Store(false)
		s.demo.writeProgress("entry host %s is ready again after a restart of %.1f s", host.settings.Host, time.Since(startedAt).Seconds())
	})
	return nil
}

// hostReadyTimeout limits the time in which a started entry host becomes ready.
const hostReadyTimeout = 10 * time.Second

// awaitHostReady polls /readyz of an entry host until it answers 200. It returns
// false if the host is not ready within hostReadyTimeout.
func awaitHostReady(ctx context.Context, host *entryHost) bool {
	ctx, cancel := context.WithTimeout(ctx, hostReadyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.settings.Entry.String()+"/readyz", http.NoBody)
		if err != nil {
			return false
		}
		if answer, err := client.Do(request); err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(pollInterval)
	}
	return false
}
