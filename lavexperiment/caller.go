package lavexperiment

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// call sends the request of an arrival with lavclient, the client library that
// callers embed, and returns the result.
func (sys *System) call(a lavscenario.Arrival) Result {
	caller := lavload.Caller{Client: sys.clients[clientKey(a.Customer, sys.domain(a.Domain))], Want: expectedAnswer}
	r := Result{Arrival: a}
	if a.Kind.IsPrompt() {
		r.Result = caller.Prompt(sys.ctx, promptOf(a), time.Now())
	} else {
		r.Result = caller.Service(sys.ctx, callOf(a), time.Now())
	}
	return r
}

// expectedAnswer returns the expected answer to a prompt.
func expectedAnswer(p *lavclient.Prompt) string { return lavfake.AnswerText(p.Text, 0, p.MaxTokens) }

// promptOf returns the client's prompt for an arrival.
func promptOf(a lavscenario.Arrival) lavclient.Prompt {
	return lavclient.Prompt{Model: a.Model, Text: a.Prompt(), MaxTokens: a.MaxTokens, Kind: a.Kind, Timeout: a.Timeout}
}

// callOf returns the client's call for an arrival at the plain service.
func callOf(a lavscenario.Arrival) lavclient.Call {
	c := lavclient.Call{Kind: a.Kind, Timeout: a.Timeout, Body: []byte(orderBody(a))}
	if a.Kind == lavrequest.KindOrder {
		c.Path = "/services/" + serviceName + "/orders"
		c.Key = orderBody(a)
	} else {
		c.Path = "/services/" + serviceName + "/lookups"
	}
	return c
}

// orderBody returns the body of an order, which is also its idempotency key.
func orderBody(a lavscenario.Arrival) string { return fmt.Sprintf("order %d", a.Number) }
