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
	// Number counts the arrivals of a plan from 0.
	Number   int
	At       time.Duration
	Customer string
	// Domain is the index of the caller's failure domain.
	Domain       int
	Kind         lavrequest.Kind
	Model        string
	PromptTokens int
	MaxTokens    int
	// Prefix numbers the shared prefix, from 1; zero is none.
	Prefix       int
	PrefixTokens int
	Timeout      time.Duration
	Weight       float64
	// Text, if not empty, is the prompt itself.
	Text string
	// Resend is true if the caller sends the call a second time.
	Resend bool
}

// Plan returns the arrivals that follow from the seed, in order of time.
func (s *Scenario) Plan(seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	rate := s.ArrivalRate()
	var plan []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= s.Length() {
			return plan
		}
		plan = append(plan, s.draw(random, len(plan), at))
	}
}

// ShortAlone returns the same plan without any but the short prompts.
func ShortAlone(plan []Arrival) []Arrival {
	var short []Arrival
	for _, a := range plan {
		if a.Kind.IsPrompt() && lavrequest.ClassOf(a.PromptTokens) == lavrequest.ClassShort {
			short = append(short, a)
		}
	}
	return short
}

// ArrivalRate returns the arrivals a second: Rate, or what Load comes to.
func (s *Scenario) ArrivalRate() float64 {
	if s.Rate > 0 {
		return s.Rate
	}
	return s.Load * s.Capacity() / s.meanPrompt()
}

// Capacity returns the prompt tokens a second that the fleet can read.
func (s *Scenario) Capacity() float64 {
	return float64(s.Fleet.Engines) * s.Fleet.Engine.PrefillRate
}

// meanPrompt is the mean of prompt tokens over all arrivals.
func (s *Scenario) meanPrompt() float64 {
	weight, sum := 0.0, 0.0
	for _, p := range s.Mix {
		weight += p.Arrivals
		if !p.plain() {
			sum += p.Arrivals * p.Prompt.mean()
		}
	}
	return sum / weight
}

func (s *Scenario) draw(random *rand.Rand, number int, at time.Duration) Arrival {
	p := s.Mix[pick(random, len(s.Mix), func(i int) float64 { return s.Mix[i].Arrivals })]
	c := s.Customers[pick(random, len(s.Customers), func(i int) float64 { return s.Customers[i].Arrivals })]
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
	if p.plain() {
		return a
	}
	a.PromptTokens = p.Prompt.draw(random)
	a.MaxTokens = p.Answer.draw(random)
	if p.Prefixes > 0 {
		a.Prefix = 1 + random.IntN(p.Prefixes)
		a.PrefixTokens = min(p.PrefixTokens, a.PromptTokens)
	}
	return a
}

// pick returns an index with a probability by weight.
func pick(random *rand.Rand, n int, weight func(int) float64) int {
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

func (l Lengths) draw(random *rand.Rand) int {
	low, high := l.Min, l.Max
	if l.LongOneIn > 0 && random.IntN(l.LongOneIn) == 0 {
		low, high = l.LongMin, l.LongMax
	}
	ratio := float64(high) / float64(low)
	return int(float64(low) * math.Pow(ratio, random.Float64()))
}

// mean is the mean of the distribution.
func (l Lengths) mean() float64 {
	usual := logMean(l.Min, l.Max)
	if l.LongOneIn == 0 {
		return usual
	}
	long := 1 / float64(l.LongOneIn)
	return usual*(1-long) + logMean(l.LongMin, l.LongMax)*long
}

// logMean is the mean of a log-uniform distribution.
func logMean(low, high int) float64 {
	if low == high {
		return float64(low)
	}
	a, b := float64(low), float64(high)
	return (b - a) / math.Log(b/a)
}

// Prompt returns the text of the arrival's prompt. Texts of arrivals with the
// same prefix begin alike; no two are the same.
func (a *Arrival) Prompt() string {
	if a.Text != "" {
		return a.Text
	}
	const bytesPerToken = 4
	var text strings.Builder
	text.Grow(a.PromptTokens * bytesPerToken)
	if a.Prefix > 0 {
		fill(&text, fmt.Sprintf("prefix %d of %s; ", a.Prefix, a.Kind), a.PrefixTokens*bytesPerToken)
	}
	_, _ = fmt.Fprintf(&text, "#%d ", a.Number)
	fill(&text, fmt.Sprintf("item %d of %s; ", a.Number, a.Customer), a.PromptTokens*bytesPerToken)
	return text.String()[:a.PromptTokens*bytesPerToken]
}

func fill(text *strings.Builder, pattern string, size int) {
	for text.Len() < size {
		text.WriteString(pattern)
	}
}

// Surviving returns the least capacity at any time of that span, with the
// failure domains that the scenario takes out left out.
func (s *Scenario) Surviving(from, to time.Duration) float64 {
	least := s.Capacity()
	for _, f := range s.Faults {
		begins, ends := time.Duration(f.At), time.Duration(f.At+f.For)
		if f.Kind != FaultDomainOut || ends <= from || begins >= to {
			continue
		}
		least = min(least, s.Capacity()-s.capacityOf(f.Target))
	}
	return least
}

// capacityOf is the capacity of one failure domain, over which the engines are
// dealt in turn.
func (s *Scenario) capacityOf(domain string) float64 {
	engines := 0
	for i := range s.Fleet.Engines {
		if s.Fleet.FailureDomains[i%len(s.Fleet.FailureDomains)] == domain {
			engines++
		}
	}
	return float64(engines) * s.Fleet.Engine.PrefillRate
}
