package lavconn

import (
	"net/http"
	"strings"

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
	if err := lavresponse.CheckHead(response); err != nil {
		return err
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
