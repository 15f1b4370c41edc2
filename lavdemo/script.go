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

// takeOut is a time during which an endpoint should get no new work.
type takeOut struct {
	// at names the endpoints by their failure domain or their host.
	domain string
	host   string
	from   time.Time
	// until is zero while it lasts.
	until time.Time
}

// script breaks parts of the fleet at set shares of the load phase.
type script struct {
	demo     *demo
	random   *rand.Rand
	domain   string
	takeOuts []*takeOut
}

// act is one step of the script.
type act struct {
	// at is the share of the load phase at which it happens.
	at   float64
	what string
	do   func(ctx context.Context) error
}

func newScript(d *demo, random *rand.Rand) *script {
	return &script{demo: d, random: random, domain: failureDomains[random.IntN(len(failureDomains))]}
}

// acts lists the steps in order of time.
func (s *script) acts() []act {
	victim := s.demo.platform.engines[s.random.IntN(engineCount)]
	leaving := s.engineOutside(s.domain)
	host := s.demo.entries[s.random.IntN(entryCount)]
	return []act{
		{0.10, "take failure domain " + s.domain + " out", s.takeDomainOut},
		{0.25, "key-value service goes down", func(context.Context) error {
			s.demo.platform.store.SetFaults(lavfake.StoreFaults{Down: true})
			return nil
		}},
		{0.32, "key-value service is back", s.storeWell},
		{0.40, "bring failure domain " + s.domain + " back", s.bringDomainBack},
		{0.50, "stop entry host " + host.settings.Host + " to restart it", func(ctx context.Context) error {
			return s.restart(ctx, host)
		}},
		{0.60, "kill " + victim.name, func(context.Context) error {
			victim.fake.Restart()
			return nil
		}},
		{0.70, "host list shows " + leaving.host + " leaving", func(context.Context) error {
			s.demo.platform.showHosts(leaving.host)
			s.takeOuts = append(s.takeOuts, &takeOut{host: leaving.host, from: time.Now().Add(hostListLag)})
			return nil
		}},
		{0.75, "key-value service loses replies", func(context.Context) error {
			s.demo.platform.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			return nil
		}},
		{0.80, "key-value service is well", s.storeWell},
	}
}

func (s *script) storeWell(context.Context) error {
	s.demo.platform.store.SetFaults(lavfake.StoreFaults{})
	return nil
}

// engineOutside draws an engine of another failure domain.
func (s *script) engineOutside(domain string) *engine {
	for {
		if e := s.demo.platform.engines[s.random.IntN(engineCount)]; e.domain != domain {
			return e
		}
	}
}

// run performs the acts until the last one is done.
func (s *script) run(ctx context.Context, length time.Duration) error {
	began := time.Now()
	for _, a := range s.acts() {
		at := began.Add(time.Duration(a.at * float64(length)))
		if err := lavpause.Until(ctx, at); err != nil {
			return err
		}
		s.demo.say("%s", a.what)
		if err := a.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", a.what, err)
		}
	}
	return nil
}

func (s *script) takeDomainOut(ctx context.Context) error {
	at, err := s.demo.operator.publish(ctx, &lavrelease.Note{
		Comment: "Take a failure domain out", Withdraw: lavrelease.Names{FailureDomains: []string{s.domain}},
	})
	s.takeOuts = append(s.takeOuts, &takeOut{domain: s.domain, from: at})
	return err
}

func (s *script) bringDomainBack(ctx context.Context) error {
	s.takeOuts[0].until = time.Now()
	n := &lavrelease.Note{Comment: "Bring the failure domain back"}
	n.Add.FailureDomains = []lavrelease.FailureDomain{{Name: s.domain, Region: "demo"}}
	_, err := s.demo.operator.publish(ctx, n)
	return err
}

// restart stops an entry host and starts it again once it has ended. The
// script goes on meanwhile.
func (s *script) restart(ctx context.Context, host *entry) error {
	s.demo.background.Go(func() {
		began := time.Now()
		if err := host.stopAndWait(); err != nil {
			s.demo.say("entry host %s ended with %v", host.settings.Host, err)
		}
		host.start(ctx)
		if !ready(ctx, host) {
			s.demo.say("entry host %s didn't come back", host.settings.Host)
			return
		}
		host.stopping.Store(false)
		s.demo.say("entry host %s is back after %.1f s", host.settings.Host, time.Since(began).Seconds())
	})
	return nil
}

// readyTimeout bounds the start of a host.
const readyTimeout = 10 * time.Second

// ready waits until a host says that it is.
func ready(ctx context.Context, host *entry) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
		time.Sleep(watchEvery)
	}
	return false
}
