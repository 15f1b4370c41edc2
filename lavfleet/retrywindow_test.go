package lavfleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
)

// retryDay is a day on which all requests that are sent to a service are wanted once more.
type retryDay struct {
	hosts int
	// perSecond is the rate of requests at a host.
	perSecond func(host int, at time.Duration) float64
	// failing reports whether requests fail, so that retries are wanted.
	failing func(at time.Duration) bool
	// restarts reports whether a host has started again at a time.
	restarts func(host int, at time.Duration) bool
}

// retryTrace is when all hosts together got requests and sent retries, in steps of retryStep.
type retryTrace struct{ requests, retries []int }

const (
	retryDayLength = 60 * time.Second
	retryStep      = 100 * time.Millisecond
)

// play plays the day with hosts that agree on how the burst is divided.
func (d retryDay) play(random *rand.Rand) retryTrace {
	fleets := make([]*Fleet, d.hosts)
	start := func(i int) {
		fleets[i] = New(testBounds)
		fleets[i].SetRetryHosts(d.hosts, true)
		fleets[i].Update([]lavconfig.Service{engineService}, nil, nil)
	}
	for i := range fleets {
		start(i)
	}
	time.Sleep(2 * testBounds.Retry.Window)
	var trace retryTrace
	for at := time.Duration(0); at < retryDayLength; at += retryStep {
		requests, retries := 0, 0
		for i := range fleets {
			if d.restarts != nil && d.restarts(i, at) {
				start(i)
			}
			expected := d.perSecond(i, at) * retryStep.Seconds()
			n := int(expected + random.Float64())
			requests += n
			for range n {
				fleets[i].CountRequest("m")
			}
			for range n {
				if d.failing(at) && spendRetry(fleets[i], "m") {
					retries++
				}
			}
		}
		trace.requests, trace.retries = append(trace.requests, requests), append(trace.retries, retries)
		time.Sleep(retryStep)
	}
	return trace
}

// sum adds up the steps of a window that ends before a step.
func sum(counts []int, end, steps int) int {
	total := 0
	for i := max(end-steps, 0); i < min(max(end, 0), len(counts)); i++ {
		total += counts[i]
	}
	return total
}

// mostBeyond returns by how much the retries exceed what is allowed at most, in any window. Requests
// count in that window, in the one before it, or in the one half a window before it.
func (r retryTrace) mostBeyond() float64 {
	steps := int(testBounds.Retry.Window / retryStep)
	beyond := math.Inf(-1)
	for end := range r.retries {
		requests := max(sum(r.requests, end, steps), sum(r.requests, end-steps, steps), sum(r.requests, end-steps/2, steps))
		allowed := testBounds.Retry.Ratio*float64(requests) + testBounds.Retry.Burst
		beyond = max(beyond, float64(sum(r.retries, end, steps))-allowed)
	}
	return beyond
}

// TestRetryBudgetOverWavesOfRequests guards against retries that the requests of other windows allow.
func TestRetryBudgetOverWavesOfRequests(t *testing.T) {
	const mean = 6.0
	flood := func(from, until time.Duration, x, otherwise float64) func(int, time.Duration) float64 {
		return func(_ int, at time.Duration) float64 {
			if at >= from && at < until {
				return mean * x
			}
			return mean * otherwise
		}
	}
	rates := map[string]func(int, time.Duration) float64{
		"Steady":     func(int, time.Duration) float64 { return mean },
		"Wave":       func(_ int, at time.Duration) float64 { return mean * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13)) },
		"Flood":      flood(20*time.Second, 30*time.Second, 3.5, 0.35),
		"ShortFlood": flood(20*time.Second, 24*time.Second, 8, 0.35),
		"VeryShort":  flood(20*time.Second, 21*time.Second, 20, 0.1),
		"CallersMove": func(i int, at time.Duration) float64 {
			if (i%2 == 0) == (at < 25*time.Second) {
				return 2 * mean
			}
			return 0.1
		},
	}
	restarts := func(_ int, at time.Duration) bool { return at == 28*time.Second }
	for name, rate := range rates {
		t.Run(name, func(t *testing.T) {
			for from := 15 * time.Second; from < 40*time.Second; from += 1500 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					failing := func(at time.Duration) bool { return at >= from }
					for _, day := range []retryDay{
						{hosts: 28, perSecond: rate, failing: failing},
						{hosts: 28, perSecond: rate, failing: failing, restarts: restarts},
					} {
						beyond := day.play(rand.New(rand.NewPCG(1, uint64(from)))).mostBeyond()
						lavassert.AtMost(t, fmt.Sprintf("retries beyond what is allowed, failing from %v", from), beyond, 0)
					}
				})
			}
		})
	}
}
