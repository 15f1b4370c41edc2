package lavhost

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"

	"github.com/cespare/xxhash/v2"
)

// loadReport is the load that one host has placed on the endpoints.
//
// Load messages are sent to all hosts many times a second. Their elements are
// therefore arrays of small numbers: totals take 24 bytes per endpoint with three declared pauses and 9
// bytes per host.
type loadReport struct {
	// Number increases with each report of the host.
	Number uint64 `cbor:"1,keyasint"`
	// Primary is true if the receiver is the primary aggregator in the sender's
	// view.
	Primary   bool               `cbor:"2,keyasint,omitempty"`
	Host      string             `cbor:"3,keyasint"`
	Loads     []endpointLoad     `cbor:"4,keyasint,omitempty"`
	Slowdowns []endpointSlowdown `cbor:"5,keyasint,omitempty"`
	Pauses    pauseTable         `cbor:"6,keyasint,omitempty"`
	// Grants are the placements of schedulers that the report contains.
	Grants []countedGrant `cbor:"7,keyasint,omitempty"`
}

// idle reports whether the report contains no load.
func (r loadReport) idle() bool { return len(r.Loads) == 0 && len(r.Slowdowns) == 0 }

// loadTotals is the load that all hosts together have placed on the endpoints.
type loadTotals struct {
	Loads     []endpointLoad     `cbor:"1,keyasint,omitempty"`
	Slowdowns []endpointSlowdown `cbor:"2,keyasint,omitempty"`
	// CountedReports identifies the report of each host with load that is
	// included in the sum.
	CountedReports []countedReport `cbor:"3,keyasint,omitempty"`
	// Aggregator is the incarnation of the host that added up the reports.
	// Number increases with each of its sums.
	Aggregator string     `cbor:"4,keyasint"`
	Number     uint64     `cbor:"5,keyasint"`
	Pauses     pauseTable `cbor:"6,keyasint,omitempty"`
	// settled are the placements of each scheduler that the sum contains. They are sent to the
	// scheduler only.
	settled map[nameHash][]settledGrant
}

// nameHash is a hash that stands for a long name. Two of 1,100 names have the
// same hash in one of seven thousand fleets. Each of the two endpoints then
// counts as having the load of both.
type nameHash uint32

func hashName(name string) nameHash { return nameHash(xxhash.Sum64String(name)) }

func hashIncarnation(i lavconfig.Incarnation) nameHash {
	// The start time distinguishes the endpoint from its earlier runs.
	return hashName(i.ID) ^ nameHash(i.StartedAt)
}

// countedReport identifies one report of a host.
type countedReport struct {
	_      struct{} `cbor:",toarray"`
	Host   nameHash
	Number uint64
}

// Units of the numbers in messages.
const (
	prefillUnit = time.Millisecond
	pauseUnit   = time.Millisecond
	// kvUnitTokens is the size of a unit of KV cache, in tokens.
	kvUnitTokens = 64
)

// endpointLoad is the encoding of a lavplan.Load of one endpoint.
type endpointLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint nameHash
	// Requests counts the requests that run or wait at the endpoint.
	Requests int
	// Streams are the number and weight of those of them that are streams, for
	// each pause in the message's table.
	Streams []int
	// Late counts the requests that have not begun and will miss their
	// objective anyway.
	Late int
	// Reading is the time to prefill the remaining prompt tokens, in
	// prefillUnit, and KVUnits the KV cache in use, in units of kvUnitTokens.
	Reading int
	KVUnits int
}

// pauseTable holds the different pauses that the streams of a message have, in
// pauseUnit. An endpointLoad refers to them by index.
type pauseTable []int

// encode returns the count and the weight of each group, in the order of the
// table, which it extends where necessary.
func (t *pauseTable) encode(s lavplan.Streams) []int {
	var out []int
	for _, g := range s {
		if g == (lavplan.StreamGroup{}) {
			continue
		}
		i := t.indexOf(int(g.Pause / pauseUnit))
		for len(out) < 2*(i+1) {
			out = append(out, 0)
		}
		out[2*i], out[2*i+1] = g.Count, g.Weight
	}
	return out
}

// indexOf returns the index of a pause, which it adds if necessary.
func (t *pauseTable) indexOf(pause int) int {
	if i := slices.Index(*t, pause); i >= 0 {
		return i
	}
	*t = append(*t, pause)
	return len(*t) - 1
}

// decode returns the streams for what encode returned. It ignores what is not in
// the table.
func (t pauseTable) decode(counts []int) lavplan.Streams {
	var groups []lavplan.StreamGroup
	for i, pause := range t[:min(len(t), len(counts)/2)] {
		groups = append(groups, lavplan.StreamGroup{Pause: time.Duration(pause) * pauseUnit, Count: counts[2*i], Weight: counts[2*i+1]})
	}
	return lavplan.NewStreams(groups...)
}

func newEndpointLoad(t *pauseTable, endpoint nameHash, l lavplan.Load) endpointLoad {
	return endpointLoad{
		Endpoint: endpoint,
		Requests: l.Requests,
		Streams:  t.encode(l.Streams),
		Late:     l.Late,
		Reading:  int(l.Prefill.Round(prefillUnit) / prefillUnit),
		KVUnits:  (l.KVTokens + kvUnitTokens/2) / kvUnitTokens,
	}
}

func (l endpointLoad) toLoad(t pauseTable) lavplan.Load {
	return lavplan.Load{
		Requests: l.Requests,
		Streams:  t.decode(l.Streams),
		Late:     l.Late,
		Prefill:  time.Duration(l.Reading) * prefillUnit,
		KVTokens: l.KVUnits * kvUnitTokens,
	}
}

// endpointSlowdown is the factor by which an endpoint's work takes longer than
// usual.
type endpointSlowdown struct {
	_        struct{} `cbor:",toarray"`
	Endpoint nameHash
	Pace     float32
}

func encodeLoads(t *pauseTable, r lavfleet.Report) []endpointLoad {
	out := make([]endpointLoad, 0, len(r.Loads))
	for incarnation, load := range r.Loads {
		out = append(out, newEndpointLoad(t, hashIncarnation(incarnation), load))
	}
	return out
}

func encodeSlowdowns(r lavfleet.Report) []endpointSlowdown {
	out := make([]endpointSlowdown, 0, len(r.Slowdowns))
	for incarnation, slowdown := range r.Slowdowns {
		out = append(out, endpointSlowdown{Endpoint: hashIncarnation(incarnation), Pace: float32(slowdown)})
	}
	return out
}
