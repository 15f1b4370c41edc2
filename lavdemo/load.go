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

// Rates of the load, in requests a second over all customers.
const (
	promptRate = 50
	orderRate  = 12
	lookupRate = 8
	// resendShare of the orders are sent a second time with the same key.
	resendShare = 0.4
)

// load sends prompts, orders and lookups, as customers do.
type load struct {
	counter *counter
	wire    *wire
	callers []*lavload.Caller
	texts   *texts
	running sync.WaitGroup
}

func newLoad(seed uint64, c *counter, w *wire, seeds []netip.AddrPort) *load {
	l := &load{counter: c, wire: w, texts: newTexts(seed)}
	for i := range customerCount {
		client := lavclient.New(lavclient.Settings{
			Seeds:         seeds,
			FailureDomain: failureDomains[i%len(failureDomains)],
			Credential:    credential(i),
		}, &http.Client{Transport: w})
		l.callers = append(l.callers, &lavload.Caller{Client: client, Want: rightAnswer})
	}
	return l
}

// rightAnswer is what the stand-ins answer to a prompt.
func rightAnswer(p *lavclient.Prompt) string { return lavfake.AnswerText(p.Text, 0, p.MaxTokens) }

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }

func credential(i int) string { return fmt.Sprintf("secret-of-customer-%d", i) }

// share is the weight of a customer: a few are large.
func share(i int) float64 {
	if i < 3 {
		return 4
	}
	return 1
}

// run sends requests at random times until the context ends, then waits for
// their answers.
func (l *load) run(ctx context.Context, random *rand.Rand) {
	defer l.running.Wait()
	calls := context.WithoutCancel(ctx)
	const rate = promptRate + orderRate + lookupRate
	for {
		pause := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if lavpause.For(ctx, pause) != nil {
			return
		}
		caller := l.callers[pickCustomer(random)]
		switch at := random.Float64() * rate; {
		case at < promptRate:
			p := l.texts.draw(random)
			l.running.Go(func() { l.counter.add(caller.Prompt(calls, p, time.Now())) })
		case at < promptRate+orderRate:
			resend := random.Float64() < resendShare
			l.running.Go(func() { l.order(calls, caller, resend) })
		default:
			l.running.Go(func() { l.lookup(calls, caller) })
		}
	}
}

func pickCustomer(random *rand.Rand) int {
	sum := 0.0
	for i := range customerCount {
		sum += share(i)
	}
	at := random.Float64() * sum
	for i := range customerCount {
		if at -= share(i); at < 0 {
			return i
		}
	}
	return 0
}
