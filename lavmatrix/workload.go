package lavmatrix

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Parameters of the workload.
const (
	rounds        = 12
	roundInterval = 400 * time.Millisecond
	// orderRetries is the maximum number of retries of an order.
	orderRetries = 3
	// orderRetryDelay is how long the caller of an order waits for its end, and
	// how long after the outcome NotRun it waits, before it retries.
	orderRetryDelay = 700 * time.Millisecond
	// multiEnginePromptTokens is the length of a prompt that needs several
	// engines, since it exceeds engineMemory.
	multiEnginePromptTokens = 90_000
	// restartRound is the round in which the process of restartHost is shut down
	// gracefully and restarted.
	restartRound = 5
	restartHost  = 1
	// settleTime is how long the system may take to release streams and
	// reservations after the workload and the faults have ended.
	settleTime = 40 * time.Second
	// releasePollInterval is the interval at which the hosts' releases are polled.
	releasePollInterval = 250 * time.Millisecond
)

// runWorkload runs the workload and returns settleTime after it and the faults
// have ended.
func (s *system) runWorkload() {
	watched := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(watched)
		s.watchReleases(ended)
	}()
	s.work.Go(func() { s.send(newPrompt("an archive", multiEnginePromptTokens, 25*time.Second), 0) })
	for i := range rounds {
		s.work.Go(func() { s.send(newPrompt(fmt.Sprint("caption ", i), 200, 6*time.Second), i%len(s.hosts)) })
		s.work.Go(func() { s.order(fmt.Sprint("order ", i), i%len(s.hosts)) })
		switch i % 4 {
		case 1:
			s.work.Go(func() { s.send(newPrompt(fmt.Sprint("catalogue ", i), 8_000, 12*time.Second), i%len(s.hosts)) })
		case 2:
			s.work.Go(func() { s.send(newLookup(), i%len(s.hosts)) })
		case 3:
			s.work.Go(func() { s.publish(customerNote(i)) })
		}
		if i == restartRound {
			s.work.Go(s.hosts[restartHost].restart)
		}
		time.Sleep(roundInterval)
	}
	s.work.Wait()
	time.Sleep(settleTime)
	s.disarm()
	close(ended)
	<-watched
}

// customerNote returns a function that builds a note adding a customer.
func customerNote(i int) func(base lavrelease.Version) *lavrelease.Note {
	return func(base lavrelease.Version) *lavrelease.Note {
		n := &lavrelease.Note{ID: fmt.Sprint("note-", i), Base: base}
		n.Add.Customers = []lavrelease.Customer{{Name: fmt.Sprint("customer-", i), Share: 1, Credentials: []string{fmt.Sprintf("%064x", i+1)}}}
		return n
	}
}

// order sends a call that is not repeatable. It retries at the next host, with
// the same idempotency key, if the call does not end within orderRetryDelay,
// gets no response or gets the outcome NotRun. Calls without a response are not
// canceled by the retry.
func (s *system) order(key string, host int) {
	for i := range 1 + orderRetries {
		c := newOrder(key)
		ended := make(chan struct{})
		s.work.Go(func() {
			defer close(ended)
			s.send(c, (host+i)%len(s.hosts))
			s.recordOrder(key, c)
		})
		select {
		case <-ended:
			if c.outcome != lavrequest.OutcomeNotRun && c.status != 0 {
				return
			}
			time.Sleep(orderRetryDelay)
		case <-time.After(orderRetryDelay):
		}
	}
}

// recordOrder records the result of an order and checks at once that an order
// reported as NotRun has not run.
func (s *system) recordOrder(key string, c *call) {
	s.mu.Lock()
	s.orders[key] = append(s.orders[key], c)
	s.mu.Unlock()
	if c.outcome == lavrequest.OutcomeNotRun && c.status != 0 && s.orderBook.Runs()[key] > 0 {
		s.recordViolation("%s was told NotRun of a call that had run: status %d %.120s", key, c.status, c.text)
	}
}

// watchReleases checks until ended is closed that no process reverts to an older
// release.
func (s *system) watchReleases(ended <-chan struct{}) {
	highest := make(map[*process]lavrelease.Version)
	for {
		for _, h := range s.hosts {
			proc := h.running()
			if proc == nil {
				continue
			}
			version := proc.node.Release()
			if version < highest[proc] {
				s.recordViolation("%s went back from release %d to %d", h.settings.Host, highest[proc], version)
			}
			highest[proc] = max(highest[proc], version)
		}
		select {
		case <-ended:
			return
		case <-time.After(releasePollInterval):
		}
	}
}
