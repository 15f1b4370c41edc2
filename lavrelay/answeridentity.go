package lavrelay

import (
	"net/http"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
)

// matchesCall reports whether a response is the one to this call. Endpoints echo the request
// ID. A response without an ID ends the wait for the right one only as the first on its connection, and
// one of unclear identity ends it in any case.
func (t *task) matchesCall(response *http.Response, fresh bool) bool {
	head := platform.DecodeResponse(response.StatusCode, response.Header)
	return head.Unclear || head.ID == t.call.ID || head.ID == "" && fresh
}

// checkIdentity returns an error for a response that says nothing about this call: one that
// doesn't name it, or a success without the endpoint's stamp. The request may have run.
func (t *task) checkIdentity(status int, head platform.Response) error {
	switch {
	case head.Unclear || head.ID != t.call.ID:
		return errors.Mark(errors.Newf("response %d names no request", status), lavconn.ErrResponseLost)
	case status < http.StatusMultipleChoices && !head.Stamped:
		return errors.Mark(errors.Newf("response %d bears no stamp", status), lavconn.ErrResponseLost)
	default:
		return nil
	}
}
