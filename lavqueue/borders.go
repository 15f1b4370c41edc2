package lavqueue

import (
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// borderCount is the number of borders between lanes.
const borderCount = lavrequest.ClassCount - 1

// Borders are the lengths, in prompt tokens, at which one lane ends and the
// next begins.
type Borders [borderCount]int

// Lane returns the lane of a prompt.
func (b Borders) Lane(tokens int) lavrequest.LengthClass {
	for i, border := range b {
		if tokens < border {
			return lavrequest.LengthClass(i)
		}
	}
	return lavrequest.ClassHuge
}

// defaultBorders stand until enough has been seen.
var defaultBorders = Borders{lavrequest.ShortLimitTokens, lavrequest.MediumLimitTokens, lavrequest.LongLimitTokens}

// A border moves so that the lanes below it hold a part of the work, within
// limits.
var (
	borderWork = [borderCount]float64{0.125, 0.4, 0.7}
	borderMin  = Borders{lavrequest.ShortLimitTokens, 16_000, 64_000}
	borderMax  = Borders{16_000, 64_000, 250_000}
)

// Times and sizes of the mover.
const (
	moveEvery     = 10 * time.Second
	keepPart      = 0.8
	bucketsPerTwo = 4
	bucketCount   = 21 * bucketsPerTwo
	// movesAfter is the work, in tokens, that must have been seen.
	movesAfter = 200_000
)

// mover moves the borders with the offered load.
type mover struct {
	borders Borders
	// work is the recent prompt tokens by the logarithm of the length.
	work  [bucketCount]float64
	moved time.Time
}

func newMover() mover { return mover{borders: defaultBorders} }

// see counts an offered prompt and moves the borders when it is time to.
func (m *mover) see(now time.Time, tokens int) {
	m.work[bucketOf(tokens)] += float64(tokens)
	if m.moved.IsZero() {
		m.moved = now
	}
	if now.Sub(m.moved) >= moveEvery {
		m.moved = now
		m.move()
	}
}

func bucketOf(tokens int) int {
	return min(int(math.Log2(float64(max(tokens, 1)))*bucketsPerTwo), bucketCount-1)
}

// endOf returns the length at which a bucket ends.
func endOf(bucket int) int {
	return int(math.Exp2(float64(bucket+1) / bucketsPerTwo))
}

func (m *mover) move() {
	sum := 0.0
	for _, w := range m.work {
		sum += w
	}
	if sum < movesAfter {
		return
	}
	for i := range m.borders {
		below := 0.0
		border := borderMin[i]
		for bucket, w := range m.work {
			if below += w; below > borderWork[i]*sum {
				break
			}
			border = endOf(bucket)
		}
		m.borders[i] = min(max(border, borderMin[i]), borderMax[i])
	}
	for i := range m.work {
		m.work[i] *= keepPart
	}
}
