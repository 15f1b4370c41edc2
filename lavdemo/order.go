package lavdemo

import (
	"context"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// serviceTimeout limits the time of an order or a lookup.
const serviceTimeout = 4 * time.Second

// ordersPath is the path of the order service at an entry host.
const ordersPath = "/services/" + serviceName + "/orders"

// sendOrderWithResend sends one order. With resend, it sends a duplicate with
// the same idempotency key at the same time, as an impatient caller does.
func (g *loadGenerator) sendOrderWithResend(ctx context.Context, caller *lavload.Caller, resend bool) {
	key := lavclient.NewKey()
	if resend {
		g.inFlight.Go(func() { g.sendOrder(ctx, caller, key) })
	}
	g.collector.update(func(r *Report) { r.OrdersSent++ })
	g.sendOrder(ctx, caller, key)
}

// sendOrder sends an order and records its result. The body is the idempotency
// key, so that the order book can count executions by key.
func (g *loadGenerator) sendOrder(ctx context.Context, caller *lavload.Caller, key string) {
	call := lavclient.Call{Path: ordersPath, Body: []byte(key), Kind: lavrequest.KindOrder, Key: key, Timeout: serviceTimeout}
	result := caller.Service(ctx, call, time.Now())
	if result.Outcome == lavrequest.OutcomeDone {
		g.transport.update(func() { g.transport.ordersDone[key] = true })
	}
	g.collector.add(result)
}

// sendLookup sends one read-only call to the order service and records its
// result.
func (g *loadGenerator) sendLookup(ctx context.Context, caller *lavload.Caller) {
	call := lavclient.Call{Method: http.MethodGet, Path: ordersPath, Kind: lavrequest.KindLookup, Timeout: serviceTimeout}
	g.collector.add(caller.Service(ctx, call, time.Now()))
}
