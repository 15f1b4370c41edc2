package lavplan

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Load is what runs at one endpoint.
type Load struct {
	// Requests run or wait to run.
	Requests int `cbor:"1,keyasint,omitempty"`
	// Strict are those of them that write events with a short pause objective.
	Strict int `cbor:"2,keyasint,omitempty"`
	// Reading is the time for what is still to be read of prompts.
	Reading time.Duration `cbor:"3,keyasint,omitempty"`
	// Memory is the tokens that prompts, answers and reservations take.
	Memory int `cbor:"4,keyasint,omitempty"`
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{
		Requests: l.Requests + m.Requests,
		Strict:   l.Strict + m.Strict,
		Reading:  l.Reading + m.Reading,
		Memory:   l.Memory + m.Memory,
	}
}

// Minus returns the load without m.
func (l Load) Minus(m Load) Load {
	return Load{
		Requests: l.Requests - m.Requests,
		Strict:   l.Strict - m.Strict,
		Reading:  l.Reading - m.Reading,
		Memory:   l.Memory - m.Memory,
	}
}

// Zero reports whether nothing runs.
func (l Load) Zero() bool { return l == Load{} }

// ReadTime returns how long each of so many engines takes to read its part of a
// prompt of that many tokens. Each part has its share of the pairs.
func ReadTime(e *lavconfig.Engine, tokens, parts int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.ReadPerSecond * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.PerMillionPairs)
	return time.Duration((linear + pairs) / float64(max(parts, 1)))
}

// PassTime returns how long a pass takes that only writes.
func PassTime(e *lavconfig.Engine, l Load) time.Duration {
	step := e.Step + time.Duration(l.Requests)*e.StepPerRequest
	step += time.Duration(float64(l.Memory) / 1000 * float64(e.StepPer1000Context))
	return time.Duration(e.StepsPerPass) * step
}
