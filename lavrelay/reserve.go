package lavrelay

import (
	"context"
	"net/http"
	"strconv"
	"sync"
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
	reservationLease = 3500 * time.Millisecond
	// renewInterval is short enough that a reservation survives two lost renewals.
	renewInterval = time.Second
	orderTimeout  = 500 * time.Millisecond
)

var errNoKVSpace = errors.New("endpoint has no KV cache space to reserve")

// reservationSet is the KV cache space that is reserved for one attempt.
type reservationSet struct {
	task         *task
	reservations []reservation
	stop         context.CancelFunc
	renewal      sync.WaitGroup
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
	h := &reservationSet{task: t, stop: func() {}}
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
	if err := h.reserveAll(ctx); err != nil {
		t.trace.recordError(err)
		h.release()
		return nil, err
	}
	renewCtx, stop := context.WithCancel(ctx)
	h.stop = stop
	h.renewal.Go(func() { h.renew(renewCtx) })
	return h, nil
}

// reserveAll reserves or renews at all helpers in parallel and returns the first error.
func (h *reservationSet) reserveAll(ctx context.Context) error {
	failures := make(chan error, len(h.reservations))
	for _, p := range h.reservations {
		go func() { failures <- h.reserveOne(ctx, p) }()
	}
	var first error
	for range h.reservations {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// reserveOne reserves or renews at one helper.
func (h *reservationSet) reserveOne(ctx context.Context, p reservation) error {
	body, err := platform.EncodeReserve(p.ticket, p.tokens, time.Duration(h.task.relay.reservationLease.Load()))
	if err != nil {
		return lavstep.Wrap(err, lavstep.GangReserve, p.endpoint.ID)
	}
	status, err := h.sendOrder(ctx, p.endpoint, body)
	if err == nil && status != http.StatusOK {
		err = errNoKVSpace
	}
	if err != nil {
		h.task.relay.fleet.BackOff(p.endpoint.Incarnation())
	}
	return lavstep.Wrap(err, lavstep.GangReserve, p.endpoint.ID)
}

// sendOrder posts a control order, such as a reservation or its release, to an endpoint.
// It returns the HTTP status of the response.
func (h *reservationSet) sendOrder(ctx context.Context, e lavconfig.Endpoint, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request := lavconn.Request{
		Method:   http.MethodPost,
		Target:   platform.PathOrder,
		HostName: e.Address.String(),
		Header:   platform.OrderHeader(e.ID),
		Body:     body,
	}
	response, err := h.task.relay.pool.Do(ctx, e.Address, request, namesNoRequest)
	if err != nil {
		return 0, err
	}
	head := platform.DecodeResponse(response.Status, response.Header)
	h.task.relay.recordStatements(e, head)
	response.Discard(head.IdleTimeout)
	return response.Status, nil
}

// namesNoRequest reports whether a response can belong to an order or a question, which have no request ID.
// One that names a request is a late or repeated response to that.
func namesNoRequest(response *http.Response, _ bool) bool {
	head := platform.DecodeResponse(response.StatusCode, response.Header)
	return head.ID == "" && !head.Unclear
}

// renew renews the reservations until the context ends.
func (h *reservationSet) renew(ctx context.Context) {
	_ = lavpause.Every(ctx, renewInterval, func() {
		if err := h.reserveAll(ctx); err != nil && ctx.Err() == nil {
			h.task.relay.logger.Warn().Str("Request", h.task.call.ID).Err(err).Msg("could not renew reservation")
		}
	})
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
