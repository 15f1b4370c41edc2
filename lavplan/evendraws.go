package lavplan

import (
	"math/rand/v2"
	"sync/atomic"
)

// EvenDraws draws numbers in [0, 1) that lie more evenly than random ones: any
// number of successive draws divide the range into parts of similar length. Callers
// that are refused one after the other and told to return by it come evenly. It is
// safe for concurrent use.
type EvenDraws struct {
	// last is the last draw, in units of 2^-64.
	last atomic.Uint64
}

// goldenStep is the difference of successive draws, the fraction of the golden ratio
// in units of 2^-64. Its multiples are spread most evenly.
const goldenStep = 0x9E3779B97F4A7C15

// NewEvenDraws returns a sequence that begins anywhere, so that the sequences of
// several hosts don't coincide.
func NewEvenDraws() *EvenDraws {
	d := &EvenDraws{}
	d.last.Store(rand.Uint64())
	return d
}

// Draw returns the next number.
func (d *EvenDraws) Draw() float64 {
	const mantissaBits = 53
	return float64(d.last.Add(goldenStep)>>(64-mantissaBits)) / (1 << mantissaBits)
}
