package lavplan

import (
	"math"
	"math/rand/v2"
	"time"
)

// workload describes one kind of prompt in a simulation.
type workload struct {
	name       string
	perSecond  float64
	meanTokens float64
	spread     float64
	maxTokens  float64
	events     float64
	objective  time.Duration
	pause      time.Duration
	// from and until bound the arrivals; an until of zero means the simulation's end.
	from, until time.Duration
	// swing is the amplitude of a wave in the arrivals, relative to the mean rate.
	swing float64
	// rank is that of the prompts, of ranks in all.
	rank, ranks int
}

// wavePeriod is the period of waves in arrivals.
const wavePeriod = 13 * time.Second

// share returns the rate of arrivals at a time, relative to the highest of the wave.
func (k workload) share(at time.Duration) float64 {
	return (1 + k.swing*math.Sin(2*math.Pi*at.Seconds()/wavePeriod.Seconds())) / (1 + k.swing)
}

// The workloads of the target sites, at the rates of a normal day: short prompts in the
// strict class, longer ones in the medium class, and very long ones in neither.
var (
	captions = workload{
		name: "caption", perSecond: 30, meanTokens: 4960, spread: 0.9, maxTokens: 23_800, events: 35,
		objective: 300 * time.Millisecond, pause: 200 * time.Millisecond,
	}
	packs = workload{
		name: "pack", perSecond: 2.2, meanTokens: 45_000, spread: 0.5, maxTokens: 110_000, events: 21,
		objective: 1500 * time.Millisecond, pause: 500 * time.Millisecond,
	}
	reviews = workload{
		name: "review", perSecond: 0.9, meanTokens: 210_000, spread: 0.55, maxTokens: 1_000_000, events: 17,
		objective: 3 * time.Second, pause: 800 * time.Millisecond,
	}
)

func (k workload) scaled(factor float64) workload {
	k.perSecond *= factor
	return k
}

// between returns the workload with arrivals limited to the given interval.
func (k workload) between(from, until time.Duration) workload {
	k.from, k.until = from, until
	return k
}

// drawTokens draws a prompt length from a log-normal distribution with the workload's
// mean and relative spread.
func (k workload) drawTokens(draw *rand.Rand) int {
	sigma := math.Sqrt(math.Log(1 + k.spread*k.spread))
	n := k.meanTokens * math.Exp(sigma*draw.NormFloat64()-sigma*sigma/2)
	return int(min(n, k.maxTokens))
}
