package lavresponse

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// The statuses that a response may have.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error for a head that net/http accepts although what follows it can't be told
// to be a response. An informational response has no body, so that another status below 200 would
// make the body look like the next response.
func CheckHead(response *http.Response) error {
	status := response.StatusCode
	switch {
	case status < minStatus || status > maxStatus:
		return errors.Newf("response has the status %d", status)
	case status == http.StatusSwitchingProtocols:
		return errors.New("response switches to another protocol, which was not requested")
	default:
		return checkFieldNames(response.Header)
	}
}
