package lavdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavpause"
)

// Rates of the load in requests per second, summed over all customers.
const (
	promptsPerSecond = 50
	ordersPerSecond  = 12
	lookupsPerSecond = 8
	// resendShare is the fraction of orders that are sent twice with the same
	// idempotency key.
	resendShare = 0.4
)

// loadGenerator sends prompts, orders and lookups on behalf of all customers.
type loadGenerator struct {
	collector *reportCollector
	transport *recordingTransport
	callers   []*lavload.Caller
	prompts   *promptSource
	inFlight  sync.WaitGroup
}

// newLoadGenerator returns a generator with one client for each customer.
func newLoadGenerator(seed uint64, collector *reportCollector, transport *recordingTransport, entryAddrs []netip.AddrPort) *loadGenerator {
	generator := &loadGenerator{collector: collector, transport: transport, prompts: newPromptSource(seed)}
	for i := range customerCount {
		client := lavclient.New(lavclient.Settings{
			Seeds:         entryAddrs,
			FailureDomain: failureDomains[i%len(failureDomains)],
			Credential:    credential(i),
		}, &http.Client{Transport: transport})
		generator.callers = append(generator.callers, &lavload.Caller{Client: client, Want: expectedAnswer})
	}
	return generator
}

// expectedAnswer returns the text that the fake engines answer to a prompt.
func expectedAnswer(p *lavclient.Prompt) string { return lavfake.AnswerText(p.Text, 0, p.MaxTokens) }

// customerName returns the name of the i-th customer.
func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

// credential returns the API credential of the i-th customer.
func credential(i int) string { return fmt.Sprintf("secret-of-customer-%d", i) }

// customerWeight returns the weight of the i-th customer, which is its Share in
// the release and its part of the load. The first three customers have 4 times
// the weight of the others.
func customerWeight(i int) float64 {
	if i < 3 {
		return 4
	}
	return 1
}

// run sends requests with exponentially distributed pauses until the context
// ends, then waits until all requests in flight have ended.
func (g *loadGenerator) run(ctx context.Context, random *rand.Rand) {
	defer g.inFlight.Wait()
	callCtx := context.WithoutCancel(ctx)
	const requestsPerSecond = promptsPerSecond + ordersPerSecond + lookupsPerSecond
	for {
		pause := time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second))
		if lavpause.For(ctx, pause) != nil {
			return
		}
		caller := g.callers[randomCustomer(random)]
		switch draw := random.Float64() * requestsPerSecond; {
		case draw < promptsPerSecond:
			prompt := g.prompts.next(random)
			g.inFlight.Go(func() { g.collector.add(caller.Prompt(callCtx, prompt, time.Now())) })
		case draw < promptsPerSecond+ordersPerSecond:
			resend := random.Float64() < resendShare
			g.inFlight.Go(func() { g.sendOrderWithResend(callCtx, caller, resend) })
		default:
			g.inFlight.Go(func() { g.sendLookup(callCtx, caller) })
		}
	}
}

// randomCustomer draws the index of a customer in proportion to its weight.
func randomCustomer(random *rand.Rand) int {
	totalWeight := 0.0
	for i := range customerCount {
		totalWeight += customerWeight(i)
	}
	draw := random.Float64() * totalWeight
	for i := range customerCount {
		if draw -= customerWeight(i); draw < 0 {
			return i
		}
	}
	return 0
}
