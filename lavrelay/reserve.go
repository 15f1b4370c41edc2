package lavrelay

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavpause"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

// Times for reservations.
const (
	// reservationLease is the lease of a reservation. It is short so that the
	// reservations of a failed host expire soon.
	reservationLease = 2500 * time.Millisecond
	// renewInterval is short enough that a reservation survives two lost renewals.
	renewInterval = 800 * time.Millisecond
)

var errNoKVSpace = errors.New("endpoint has no KV cache space to reserve")

// reservationSet is the KV cache space that is reserved for one attempt.
type reservationSet struct {
	task         *task
	primary      lavconfig.Endpoint
	reservations []reservation
	// heard is true if the primary endpoint has sent an event since the last renewal.
	heard   atomic.Bool
	stop    context.CancelFunc
	renewal sync.WaitGroup
}

// reservation is KV cache space at one helper.
type reservation struct {
	endpoint lavconfig.Endpoint
	ticket   string
	tokens   int
}

// ticket returns the ticket that identifies the reservation at a helper, given by the
// helper's index, or "" if there is none.
func (h *reservationSet) ticket(helper int) string {
	if helper < len(h.reservations) {
		return h.reservations[helper].ticket
	}
	return ""
}

// reserve reserves the KV cache space that a plan needs at all helpers, or at none.
func (t *task) reserve(ctx context.Context, c *placement) (*reservationSet, error) {
	h := &reservationSet{task: t, primary: c.endpoint, stop: func() {}}
	for i, tokens := range c.plan.Reserve {
		h.reservations = append(h.reservations, reservation{
			endpoint: c.helpers[i],
			ticket:   t.call.ID + "-" + strconv.Itoa(len(t.trace.endpoints)) + "-" + strconv.Itoa(i),
			tokens:   tokens,
		})
	}
	if len(h.reservations) == 0 {
		return h, nil
	}
	if err := h.reserveAll(ctx, true); err != nil {
		t.trace.recordError(err)
		h.release()
		return nil, err
	}
	renewCtx, stop := context.WithCancel(ctx)
	h.stop = stop
	h.renewal.Go(func() { h.renew(renewCtx) })
	return h, nil
}

// reserveAll reserves for the first time, or renews, at all helpers in parallel and returns the first
// error.
func (h *reservationSet) reserveAll(ctx context.Context, first bool) error {
	failures := make(chan error, len(h.reservations))
	for _, p := range h.reservations {
		go func() { failures <- h.reserveOne(ctx, p, first) }()
	}
	var failure error
	for range h.reservations {
		if err := <-failures; err != nil && failure == nil {
			failure = err
		}
	}
	return failure
}

// reserveOne reserves for the first time, or renews, at one helper.
func (h *reservationSet) reserveOne(ctx context.Context, p reservation, first bool) error {
	body, err := platform.EncodeReserve(p.ticket, p.tokens, time.Duration(h.task.relay.reservationLease.Load()))
	if err != nil {
		return lavstep.Wrap(err, lavstep.GangReserve, p.endpoint.ID)
	}
	// On a connection that is kept, an answer may be a late or repeated one to an earlier order.
	answer, err := h.task.relay.askEndpoint(ctx, p.endpoint, orderRequest(p.endpoint, body, first))
	if err == nil {
		err = checkReserved(answer)
	}
	if err != nil {
		h.task.relay.fleet.BackOff(p.endpoint.Incarnation())
	}
	return lavstep.Wrap(err, lavstep.GangReserve, p.endpoint.ID)
}

// checkReserved returns an error unless an answer grants a reservation.
func checkReserved(a controlAnswer) error {
	if a.status != http.StatusOK {
		return errNoKVSpace
	}
	if !a.isJSON {
		return errors.Mark(errNoControlAnswer, lavconn.ErrResponseLost)
	}
	return errors.Mark(platform.CheckReserved(a.body), lavconn.ErrResponseLost)
}

// orderRequest returns the request for a control order, such as a reservation or its release.
func orderRequest(e lavconfig.Endpoint, body []byte, onNewConnection bool) lavconn.Request {
	return lavconn.Request{
		Method:        http.MethodPost,
		Target:        platform.PathOrder,
		HostName:      e.Address.String(),
		Header:        platform.OrderHeader(e.ID),
		Body:          body,
		NewConnection: onNewConnection,
	}
}

// sendOrder posts a control order to an endpoint. It returns the HTTP status of the response.
func (h *reservationSet) sendOrder(ctx context.Context, e lavconfig.Endpoint, body []byte) (int, error) {
	answer, err := h.task.relay.askEndpoint(ctx, e, orderRequest(e, body, false))
	return answer.status, err
}

// renew renews the reservations until the context ends, as long as the primary endpoint is alive: the
// request has ended with an endpoint that is not, although its connection may stay open.
func (h *reservationSet) renew(ctx context.Context) {
	_ = lavpause.Every(ctx, renewInterval, func() {
		err := h.checkPrimary(ctx)
		if err == nil {
			err = h.reserveAll(ctx, false)
		}
		if err != nil && ctx.Err() == nil {
			h.task.relay.logger.Warn().Str("Request", h.task.call.ID).Err(err).Msg("could not renew reservation")
		}
	})
}

// checkPrimary returns an error if the primary endpoint has sent no event since the last renewal and
// doesn't answer.
func (h *reservationSet) checkPrimary(ctx context.Context) error {
	if h.heard.Swap(false) {
		return nil
	}
	_, err := h.task.relay.fetchReport(ctx, h.primary)
	return err
}

// release ends the reservations in the background. If that fails, their leases expire.
func (h *reservationSet) release() {
	h.stop()
	h.renewal.Wait()
	for _, p := range h.reservations {
		body, err := platform.EncodeRelease(p.ticket)
		if err != nil {
			h.task.relay.logger.Error().Str("Request", h.task.call.ID).Err(err).Msg("could not encode the release of a reservation")
			continue
		}
		h.task.relay.background.Go(func() { h.sendRelease(p, body) })
	}
}

// sendRelease ends one reservation. It also runs if the call's context has ended.
func (h *reservationSet) sendRelease(p reservation, body []byte) {
	if _, err := h.sendOrder(context.Background(), p.endpoint, body); err != nil {
		h.task.relay.logger.Warn().Str("Request", h.task.call.ID).Err(err).Msg("could not release reservation")
	}
}
