package lavrelay

import (
	"context"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

const (
	// controlTimeout is how long an endpoint may take to answer an order or a question.
	controlTimeout = 500 * time.Millisecond
	// maxControlBytes bounds the size of the answer.
	maxControlBytes = 64 << 10
)

// errNoControlAnswer means that bytes are no answer to an order or a question.
var errNoControlAnswer = errors.New("answer is none to an order or a question")

// controlAnswer is the answer of an endpoint to an order or a question. It names no request, so that only
// its content shows what it answers.
type controlAnswer struct {
	status int
	isJSON bool
	body   []byte
}

// askEndpoint sends an order or a question to an endpoint and reads the whole answer.
func (r *Relay) askEndpoint(ctx context.Context, e lavconfig.Endpoint, request lavconn.Request) (controlAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := r.pool.Do(ctx, e.Address, request, namesNoRequest)
	if err != nil {
		return controlAnswer{}, err
	}
	head := platform.DecodeResponse(response.Status, response.Header)
	defer func() { response.Close(head.IdleTimeout) }()
	r.recordStatements(e, head)
	body, err := io.ReadAll(io.LimitReader(response, maxControlBytes))
	if err != nil {
		return controlAnswer{}, err
	}
	return controlAnswer{status: response.Status, isJSON: head.JSON, body: body}, nil
}

// namesNoRequest reports whether a response can belong to an order or a question, which have no request ID.
// One that names a request is a late or repeated response to that.
func namesNoRequest(response *http.Response, _ bool) bool {
	head := platform.DecodeResponse(response.StatusCode, response.Header)
	return head.ID == "" && !head.Unclear
}
