package lavqueue

import (
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// boundaryCount is the number of boundaries between lanes.
const boundaryCount = lavrequest.ClassCount - 1

// LaneBoundaries holds the prompt lengths, in tokens, at which one lane ends
// and the next begins.
type LaneBoundaries [boundaryCount]int

// Lane returns the lane for a prompt of the given length in tokens.
func (b LaneBoundaries) Lane(tokens int) lavrequest.LengthClass {
	for i, boundary := range b {
		if tokens < boundary {
			return lavrequest.LengthClass(i)
		}
	}
	return lavrequest.ClassHuge
}

// defaultBoundaries apply until minObservedTokens prompt tokens have been
// observed.
var defaultBoundaries = LaneBoundaries{lavrequest.ShortLimitTokens, lavrequest.MediumLimitTokens, lavrequest.LongLimitTokens}

// Each boundary is placed so that the lanes below it receive at most the
// fraction workFractionBelow of the offered prompt tokens, within minBoundaries
// and maxBoundaries.
var (
	workFractionBelow = [boundaryCount]float64{0.125, 0.4, 0.7}
	minBoundaries     = LaneBoundaries{lavrequest.ShortLimitTokens, 16_000, 64_000}
	maxBoundaries     = LaneBoundaries{16_000, 64_000, 250_000}
)

// Parameters of the lane adjuster.
const (
	adjustInterval = 10 * time.Second
	// workRetention is the factor by which observed work decays after each
	// adjustment.
	workRetention = 0.8
	// Buckets are spaced logarithmically by prompt length and span 21
	// doublings; longer prompts count in the last bucket.
	bucketsPerDoubling = 4
	bucketCount        = 21 * bucketsPerDoubling
	// minObservedTokens is the prompt tokens that must be observed before the
	// boundaries are adjusted.
	minObservedTokens = 200_000
)

// laneAdjuster adapts the lane boundaries to the offered load.
type laneAdjuster struct {
	boundaries LaneBoundaries
	// tokensByLength is the decayed sum of recent prompt tokens, by the
	// logarithm of the prompt length.
	tokensByLength [bucketCount]float64
	adjustedAt     time.Time
}

func newLaneAdjuster() laneAdjuster { return laneAdjuster{boundaries: defaultBoundaries} }

// observe records an offered prompt and adjusts the boundaries once per
// adjustInterval.
func (a *laneAdjuster) observe(now time.Time, tokens int) {
	a.tokensByLength[bucketOf(tokens)] += float64(tokens)
	if a.adjustedAt.IsZero() {
		a.adjustedAt = now
	}
	if now.Sub(a.adjustedAt) >= adjustInterval {
		a.adjustedAt = now
		a.adjust()
	}
}

func bucketOf(tokens int) int {
	return min(int(math.Log2(float64(max(tokens, 1)))*bucketsPerDoubling), bucketCount-1)
}

// bucketEnd returns the prompt length, in tokens, at which a bucket ends.
func bucketEnd(bucket int) int {
	return int(math.Exp2(float64(bucket+1) / bucketsPerDoubling))
}

// adjust recomputes the boundaries from the observed work and then decays that
// work.
func (a *laneAdjuster) adjust() {
	total := 0.0
	for _, tokens := range a.tokensByLength {
		total += tokens
	}
	if total < minObservedTokens {
		return
	}
	for i := range a.boundaries {
		tokensBelow := 0.0
		boundary := minBoundaries[i]
		for bucket, tokens := range a.tokensByLength {
			if tokensBelow += tokens; tokensBelow > workFractionBelow[i]*total {
				break
			}
			boundary = bucketEnd(bucket)
		}
		a.boundaries[i] = min(max(boundary, minBoundaries[i]), maxBoundaries[i])
	}
	for i := range a.tokensByLength {
		a.tokensByLength[i] *= workRetention
	}
}
