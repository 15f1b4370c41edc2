package lavstore

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// maxReplyBytes is the maximum size of a reply, and of all that are held together.
const maxReplyBytes = 24 * MaxValueBytes

// invalidSession is part of the response to a write whose lease has ended.
const invalidSession = "invalid session"

// tryBaseURLs calls the base URLs in order until one responds. A write proceeds
// to the next base URL only if the previous one cannot have executed it.
func (h *HTTP) tryBaseURLs(ctx context.Context, method, path string, query url.Values, value []byte, write bool) ([]byte, http.Header, error) {
	err := ErrUnavailable
	for _, baseURL := range h.baseURLs {
		var body []byte
		var header http.Header
		body, header, err = h.call(ctx, method, baseURL+path+"?"+query.Encode(), value, write)
		if !errors.Is(err, ErrUnavailable) {
			return body, header, err
		}
	}
	return nil, nil, err
}

// callError classifies an error. After a call that exceeded its deadline it also
// closes the idle connections, because the cause that broke one connection may
// have broken the others.
func (h *HTTP) callError(ctx context.Context, err error, write bool) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		h.client.CloseIdleConnections()
	}
	return classify(err, write)
}

func (h *HTTP) call(ctx context.Context, method, target string, value []byte, write bool) ([]byte, http.Header, error) {
	// GetBody is not set: the transport must not replay a write on a new
	// connection.
	request, err := http.NewRequestWithContext(ctx, method, target, io.NopCloser(bytes.NewReader(value)))
	if err != nil {
		return nil, nil, err
	}
	request.ContentLength = int64(len(value))
	if len(value) == 0 {
		request.Body = http.NoBody
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, nil, h.callError(ctx, err, write)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := h.replies.ReadAll(response.Body, maxReplyBytes)
	defer reply.Release()
	if err != nil {
		return nil, nil, h.callError(ctx, err, write)
	}
	body := reply.Bytes
	switch response.StatusCode {
	case http.StatusOK:
		return body, response.Header, nil
	case http.StatusNotFound:
		return nil, response.Header, ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, nil, ErrUnavailable
	default:
		if write && bytes.Contains(body, []byte(invalidSession)) {
			return nil, nil, ErrLeaseGone
		}
		if write {
			return nil, nil, ErrOutcomeUnknown
		}
		return nil, nil, ErrUnavailable
	}
}

// classify distinguishes a write whose reply was lost from a call that had no
// effect.
func classify(err error, write bool) error {
	if write && !dialFailed(err) {
		return errors.Mark(err, ErrOutcomeUnknown)
	}
	return errors.Mark(err, ErrUnavailable)
}
