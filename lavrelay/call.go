package lavrelay

import (
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

// Call is a caller's request, read whole and admitted.
type Call struct {
	ID       string
	Method   string
	Target   string
	HostName string
	Header   http.Header
	Body     []byte
	Route    *lavconfig.Route
	Service  string
	Customer string
	// Prompt is what a model engine is asked to do.
	Prompt lavplan.Prompt
	// LastEvent is the event after which the caller resumes a stream.
	LastEvent string
	// Deadline is when the caller must have his answer.
	Deadline time.Time
	// Arrived is when the request came.
	Arrived time.Time
	// Fingerprint is the same for the same request sent again.
	Fingerprint uint64
	// Version is the desired state that admitted the request.
	Version lavconfig.Version
}

// patiencePart is the part of the silence after which callers leave a stream
// after which it is taken to another endpoint, and checkPart that after which
// the endpoint is looked at.
const (
	patiencePart = 0.85
	checkPart    = 0.4
)

// patience returns how long an endpoint may be silent before the request is
// taken elsewhere, and before it is looked at; zero if it can't be. Silence alone
// is no reason to give an answer up.
func (t *task) patience(runs int) (silence, check time.Duration) {
	route := t.call.Route
	if route.Kind != lavconfig.KindStreaming || !route.Repeatable() || runs >= route.MaxAttempts {
		return 0, 0
	}
	longest := t.call.Prompt.AbandonAfter().Seconds()
	return seconds(longest * patiencePart), seconds(longest * checkPart)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
