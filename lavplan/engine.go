package lavplan

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Load is what runs at one endpoint.
type Load struct {
	// Requests run or wait to run.
	Requests int `cbor:"1,keyasint,omitempty"`
	// Strict and Medium are those of them whose streams bear only short passes,
	// and passes of middle length.
	Strict int `cbor:"2,keyasint,omitempty"`
	Medium int `cbor:"5,keyasint,omitempty"`
	// Late are those of the strict ones that have not begun and come late
	// anyway: in a queue they stand behind those that may be in time.
	Late int `cbor:"6,keyasint,omitempty"`
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
		Medium:   l.Medium + m.Medium,
		Late:     l.Late + m.Late,
		Reading:  l.Reading + m.Reading,
		Memory:   l.Memory + m.Memory,
	}
}

// Minus returns the load without m.
func (l Load) Minus(m Load) Load {
	return Load{
		Requests: l.Requests - m.Requests,
		Strict:   l.Strict - m.Strict,
		Medium:   l.Medium - m.Medium,
		Late:     l.Late - m.Late,
		Reading:  l.Reading - m.Reading,
		Memory:   l.Memory - m.Memory,
	}
}

// Zero reports whether nothing runs.
func (l Load) Zero() bool { return l == Load{} }

// ReadTime returns how long each of so many engines takes to read its part of a
// prompt of that many tokens. Each part has its share of the pairs.
func ReadTime(e *lavconfig.Engine, tokens, parts int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / e.PrefillTokensPerSecond * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(e.PrefillPerMillionPairs)
	return time.Duration((linear + pairs) / float64(max(parts, 1)))
}

// PassTime returns how long a pass takes that only writes, at usual pace.
func PassTime(e *lavconfig.Engine, l Load) time.Duration {
	step := e.Step + time.Duration(l.Requests)*e.StepPerRequest
	step += time.Duration(float64(l.Memory) / 1000 * float64(e.StepPer1000Context))
	return time.Duration(e.StepsPerIteration) * step
}

// Passes up to these lengths keep the streams of each class in time. They leave
// room for the way to the caller.
const (
	strictPass = 185 * time.Millisecond
	mediumPass = 470 * time.Millisecond
	loosePass  = 760 * time.Millisecond
)

// What an answer of each class counts that comes late.
const (
	strictWeight = 1.5
	mediumWeight = 5
	looseWeight  = 20
)

// harm is what the answers count that a pass of that length makes late.
func (l Load) harm(pass time.Duration) float64 {
	harm := 0.0
	if pass > strictPass {
		harm += strictWeight * float64(l.Strict)
	}
	if pass > mediumPass {
		harm += mediumWeight * float64(l.Medium)
	}
	if pass > loosePass {
		harm += looseWeight * float64(max(l.Requests-l.Strict-l.Medium, 0))
	}
	return harm
}
