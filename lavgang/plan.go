package lavgang

import (
	"cmp"
	"slices"
	"strings"
	"unicode/utf8"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Sizes and limits of a gang.
const (
	// segmentTokens is the length of a segment in tokens. The death of an engine
	// causes the prefill of at most one segment to be repeated.
	segmentTokens = 32_000
	// bytesPerToken is the estimated number of bytes of text per token.
	bytesPerToken = 4
	// maxParts is the maximum number of engines in a gang.
	maxParts = 16
	// gangFreeShare is the fraction of an engine's memory that gangs leave to
	// other requests.
	gangFreeShare = 0.1
)

// Plan assigns the segments of a prompt to engines.
type Plan struct {
	FailureDomain string
	Endpoints     []*lavendpoint.Endpoint
	// Tokens is the memory to reserve at each engine, in tokens.
	Tokens int
	// Segments are the pieces of the prompt in order. The last one is prefilled
	// by the submission that decodes the answer.
	Segments []string
}

// PartIndex returns the index in Endpoints of the engine that holds a segment.
func (p *Plan) PartIndex(segment int) int { return segment * len(p.Endpoints) / len(p.Segments) }

// splitPrompt splits a text into segments. It doesn't split a UTF-8 sequence.
func splitPrompt(text string) []string {
	const size = segmentTokens * bytesPerToken
	var segments []string
	for len(text) > size {
		end := size
		for end > 0 && !utf8.RuneStart(text[end]) {
			end--
		}
		segments = append(segments, text[:end])
		text = text[end:]
	}
	return append(segments, text)
}

// tokensPerPart returns the memory in tokens that each of a number of parts
// needs. Each part has room for an answer of maxTokens, because any engine may
// become the last one of the gang, which also holds the answer.
func tokensPerPart(segments, parts, maxTokens int) int {
	maxSegments := (segments + parts - 1) / parts
	return maxSegments*(segmentTokens+1) + maxTokens
}

// choosePlan chooses the smallest number of ready engines in one failure domain
// whose free memory can hold the prompt. Engines with more free memory are
// preferred, and those named in avoid are excluded. It reports false if no
// failure domain can hold the prompt now.
func choosePlan(s *lavendpoint.Snapshot, r *lavrequest.Request, segments []string, avoid map[string]bool) (Plan, bool) {
	var best Plan
	for domain, engines := range enginesByDomain(s, r, isReady, freeMemory) {
		engines = slices.DeleteFunc(engines, func(e *lavendpoint.Endpoint) bool { return avoid[e.Name] })
		p, ok := smallestPlan(domain, engines, segments, r.MaxTokens, freeMemory)
		if ok && (best.Endpoints == nil || preferredOver(&p, &best)) {
			best = p
		}
	}
	return best, best.Endpoints != nil
}

func preferredOver(a, b *Plan) bool {
	if len(a.Endpoints) != len(b.Endpoints) {
		return len(a.Endpoints) < len(b.Endpoints)
	}
	return a.FailureDomain < b.FailureDomain
}

// fitsWhenEmpty reports whether some failure domain could hold the prompt if its
// engines were empty. It considers only the engines whose phase passes the
// filter.
func fitsWhenEmpty(s *lavendpoint.Snapshot, r *lavrequest.Request, segments []string, filter phaseFilter) bool {
	for domain, engines := range enginesByDomain(s, r, filter, gangCapacity) {
		if _, ok := smallestPlan(domain, engines, segments, r.MaxTokens, gangCapacity); ok {
			return true
		}
	}
	return false
}

// memoryMeasure returns an amount of an engine's memory in tokens.
type memoryMeasure func(e *lavendpoint.Endpoint) int

// gangCapacity returns the memory that gangs may use at an empty engine, and
// freeMemory the part of it that is not in use.
func gangCapacity(e *lavendpoint.Endpoint) int {
	return int(float64(e.Report.MemoryTokens) * (1 - gangFreeShare))
}

func freeMemory(e *lavendpoint.Endpoint) int { return gangCapacity(e) - e.Report.RunningTokens }

// phaseFilter reports whether engines in a phase are considered.
type phaseFilter func(p lavendpoint.Phase) bool

// isReady selects the engines that can be given a part now, acceptsWork those
// that may receive new work now or soon, and anyPhase all known engines, which
// may become available later.
func isReady(p lavendpoint.Phase) bool     { return p == lavendpoint.PhaseReady }
func acceptsWork(p lavendpoint.Phase) bool { return p.TakesWork() }
func anyPhase(lavendpoint.Phase) bool      { return true }

// enginesByDomain groups the engines that serve r and whose phase passes the
// filter by failure domain. Each group is sorted by memory, largest first, and
// then by name.
func enginesByDomain(s *lavendpoint.Snapshot, r *lavrequest.Request, filter phaseFilter, measure memoryMeasure) map[string][]*lavendpoint.Endpoint {
	groups := make(map[string][]*lavendpoint.Endpoint)
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if filter(e.Phase) && e.Serves(r.Model, r.Adapter) {
			groups[e.FailureDomain] = append(groups[e.FailureDomain], e)
		}
	}
	for _, engines := range groups {
		slices.SortFunc(engines, func(a, b *lavendpoint.Endpoint) int {
			return cmp.Or(cmp.Compare(measure(b), measure(a)), strings.Compare(a.Name, b.Name))
		})
	}
	return groups
}

// smallestPlan returns a plan with the smallest number of engines that can hold
// the prompt. The engines must be sorted by memory, largest first. The plan
// lists the chosen ones by name, because all hosts reserve memory in that order.
func smallestPlan(domain string, engines []*lavendpoint.Endpoint, segments []string, maxTokens int, measure memoryMeasure) (Plan, bool) {
	for parts := 1; parts <= min(len(engines), maxParts, len(segments)); parts++ {
		need := tokensPerPart(len(segments), parts, maxTokens)
		if measure(engines[parts-1]) < need {
			continue
		}
		chosen := slices.Clone(engines[:parts])
		slices.SortFunc(chosen, func(a, b *lavendpoint.Endpoint) int { return strings.Compare(a.Name, b.Name) })
		return Plan{FailureDomain: domain, Endpoints: chosen, Tokens: need, Segments: segments}, true
	}
	return Plan{}, false
}
