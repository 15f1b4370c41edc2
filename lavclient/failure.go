package lavclient

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Failure is the error for a prompt that was refused or not answered completely.
type Failure struct {
	// Status is the HTTP status. It is 200 if the error occurred after the answer
	// had started.
	Status  int
	Outcome lavrequest.Outcome
	// RetryAfter is how long to wait before a retry. It is zero if the entry host
	// doesn't suggest a retry.
	RetryAfter time.Duration
	Message    string
}

// Error returns the status, outcome and message.
func (f *Failure) Error() string {
	return fmt.Sprintf("status %d, outcome %v: %s", f.Status, f.Outcome, f.Message)
}

// maxErrorBodyBytes limits how much of the body of an error response is read.
const maxErrorBodyBytes = 64 << 10

// errorBody holds the fields of the error format of entry hosts that are used.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
	} `json:"error"`
}

// parseFailure converts an error response to a Failure. If the body can't be read, the
// message is the read error.
func parseFailure(response *http.Response) *Failure {
	f := &Failure{Status: response.StatusCode, RetryAfter: parseRetryAfter(response.Header)}
	f.Outcome, _ = lavrequest.ParseOutcome(response.Header.Get(lavrequest.HeaderOutcome))
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		f.Message = err.Error()
		return f
	}
	f.Message = parseMessage(data)
	return f
}

// parseMessage returns the message in an error body, or the whole body if it doesn't
// have the expected format.
func parseMessage(data []byte) string {
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Message == "" {
		return string(data)
	}
	return body.Error.Message
}
