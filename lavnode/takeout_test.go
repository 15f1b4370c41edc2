package lavnode_test

import (
	"context"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// runUnderLoad runs body while a caller sends prompts to a number of engines. It returns
// the caller after the last response.
func runUnderLoad(c *cluster, engines int, body func()) *caller {
	n := c.initialNote(engines)
	n.Add.Customers = []lavrelease.Customer{{Name: "till", Share: 1, Credentials: []string{lavfront.HashCredential(token)}}}
	publish(c.t, c.store, n)
	c.awaitVersion(1)
	time.Sleep(10 * time.Second)
	caller := newCaller(c)
	ctx, cancel := context.WithCancel(c.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		caller.run(ctx)
	}()
	time.Sleep(5 * time.Second)
	body()
	cancel()
	<-ended
	return caller
}

// lastSubmit returns the time from since to the last prompt that was submitted to any
// engine of the failure domain, or zero if there was none.
func (c *cluster) lastSubmit(domain string, since time.Time) time.Duration {
	last := time.Duration(0)
	for i := range len(c.engines) {
		if domainOf(i) == domain {
			last = max(last, c.engines[engineName(i)].Counts().LastSubmit.Sub(since))
		}
	}
	return last
}

// TestTakeOut checks that engines get no new prompts later than 5 s after their failure
// domain is withdrawn or their host is leaving, and that no request fails.
func TestTakeOut(t *testing.T) {
	const bound = 5 * time.Second
	t.Run("a failure domain is withdrawn by a release and restored", func(t *testing.T) {
		runWithCluster(t, *clusterHosts, func(c *cluster) {
			caller := runUnderLoad(c, 6, func() {
				publish(c.t, c.store, lavrelease.Note{ID: "out", Base: 1, Withdraw: lavrelease.Names{FailureDomains: []string{"south"}}})
				out := time.Now()
				time.Sleep(30 * time.Second)
				took := c.lastSubmit("south", out)
				t.Logf("last new work %v after the reply to publish", took)
				lavassert.AtMost(t, "time to the last new work", took, bound)
				publish(c.t, c.store, lavrelease.Note{ID: "back", Base: 2, Add: lavrelease.Items{FailureDomains: []lavrelease.FailureDomain{{Name: "south", Region: "inland"}}}})
				back := time.Now()
				time.Sleep(20 * time.Second)
				lavassert.True(t, "engines in the south get prompts again", c.lastSubmit("south", back) > 0)
			})
			lavassert.Equal(t, "failures", len(caller.failures), 0)
			for _, e := range c.engines {
				lavassert.Equal(t, "cold overloads", e.Counts().ColdOverloads, 0)
			}
		})
	})
	t.Run("a host is leaving according to the host list", func(t *testing.T) {
		runWithCluster(t, *clusterHosts, func(c *cluster) {
			caller := runUnderLoad(c, 6, func() {
				c.hostList.Set(lavendpoint.HostState{Name: "rack-0002", Leaving: true})
				out := time.Now()
				time.Sleep(20 * time.Second)
				took := c.engines["engine-0002"].Counts().LastSubmit.Sub(out)
				t.Logf("last new work %v after the host list showed it", took)
				lavassert.AtMost(t, "time to the last new work", took, bound)
			})
			lavassert.Equal(t, "failures", len(caller.failures), 0)
		})
	})
}
