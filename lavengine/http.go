package lavengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavresponse"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// Headers between an entry host and an engine.
const (
	// HeaderIncarnation carries the engine's incarnation in each stream, and in each reply
	// whose body has no field that shows what it answers.
	HeaderIncarnation = "Lav-Incarnation"
	// HeaderLastEventID carries the token offset from which a stream is resumed.
	HeaderLastEventID = "Last-Event-ID"
)

// maxReplyBytes is the maximum size of a response body. Streams are not limited.
const maxReplyBytes = 8 << 20

// HTTP is a client of an engine over HTTP.
type HTTP struct {
	client  *http.Client
	baseURL string
	// closeIdle closes idle connections. It is called when a connection was
	// silent, because the idle ones may have failed too.
	closeIdle func()
	// replies is what the replies and lines that are held may take together.
	replies *lavresponse.Budget
}

// NewHTTP returns a client of the engine at the URL base, such as
// http://10.0.0.1:8000. The HTTP client must not set a timeout, because a stream
// stays open until its answer ends. Engines share the connections of the HTTP client,
// and if that is one of lavresponse.NewClient, which also limits the heads of replies,
// the memory for them.
func NewHTTP(client *http.Client, base string) *HTTP {
	client = lavresponse.Checked(client)
	return &HTTP{client: client, baseURL: base, closeIdle: client.CloseIdleConnections, replies: lavresponse.BudgetOf(client)}
}

// Submit implements Engine.
func (h *HTTP) Submit(ctx context.Context, s Submission) (Stream, error) {
	s.Stream = true
	wait := StreamIdleTimeout + time.Duration(len(s.Prompt)/minUploadRate)*time.Second
	return h.openStream(ctx, lavstep.EngineSubmit, wait, s.ID, anyIncarnation, s.Offset, func(ctx context.Context) (*http.Response, error) {
		return h.send(ctx, lavstep.EngineSubmit, http.MethodPost, "/v1/completions", s, nil)
	})
}

// Resume implements Engine.
func (h *HTTP) Resume(ctx context.Context, id lavrequest.ID, incarnation Incarnation, offset int) (Stream, error) {
	header := http.Header{
		HeaderIncarnation: {string(incarnation)},
		HeaderLastEventID: {strconv.Itoa(offset)},
	}
	return h.openStream(ctx, lavstep.EngineResume, StreamIdleTimeout, id, incarnation, offset, func(ctx context.Context) (*http.Response, error) {
		return h.send(ctx, lavstep.EngineResume, http.MethodGet, streamPath(id), nil, header)
	})
}

// Cancel implements Engine.
func (h *HTTP) Cancel(ctx context.Context, id lavrequest.ID) error {
	return h.callNamed(ctx, lavstep.EngineCancel, http.MethodDelete, streamPath(id), nil, nil)
}

func streamPath(id lavrequest.ID) string {
	return "/v1/completions/" + url.PathEscape(string(id))
}

// Load implements Engine.
func (h *HTTP) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := h.call(ctx, lavstep.EngineLoad, http.MethodGet, "/load", nil, &report)
	return report, h.requireField(err, lavstep.EngineLoad, report.Incarnation != "")
}

// Events implements Engine.
func (h *HTTP) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := h.callNamed(ctx, lavstep.EngineEvents, http.MethodGet, fmt.Sprintf("/events?after=%d", after), nil, &events)
	return events, err
}

// Reserve implements Engine.
func (h *HTTP) Reserve(ctx context.Context, r Reservation) error {
	return h.callNamed(ctx, lavstep.EngineReserve, http.MethodPut, "/reservations/"+url.PathEscape(r.ID), r, nil)
}

// Release implements Engine.
func (h *HTTP) Release(ctx context.Context, id string) error {
	return h.callNamed(ctx, lavstep.EngineRelease, http.MethodDelete, "/reservations/"+url.PathEscape(id), nil, nil)
}

// PrefillBody is the request body of a prefill call.
type PrefillBody struct {
	Reservation string
	Checkpoint  string
	Segment     string
}

// CheckpointBody is the body of checkpoint calls. State is set in the response
// to an export and in the request of an import.
type CheckpointBody struct {
	Checkpoint string
	State      []byte `json:",omitempty"`
}

// Prefill implements Engine.
func (h *HTTP) Prefill(ctx context.Context, reservation, checkpoint, segment string) (string, error) {
	var created CheckpointBody
	body := PrefillBody{Reservation: reservation, Checkpoint: checkpoint, Segment: segment}
	err := h.call(ctx, lavstep.GangSegment, http.MethodPost, "/prefill", body, &created)
	return created.Checkpoint, h.requireField(err, lavstep.GangSegment, created.Checkpoint != "")
}

