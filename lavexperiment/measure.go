package lavexperiment

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// Quantiles are times in seconds.
type Quantiles struct {
	Count int
	P50   float64
	P95   float64
	P99   float64
}

// Measures are the figures of one run.
type Measures struct {
	Policy   Policy
	Sent     int
	Answered int
	Refused  int
	Failed   int
	// FirstToken is the time to the first token by length class.
	FirstToken map[string]Quantiles
	// Slowdown is, over short prompts, the time to the first token with the
	// whole mix over the same prompt's time with the short load alone.
	Slowdown Quantiles
	// SlowdownOfP99 is the ratio of the two loads' own 99th percentiles.
	SlowdownOfP99 float64
	// Service is the weight answered in time, over the most that capacity
	// allows; OfferedService is it over all that was offered.
	Service        float64
	OfferedService float64
	// WorstWindow is the least Service of any ten seconds of arrivals.
	WorstWindow float64
	// CacheHits is the prompt tokens that engines took from their caches, over
	// those of every prompt but the first with each shared prefix.
	CacheHits float64
	// AuditsUnfinished counts audits that were admitted and didn't finish.
	AuditsUnfinished int
	// LeastFairShare is the least, over customers, of tokens served over the
	// customer's fair share of the capacity.
	LeastFairShare float64
	// UnnoticedCold counts engines that turned cold without a restart and fell
	// over before their next report: nobody could know.
	UnnoticedCold int
	Promises      Promises
	// Refusals counts refusals by kind and text.
	Refusals map[string]int `json:",omitempty"`
	// Failures are examples of failures, by their text.
	Failures map[string]int `json:",omitempty"`
}

// Measure works the figures of a run out. alone is the run of the short load
// alone, under the same policy and seed, or nil.
func Measure(s *lavscenario.Scenario, policy Policy, trace, alone *Trace) Measures {
	m := Measures{Policy: policy, FirstToken: make(map[string]Quantiles), Failures: make(map[string]int), Refusals: make(map[string]int)}
	measured := slices.DeleteFunc(slices.Clone(trace.Results), func(r Result) bool { return r.Arrival.At < s.WarmupTime() })
	m.count(measured)
	for _, class := range lavrequest.Classes() {
		m.FirstToken[class.String()] = quantiles(firstTokens(measured, class))
	}
	if alone != nil {
		m.slowdown(measured, alone)
	}
	m.service(s, measured)
	m.fairness(s, measured)
	m.UnnoticedCold = trace.Unnoticed
	m.Promises = promises(trace)
	m.cacheHits(trace)
	return m
}

func (m *Measures) cacheHits(trace *Trace) {
	type prefix struct {
		kind   lavrequest.Kind
		model  string
		number int
	}
	seen := make(map[prefix]bool)
	shared, hit := 0, 0
	for i := range trace.Results {
		a := &trace.Results[i].Arrival
		if a.Prefix == 0 {
			continue
		}
		if p := (prefix{a.Kind, a.Model, a.Prefix}); !seen[p] {
			seen[p] = true
			continue
		}
		blocks := 0
		for lavrequest.PrefixTokens(blocks+1) <= a.PrefixTokens {
			blocks++
		}
		shared += lavrequest.PrefixTokens(blocks)
	}
	for _, e := range trace.Engines {
		hit += e.HitTokens
	}
	if shared > 0 {
		m.CacheHits = round(float64(hit) / float64(shared))
	}
}

func (m *Measures) count(results []Result) {
	m.Sent = len(results)
	for i := range results {
		r := &results[i]
		switch {
		case r.Verdict == lavload.VerdictAnswered:
			m.Answered++
		case r.Refused():
			m.Refused++
			m.Refusals[fmt.Sprintf("%v %dk: %s", r.Arrival.Kind, r.Arrival.PromptTokens/100_000*100, r.Why)]++
		default:
			m.Failed++
			m.Failures[fmt.Sprintf("%v %dk: %s", r.Arrival.Kind, r.Arrival.PromptTokens/100_000*100, r.Why)]++
		}
		if r.Arrival.Kind == lavrequest.KindAudit && !r.InTime() && !r.Refused() {
			m.AuditsUnfinished++
		}
	}
}

