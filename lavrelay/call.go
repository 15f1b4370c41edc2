package lavrelay

import (
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/lavpressure"
)

// Call is a request that has been read completely and admitted to this host.
type Call struct {
	ID       string
	Method   string
	Target   string
	HostName string
	Header   http.Header
	Body     []byte
	// Hold counts what this host holds for the call. It is nil where that isn't bounded.
	Hold     *lavpressure.Hold
	Route    *lavconfig.Route
	Service  string
	Customer string
	// Prompt describes the request to a model engine.
	Prompt lavplan.Prompt
	// LastEvent is the ID of the event after which the caller resumes a stream.
	LastEvent string
	// FramedByClose is true if the end of the connection marks the end of the response to
	// the caller, as in HTTP/1.0.
	FramedByClose bool
	// Deadline is when the caller must have the response.
	Deadline time.Time
	// Arrived is when the request arrived.
	Arrived time.Time
	// PromptSegments are the IDs of the segments of the prompt, in order. Other prompts may
	// share all but the last one.
	PromptSegments []string
	// Traits describe what the request may have in common with others that crash endpoints.
	Traits []lavcrash.Trait
	// Version is the version of the desired state under which the request was admitted.
	Version lavconfig.Version
}

// Fractions of the silence after which a caller disconnects. After failoverFraction the
// request moves to another endpoint if one takes it, and after probeFraction the endpoint is
// probed.
const (
	failoverFraction = 0.85
	probeFraction    = 0.4
)

// silenceLimits returns how long an endpoint may be silent before the request may move to
// another endpoint, and before the endpoint is probed. Both are zero if the request can't
// move: silence alone is then no reason to give up the response.
func (t *task) silenceLimits(runs int) (silence, probe time.Duration) {
	route := t.call.Route
	if route.Kind != lavconfig.KindStreaming || !route.Repeatable() || runs >= route.MaxAttempts {
		return 0, 0
	}
	abandonAfter := t.call.Prompt.AbandonAfter().Seconds()
	return seconds(abandonAfter * failoverFraction), seconds(abandonAfter * probeFraction)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
