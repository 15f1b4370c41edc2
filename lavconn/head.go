package lavconn

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// The statuses that a response may have.
const (
	minStatus = 100
	maxStatus = 599
)

// checkHead returns an error for a header that net/http accepts although what follows it can't be
// told to be a response. An informational response has no body, so that another status below 200
// would make the body look like the next response.
func checkHead(response *http.Response) error {
	status := response.StatusCode
	switch {
	case response.ProtoMajor != 1 || response.ProtoMinor != 1:
		// In HTTP/1.0 there are no chunks, so that they would count as a part of the body.
		return errors.Newf("response is %s", response.Proto)
	case status < minStatus || status > maxStatus:
		return errors.Newf("response has the status %d", status)
	case status == http.StatusSwitchingProtocols:
		return errors.New("response switches to another protocol, which was not requested")
	}
	for name := range response.Header {
		if !isFieldName(name) {
			return errors.Newf("response has a header named %q", name)
		}
	}
	return nil
}

// fieldNameSymbols are the characters of header names other than letters and digits.
const fieldNameSymbols = "!#$%&'*+-.^_`|~"

// isFieldName reports whether a text can be the name of a header.
func isFieldName(name string) bool {
	return name != "" && strings.IndexFunc(name, isOutsideFieldName) < 0
}

func isOutsideFieldName(r rune) bool {
	isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	isDigit := '0' <= r && r <= '9'
	return !isLetter && !isDigit && !strings.ContainsRune(fieldNameSymbols, r)
}