func firstTokens(results []Result, class lavrequest.LengthClass) []float64 {
	var times []float64
	for _, r := range results {
		if r.Verdict == lavload.VerdictAnswered && r.Arrival.Kind.IsPrompt() && lavrequest.ClassOf(r.Arrival.PromptTokens) == class {
			times = append(times, r.FirstToken.Seconds())
		}
	}
	return times
}

func quantiles(values []float64) Quantiles {
	slices.Sort(values)
	at := func(q float64) float64 {
		if len(values) == 0 {
			return 0
		}
		i := int(math.Ceil(q*float64(len(values)))) - 1
		return round(values[max(i, 0)])
	}
	return Quantiles{Count: len(values), P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

// round keeps figures readable.
func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }

// slowdown compares each short prompt with itself in the run alone. One that
// was refused or failed with the mix counts with its whole time allowed.
func (m *Measures) slowdown(results []Result, alone *Trace) {
	base := make(map[int]Result)
	for _, r := range alone.Results {
		base[r.Arrival.Number] = r
	}
	var ratios, mixed, apart []float64
	for _, r := range results {
		b, ok := base[r.Arrival.Number]
		if !ok || b.Verdict != lavload.VerdictAnswered {
			continue
		}
		took := r.FirstToken
		if r.Verdict != lavload.VerdictAnswered {
			took = r.Arrival.Timeout
		}
		ratios = append(ratios, took.Seconds()/b.FirstToken.Seconds())
		mixed = append(mixed, took.Seconds())
		apart = append(apart, b.FirstToken.Seconds())
	}
	m.Slowdown = quantiles(ratios)
	if p := quantiles(apart).P99; p > 0 {
		m.SlowdownOfP99 = round(quantiles(mixed).P99 / p)
	}
}

// window is the span over which service is measured while things change.
const window = 10 * time.Second

func (m *Measures) service(s *lavscenario.Scenario, results []Result) {
	span := s.ArrivalTime() - s.WarmupTime()
	served, offered := servedWeight(results)
	m.OfferedService = round(served / offered)
	m.Service = round(served / idealWeight(arrivals(results), s.Capacity()*span.Seconds()))
	m.WorstWindow = 1
	for from := s.WarmupTime(); from+window <= s.ArrivalTime(); from += window {
		part := slices.DeleteFunc(slices.Clone(results), func(r Result) bool {
			return r.Arrival.At < from || r.Arrival.At >= from+window
		})
		ideal := idealWeight(arrivals(part), s.MinCapacity(from, from+window)*window.Seconds())
		if got, _ := servedWeight(part); ideal > 0 {
			m.WorstWindow = min(m.WorstWindow, round(got/ideal))
		}
	}
}

func arrivals(results []Result) []lavscenario.Arrival {
	var all []lavscenario.Arrival
	for _, r := range results {
		all = append(all, r.Arrival)
	}
	return all
}

func servedWeight(results []Result) (served, offered float64) {
	for i := range results {
		offered += results[i].Arrival.Weight
		if results[i].InTime() {
			served += results[i].Arrival.Weight
		}
	}
	return served, offered
}

// fairness compares the tokens that each customer was served with his weighted
// max-min share of the fleet's tokens.
func (m *Measures) fairness(s *lavscenario.Scenario, results []Result) {
	offered, served, share := make(map[string]float64), make(map[string]float64), make(map[string]float64)
	for i := range results {
		a := results[i].Arrival
		offered[a.Customer] += float64(a.PromptTokens)
		if results[i].InTime() {
			served[a.Customer] += float64(a.PromptTokens)
		}
	}
	for _, c := range s.Customers {
		share[c.Name] = c.Share
	}
	fair := fairTokens(offered, share, s.Capacity()*(s.ArrivalTime()-s.WarmupTime()).Seconds())
	m.LeastFairShare = 1
	for name, tokens := range fair {
		if tokens > 0 {
			m.LeastFairShare = min(m.LeastFairShare, round(served[name]/tokens))
		}
	}
}
