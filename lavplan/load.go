package lavplan

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Load is the work placed on one endpoint.
type Load struct {
	// Requests is the number of running and queued requests.
	Requests int `cbor:"1,keyasint,omitempty"`
	// Streams are those requests whose routes declare the longest pause between events.
	Streams Streams `cbor:"2,keyasint,omitempty"`
	// Late is the number of requests without a first event that miss their objective in
	// any case: see Prompt.Late. They queue behind requests that can still meet it.
	Late int `cbor:"6,keyasint,omitempty"`
	// Prefill is the estimated time of the outstanding prefill work.
	Prefill time.Duration `cbor:"3,keyasint,omitempty"`
	// KVTokens is the KV cache space, in tokens, of prompts, answers and
	// reservations.
	KVTokens int `cbor:"4,keyasint,omitempty"`
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{
		Requests: l.Requests + m.Requests,
		Streams:  l.Streams.plus(m.Streams),
		Late:     l.Late + m.Late,
		Prefill:  l.Prefill + m.Prefill,
		KVTokens: l.KVTokens + m.KVTokens,
	}
}

// Minus returns the load without m.
func (l Load) Minus(m Load) Load {
	return Load{
		Requests: l.Requests - m.Requests,
		Streams:  l.Streams.minus(m.Streams),
		Late:     l.Late - m.Late,
		Prefill:  l.Prefill - m.Prefill,
		KVTokens: l.KVTokens - m.KVTokens,
	}
}

// Zero reports whether the endpoint has no load.
func (l Load) Zero() bool { return l == Load{} }

// PrefillTime returns the time that each endpoint needs if a prompt of the given
// number of tokens is prefilled in parts on several endpoints. The time grows with
// the tokens and with the pairs of tokens (attention); the parts share it equally.
func PrefillTime(e *lavconfig.Engine, tokens, parts int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.PrefillTokensPerSecond * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.PrefillPerMillionPairs)
	return time.Duration((linear + pairs) / float64(max(parts, 1)))
}

// IterationTime returns the duration of a batch iteration without prefill, on an
// endpoint at its normal speed.
func IterationTime(e *lavconfig.Engine, l Load) time.Duration {
	step := e.Step + time.Duration(l.Requests)*e.StepPerRequest
	step += time.Duration(float64(l.KVTokens) / 1000 * float64(e.StepPer1000Context))
	return time.Duration(e.StepsPerIteration) * step
}
