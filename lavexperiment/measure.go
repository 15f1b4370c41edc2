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

// Quantiles are quantiles of a set of values, which are durations in seconds or
// ratios.
type Quantiles struct {
	Count int
	P50   float64
	P95   float64
	P99   float64
}

// Measurements holds the measurements of one run.
type Measurements struct {
	Policy Policy
	// Sent, Answered, Refused and Failed are numbers of requests.
	Sent     int
	Answered int
	Refused  int
	Failed   int
	// FirstToken is the time to the first token in seconds, by length class.
	FirstToken map[string]Quantiles
	// Slowdown is the distribution, over short prompts, of the time to the first
	// token under the full mix divided by that of the same prompt in a run of
	// only the short prompts.
	Slowdown Quantiles
	// SlowdownOfP99 is the ratio of the 99th percentiles of the time to the first
	// token of short prompts in these two runs.
	SlowdownOfP99 float64
	// Service is the total weight of requests answered within their deadline,
	// divided by the maximum weight that the capacity allows.
	Service float64
	// OfferedService is the total weight of requests answered within their
	// deadline, divided by the weight of all requests.
	OfferedService float64
	// WorstWindow is the lowest Service of all windows of ten seconds of
	// arrivals.
	WorstWindow float64
	// CacheHits is the number of prompt tokens that engines found in their prefix
	// caches, divided by the number of cacheable tokens: those of shared prefixes,
	// without the first prompt of each prefix.
	CacheHits float64
	// AuditsUnfinished is the number of audits that were admitted but not
	// answered within their deadline.
	AuditsUnfinished int
	// LeastFairShare is the minimum over all customers of the tokens served,
	// divided by the customer's fair share of the capacity.
	LeastFairShare float64
	// UnnoticedCold is the number of overloads of engines that had turned cold
	// without a restart, before a load report could show it.
	UnnoticedCold int
	// Promises counts the violations of the system's guarantees.
	Promises Violations
	// Refusals is the number of refusals by kind, prompt length and error text.
	Refusals map[string]int `json:",omitempty"`
	// Failures is the number of failures by kind, prompt length and error text.
	Failures map[string]int `json:",omitempty"`
}

// Measure computes the measurements of a run. shortOnly is a run of only the
// short prompts of the plan, under the same policy and seed. If it is nil,
// Measure leaves out the slowdown.
func Measure(s *lavscenario.Scenario, policy Policy, trace, shortOnly *Trace) Measurements {
	m := Measurements{Policy: policy, FirstToken: make(map[string]Quantiles), Failures: make(map[string]int), Refusals: make(map[string]int)}
	measured := slices.DeleteFunc(slices.Clone(trace.Results), func(r Result) bool { return r.Arrival.At < s.WarmupTime() })
	m.countVerdicts(measured)
	for _, class := range lavrequest.Classes() {
		m.FirstToken[class.String()] = quantiles(firstTokens(measured, class))
	}
	if shortOnly != nil {
		m.computeSlowdown(measured, shortOnly)
	}
	m.computeService(s, measured)
	m.computeFairness(s, measured)
	m.UnnoticedCold = trace.UnavoidableOverloads
	m.Promises = countViolations(trace)
	m.computeCacheHits(trace)
	return m
}

// computeCacheHits computes CacheHits. A prompt shares only the full cache
// blocks of its prefix.
func (m *Measurements) computeCacheHits(trace *Trace) {
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

// countVerdicts counts the results by verdict. Prompt lengths in the keys of
// Refusals and Failures are rounded down to multiples of 100,000 tokens.
func (m *Measurements) countVerdicts(results []Result) {
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

// firstTokens returns the times to the first token of the answered prompts of a
// length class, in seconds.
func firstTokens(results []Result, class lavrequest.LengthClass) []float64 {
	var times []float64
	for _, r := range results {
		if r.Verdict == lavload.VerdictAnswered && r.Arrival.Kind.IsPrompt() && lavrequest.ClassOf(r.Arrival.PromptTokens) == class {
			times = append(times, r.FirstToken.Seconds())
		}
	}
	return times
}

// quantiles sorts the values and returns their quantiles by the nearest-rank
// method.
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

// round rounds a figure to four decimal places for the report.
func round(v float64) float64 { return math.Round(v*1e4) / 1e4 }

// computeSlowdown compares each short prompt with the same prompt in the run of
// only the short prompts. A prompt that was refused or failed under the full
// mix counts with its timeout.
func (m *Measurements) computeSlowdown(results []Result, shortOnly *Trace) {
	base := make(map[int]Result)
	for _, r := range shortOnly.Results {
		base[r.Arrival.Number] = r
	}
	var ratios, fullMixTimes, shortOnlyTimes []float64
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
		fullMixTimes = append(fullMixTimes, took.Seconds())
		shortOnlyTimes = append(shortOnlyTimes, b.FirstToken.Seconds())
	}
	m.Slowdown = quantiles(ratios)
	if p := quantiles(shortOnlyTimes).P99; p > 0 {
		m.SlowdownOfP99 = round(quantiles(fullMixTimes).P99 / p)
	}
}

// windowLength is the length of the windows for WorstWindow.
const windowLength = 10 * time.Second

// computeService computes Service, OfferedService and WorstWindow.
func (m *Measurements) computeService(s *lavscenario.Scenario, results []Result) {
	measuredTime := s.ArrivalPeriod() - s.WarmupTime()
	served, offered := servedWeight(results)
	m.OfferedService = round(served / offered)
	m.Service = round(served / idealWeight(arrivals(results), s.Capacity()*measuredTime.Seconds()))
	m.WorstWindow = 1
	for from := s.WarmupTime(); from+windowLength <= s.ArrivalPeriod(); from += windowLength {
		part := slices.DeleteFunc(slices.Clone(results), func(r Result) bool {
			return r.Arrival.At < from || r.Arrival.At >= from+windowLength
		})
		ideal := idealWeight(arrivals(part), s.MinCapacity(from, from+windowLength)*windowLength.Seconds())
		if got, _ := servedWeight(part); ideal > 0 {
			m.WorstWindow = min(m.WorstWindow, round(got/ideal))
		}
	}
}

// arrivals returns the arrivals of the results.
func arrivals(results []Result) []lavscenario.Arrival {
	var all []lavscenario.Arrival
	for _, r := range results {
		all = append(all, r.Arrival)
	}
	return all
}

// servedWeight returns the total weight of the results answered within their
// deadline, and that of all results.
func servedWeight(results []Result) (served, offered float64) {
	for i := range results {
		offered += results[i].Arrival.Weight
		if results[i].InTime() {
			served += results[i].Arrival.Weight
		}
	}
	return served, offered
}

// computeFairness computes LeastFairShare from the prompt tokens served to each
// customer and the customer's weighted max-min share of the fleet's capacity.
func (m *Measurements) computeFairness(s *lavscenario.Scenario, results []Result) {
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
	fair := maxMinFairTokens(offered, share, s.Capacity()*(s.ArrivalPeriod()-s.WarmupTime()).Seconds())
	m.LeastFairShare = 1
	for name, tokens := range fair {
		if tokens > 0 {
			m.LeastFairShare = min(m.LeastFairShare, round(served[name]/tokens))
		}
	}
}
