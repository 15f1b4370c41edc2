package lavconn

import (
	"net/http"

	"lavenderrack.example/lavenderrack/lavresponse"

	"github.com/cockroachdb/errors"
)

// checkHead returns an error for a head that net/http accepts although what follows it can't be told
// to be the response of an endpoint.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 || response.ProtoMinor != 1 {
		// In HTTP/1.0 there are no chunks, so that they would count as a part of the body.
		return errors.Newf("response is %s", response.Proto)
	}
	return lavresponse.CheckHead(response)
}
