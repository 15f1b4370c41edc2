package lavscenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Arrival is one request of a plan.
type Arrival struct {
	// Number is the index of the arrival in its plan, from 0.
	Number int
	// At is the planned arrival time since the start of the run.
	At       time.Duration
	Customer string
	// Domain is the index of the caller's failure domain.
	Domain int
	Kind   lavrequest.Kind
	Model  string
	// PromptTokens is the length of the prompt, and MaxTokens that of the answer.
	PromptTokens int
	MaxTokens    int
	// Prefix is the number of the shared prefix, from 1. Zero means that the
	// prompt has no shared prefix.
	Prefix       int
	PrefixTokens int
	Timeout      time.Duration
	// Weight is the value of an answer within the deadline.
	Weight float64
	// Text replaces the generated text of the prompt, if it is not empty.
	Text string
	// Resend is true if the caller sends the call twice.
	Resend bool
}

// Plan returns the arrivals of the scenario in order of time. Arrivals are a
// Poisson process. The plan depends only on the scenario and the seed.
func (s *Scenario) Plan(seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	rate := s.ArrivalRate()
	var plan []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= s.ArrivalPeriod() {
			return plan
		}
		plan = append(plan, s.randomArrival(random, len(plan), at))
	}
}

// ShortPrompts returns the arrivals of the plan whose prompts are short.
func ShortPrompts(plan []Arrival) []Arrival {
	var short []Arrival
	for _, a := range plan {
		if a.Kind.IsPrompt() && lavrequest.ClassOf(a.PromptTokens) == lavrequest.ClassShort {
			short = append(short, a)
		}
	}
	return short
}

// ArrivalRate returns the mean number of arrivals per second, which is Rate if
// it is set and otherwise derived from Load.
func (s *Scenario) ArrivalRate() float64 {
	if s.Rate > 0 {
		return s.Rate
	}
	return s.Load * s.Capacity() / s.meanPromptTokens()
}

// Capacity returns the prefill throughput of the fleet, in tokens per second.
func (s *Scenario) Capacity() float64 {
	return float64(s.Fleet.Engines) * s.Fleet.Engine.PrefillRate
}

// meanPromptTokens returns the mean number of prompt tokens per arrival. Calls
// to the plain service count as 0 tokens.
func (s *Scenario) meanPromptTokens() float64 {
	weight, sum := 0.0, 0.0
	for _, p := range s.Mix {
		weight += p.Arrivals
		if !p.isServiceCall() {
			sum += p.Arrivals * p.Prompt.mean()
		}
	}
	return sum / weight
}

// randomArrival returns a random arrival with the given number and time.
func (s *Scenario) randomArrival(random *rand.Rand, number int, at time.Duration) Arrival {
	p := s.Mix[weightedIndex(random, len(s.Mix), func(i int) float64 { return s.Mix[i].Arrivals })]
	c := s.Customers[weightedIndex(random, len(s.Customers), func(i int) float64 { return s.Customers[i].Arrivals })]
	a := Arrival{
		Number:   number,
		At:       at,
		Customer: c.Name,
		Domain:   random.IntN(max(len(s.Fleet.FailureDomains), 1)),
		Kind:     p.Kind,
		Model:    s.Fleet.Models[random.IntN(len(s.Fleet.Models))],
		Timeout:  time.Duration(p.Timeout),
		Weight:   p.Weight,
		Resend:   random.Float64() < p.Resent,
	}
	if p.isServiceCall() {
		return a
	}
	a.PromptTokens = p.Prompt.sample(random)
	a.MaxTokens = p.Answer.sample(random)
	if p.Prefixes > 0 {
		a.Prefix = 1 + random.IntN(p.Prefixes)
		a.PrefixTokens = min(p.PrefixTokens, a.PromptTokens)
	}
	return a
}

// weightedIndex returns a random index below n. The probability of each index is
// proportional to its weight.
func weightedIndex(random *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	at := random.Float64() * sum
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}

// sample returns a random length in tokens.
func (l LengthDistribution) sample(random *rand.Rand) int {
	low, high := l.Min, l.Max
	if l.LongOneIn > 0 && random.IntN(l.LongOneIn) == 0 {
		low, high = l.LongMin, l.LongMax
	}
	ratio := float64(high) / float64(low)
	return int(float64(low) * math.Pow(ratio, random.Float64()))
}

// mean returns the mean of the distribution.
func (l LengthDistribution) mean() float64 {
	regular := logUniformMean(l.Min, l.Max)
	if l.LongOneIn == 0 {
		return regular
	}
	long := 1 / float64(l.LongOneIn)
	return regular*(1-long) + logUniformMean(l.LongMin, l.LongMax)*long
}

// logUniformMean returns the mean of a log-uniform distribution between low and
// high.
func logUniformMean(low, high int) float64 {
	if low == high {
		return float64(low)
	}
	a, b := float64(low), float64(high)
	return (b - a) / math.Log(b/a)
}

// Prompt returns the text of the arrival's prompt. Prompts of arrivals with the
// same shared prefix start with the same text, but no two prompts are equal.
func (a *Arrival) Prompt() string {
	if a.Text != "" {
		return a.Text
	}
	const bytesPerToken = 4
	var text strings.Builder
	text.Grow(a.PromptTokens * bytesPerToken)
	if a.Prefix > 0 {
		appendRepeated(&text, fmt.Sprintf("prefix %d of %s; ", a.Prefix, a.Kind), a.PrefixTokens*bytesPerToken)
	}
	_, _ = fmt.Fprintf(&text, "#%d ", a.Number)
	appendRepeated(&text, fmt.Sprintf("item %d of %s; ", a.Number, a.Customer), a.PromptTokens*bytesPerToken)
	return text.String()[:a.PromptTokens*bytesPerToken]
}

// appendRepeated appends the pattern to the text until it has at least size
// bytes.
func appendRepeated(text *strings.Builder, pattern string, size int) {
	for text.Len() < size {
		text.WriteString(pattern)
	}
}

// MinCapacity returns the lowest capacity of the fleet at any time between from
// and to, in prefill tokens per second. It excludes failure domains while the
// scenario withdraws them, but assumes that at most one is withdrawn at a time.
func (s *Scenario) MinCapacity(from, to time.Duration) float64 {
	least := s.Capacity()
	for _, f := range s.Faults {
		begins, ends := time.Duration(f.At), time.Duration(f.At+f.For)
		if f.Kind != FaultDomainOut || ends <= from || begins >= to {
			continue
		}
		least = min(least, s.Capacity()-s.domainCapacity(f.Target))
	}
	return least
}

// domainCapacity returns the capacity of one failure domain. Engines are
// assigned to the failure domains round-robin.
func (s *Scenario) domainCapacity(domain string) float64 {
	engines := 0
	for i := range s.Fleet.Engines {
		if s.Fleet.FailureDomains[i%len(s.Fleet.FailureDomains)] == domain {
			engines++
		}
	}
	return float64(engines) * s.Fleet.Engine.PrefillRate
}
