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

// call sends one arrival, as the client does that callers embed, and notes what
// comes back.
func (w *System) call(a lavscenario.Arrival) Result {
	caller := lavload.Caller{Client: w.clients[clientKey(a.Customer, w.domain(a.Domain))], Want: wanted}
	r := Result{Arrival: a}
	if a.Kind.IsPrompt() {
		r.Result = caller.Prompt(w.ctx, promptOf(a), time.Now())
	} else {
		r.Result = caller.Service(w.ctx, callOf(a), time.Now())
	}
	return r
}

// wanted returns the right answer to a prompt.
func wanted(p *lavclient.Prompt) string { return lavfake.AnswerText(p.Text, 0, p.MaxTokens) }

func promptOf(a lavscenario.Arrival) lavclient.Prompt {
	return lavclient.Prompt{Model: a.Model, Text: a.Prompt(), MaxTokens: a.MaxTokens, Kind: a.Kind, Timeout: a.Timeout}
}

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

func orderBody(a lavscenario.Arrival) string { return fmt.Sprintf("order %d", a.Number) }