// Export implements Engine.
func (h *HTTP) Export(ctx context.Context, checkpoint string) ([]byte, error) {
	var exported CheckpointBody
	err := h.call(ctx, lavstep.EngineExport, http.MethodGet, "/checkpoints/"+url.PathEscape(checkpoint), nil, &exported)
	return exported.State, h.requireField(err, lavstep.EngineExport, exported.State != nil)
}

// Import implements Engine.
func (h *HTTP) Import(ctx context.Context, state []byte) (string, error) {
	var created CheckpointBody
	err := h.call(ctx, lavstep.EngineImport, http.MethodPost, "/checkpoints", CheckpointBody{State: state}, &created)
	return created.Checkpoint, h.requireField(err, lavstep.EngineImport, created.Checkpoint != "")
}

// Order implements Engine.
func (h *HTTP) Order(ctx context.Context, o Order) (OrderReport, error) {
	var report OrderReport
	err := h.call(ctx, lavstep.EngineOrder, http.MethodPut, "/order", o, &report)
	return report, h.requireField(err, lavstep.EngineOrder, report.Incarnation != "")
}

// call makes a call whose result has a field that each reply to it has.
func (h *HTTP) call(ctx context.Context, step lavstep.Step, method, path string, in, out any) error {
	response, err := h.send(ctx, step, method, path, in, nil)
	if err != nil {
		return err
	}
	return h.readReply(step, response, out)
}

// callNamed is call without such a field: the header must name the engine's incarnation.
func (h *HTTP) callNamed(ctx context.Context, step lavstep.Step, method, path string, in, out any) error {
	response, err := h.send(ctx, step, method, path, in, nil)
	if err != nil {
		return err
	}
	if err := checkIncarnation(response, anyIncarnation); err != nil {
		_ = response.Body.Close()
		return lavstep.Wrap(err, step, h.baseURL)
	}
	return h.readReply(step, response, out)
}

// readReply reads the body of a success into out and closes it.
func (h *HTTP) readReply(step lavstep.Step, response *http.Response, out any) error {
	defer func() { _ = response.Body.Close() }()
	reply, err := h.replies.ReadAll(response.Body, maxReplyBytes)
	if err == nil {
		err = decodeReply(reply.Bytes, out)
	}
	reply.Release()
	return lavstep.Wrap(errors.Mark(err, ErrBroken), step, h.baseURL)
}

// decodeReply decodes the body of a success. A call without a result, whose out is nil, has an empty body or
// any JSON object.
func decodeReply(text []byte, out any) error {
	if out != nil {
		return json.Unmarshal(text, out)
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil
	}
	var object map[string]any
	return json.Unmarshal(text, &object)
}

// requireField returns the error of a call, or ErrBroken if its result lacks the field that each reply to such a
// call has.
func (h *HTTP) requireField(err error, step lavstep.Step, present bool) error {
	if err != nil || present {
		return err
	}
	return lavstep.Wrap(errors.Mark(errors.New("success is no reply to this call"), ErrBroken), step, h.baseURL)
}

// send makes one call and checks its status. The request body can be read only
// once, so that the transport doesn't retry the request on its own.
func (h *HTTP) send(ctx context.Context, step lavstep.Step, method, path string, in any, header http.Header) (*http.Response, error) {
	if err := lavstep.Failpoint(ctx, step, h.baseURL); err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	request, err := newRequest(ctx, method, h.baseURL+path, in)
	if err != nil {
		return nil, lavstep.Wrap(errors.Mark(err, ErrNotSent), step, h.baseURL)
	}
	maps.Copy(request.Header, header)
	response, err := h.client.Do(request)
	if err != nil {
		return nil, lavstep.Wrap(classifyTransportError(err), step, h.baseURL)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return nil, lavstep.Wrap(errors.Wrapf(statusError(response.StatusCode), "status %d: %s", response.StatusCode, bytes.TrimSpace(text)), step, h.baseURL)
}

func newRequest(ctx context.Context, method, target string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, target, http.NoBody)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, target, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func statusError(status int) error {
	switch status {
	case http.StatusNotFound, http.StatusGone:
		return ErrGone
	case http.StatusPreconditionFailed:
		return ErrFenced
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrRefused
	default:
		return ErrBroken
	}
}

// classifyTransportError marks dial errors as ErrNotSent, because nothing can
// have been sent before the connection was open. It marks all other errors as
// ErrBroken.
func classifyTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return errors.Mark(err, ErrBroken)
}
