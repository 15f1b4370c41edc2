package lavexperiment

import (
	"time"

	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// Result is the result of one arrival, as its caller observed it.
type Result struct {
	lavload.Result
	Arrival lavscenario.Arrival
}

// InTime reports whether the complete answer arrived within the caller's
// timeout.
func (r *Result) InTime() bool {
	return r.Verdict == lavload.VerdictAnswered && r.Took <= r.Arrival.Timeout
}

// Refused reports whether the system refused the request and did not run it.
func (r *Result) Refused() bool { return r.Verdict == lavload.VerdictRefused }

// deliverySlack is how long after its timeout a call may end, since the final
// answer has to cross the network.
const deliverySlack = 250 * time.Millisecond

// Late reports whether the call ended after the caller's timeout.
func (r *Result) Late() bool { return r.Took > r.Arrival.Timeout+deliverySlack }
