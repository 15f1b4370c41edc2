package lavrelay

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

// Times of reservations.
const (
	// holdFor is the lease of a reservation, short enough that one whose host
	// has died doesn't stay long.
	holdFor = 3500 * time.Millisecond
	// renewEvery leaves time for two renewals to be lost.
	renewEvery   = time.Second
	orderTimeout = 500 * time.Millisecond
)

var errNoMemory = errors.New("endpoint has no memory to reserve")

// hold is the memory that is reserved for one attempt.
type hold struct {
	task    *task
	places  []reservation
	stop    context.CancelFunc
	renewed sync.WaitGroup
}

// reservation is memory at one helper.
type reservation struct {
	endpoint lavconfig.Endpoint
	ticket   string
	tokens   int
}

// ticket returns the ticket at the helper of that number, or "".
func (h *hold) ticket(helper int) string {
	if helper < len(h.places) {
		return h.places[helper].ticket
	}
	return ""
}

// reserve reserves the memory that a plan needs at helpers, all or nothing.
func (t *task) reserve(ctx context.Context, c *choice) (*hold, error) {
	h := &hold{task: t, stop: func() {}}
	for i, tokens := range c.plan.Reserve {
		h.places = append(h.places, reservation{
			endpoint: c.helpers[i],
			ticket:   t.call.ID + "-" + strconv.Itoa(len(t.trace.endpoints)) + "-" + strconv.Itoa(i),
			tokens:   tokens,
		})
	}
	if len(h.places) == 0 {
		return h, nil
	}
	if err := h.takeAll(ctx); err != nil {
		t.trace.fail(err)
		h.release()
		return nil, err
	}
	renewing, stop := context.WithCancel(ctx)
	h.stop = stop
	h.renewed.Go(func() { h.renew(renewing) })
	return h, nil
}

// takeAll reserves at all helpers at a time and returns the first error.
func (h *hold) takeAll(ctx context.Context) error {
	failures := make(chan error, len(h.places))
	for _, p := range h.places {
		go func() { failures <- h.take(ctx, p) }()
	}
	var first error
	for range h.places {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// take reserves, or renews, at one helper.
func (h *hold) take(ctx context.Context, p reservation) error {
	body, err := platform.EncodeReserve(p.ticket, p.tokens, h.task.relay.holdFor)
	if err != nil {
		return lavstep.Wrap(err, lavstep.GangReserve, p.endpoint.ID)
	}
	status, err := h.order(ctx, p.endpoint, body)
	if err == nil && status != http.StatusOK {
		err = errNoMemory
	}
	if err != nil {
		h.task.relay.fleet.Doubt(p.endpoint.Incarnation())
	}
	return lavstep.Wrap(err, lavstep.GangReserve, p.endpoint.ID)
}

// order sends one order and returns the status of its answer.
func (h *hold) order(ctx context.Context, e lavconfig.Endpoint, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request := lavconn.Request{
		Method:   http.MethodPost,
		Target:   platform.PathOrder,
		HostName: e.Address.String(),
		Header:   platform.OrderHeader(e.ID),
		Body:     body,
	}
	answer, err := h.task.relay.pool.Do(ctx, e.Address, request, func(*http.Response, bool) bool { return true })
	if err != nil {
		return 0, err
	}
	head := platform.DecodeAnswer(answer.Status, answer.Header)
	answer.Discard(head.KeepIdle)
	return answer.Status, nil
}

// renew keeps the reservations until the context ends.
func (h *hold) renew(ctx context.Context) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := h.takeAll(ctx); err != nil && ctx.Err() == nil {
			h.task.relay.logger.Warn().Str("Request", h.task.call.ID).Err(err).Msg("reservation not renewed")
		}
	}
}

// release ends the reservations. One that can't be ended lapses by itself.
func (h *hold) release() {
	h.stop()
	h.renewed.Wait()
	for _, p := range h.places {
		body, err := platform.EncodeRelease(p.ticket)
		if err != nil {
			h.task.relay.logger.Error().Str("Request", h.task.call.ID).Err(err).Msg("order not encoded")
			continue
		}
		h.task.relay.running.Go(func() { h.end(p, body) })
	}
}

// end orders one release, also for a request whose caller has left.
func (h *hold) end(p reservation, body []byte) {
	if _, err := h.order(context.Background(), p.endpoint, body); err != nil {
		h.task.relay.logger.Warn().Str("Request", h.task.call.ID).Err(err).Msg("reservation not released")
	}
}
