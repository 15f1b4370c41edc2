package lavhost

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"

	"github.com/cespare/xxhash/v2"
)

// Messages on loads are sent many times a second to all hosts, so that their
// parts are arrays of small numbers: an endpoint takes 14 bytes of totals and a
// host 9.

// report is what a host has running.
type report struct {
	Number uint64 `cbor:"1,keyasint"`
	// Primary is true if the receiver is the first keeper by the sender's view.
	Primary bool           `cbor:"2,keyasint,omitempty"`
	Host    string         `cbor:"3,keyasint"`
	Loads   []endpointLoad `cbor:"4,keyasint,omitempty"`
	Paces   []endpointPace `cbor:"5,keyasint,omitempty"`
}

// totals is what all hosts have running.
type totals struct {
	Loads []endpointLoad `cbor:"1,keyasint,omitempty"`
	Paces []endpointPace `cbor:"2,keyasint,omitempty"`
	// Counted names the report of each host that is in the sum.
	Counted []counted `cbor:"3,keyasint,omitempty"`
	// Keeper is who added up, and Number the how-manieth time.
	Keeper string `cbor:"4,keyasint"`
	Number uint64 `cbor:"5,keyasint"`
}

// shortName is a hash that stands for a long name. Two of 1,100 names share one
// once in seven thousand fleets; an endpoint then counts as having the load of
// both.
type shortName uint32

func shortNameOf(name string) shortName { return shortName(xxhash.Sum64String(name)) }

func shortLife(l lavconfig.Incarnation) shortName {
	// The time of birth tells lives of one endpoint apart.
	return shortNameOf(l.ID) ^ shortName(l.StartedAt)
}

type counted struct {
	_      struct{} `cbor:",toarray"`
	Host   shortName
	Number uint64
}

// Units of the numbers in messages.
const (
	readingUnit = time.Millisecond
	// memoryUnit is in tokens.
	memoryUnit = 64
)

// endpointLoad is a lavplan.Load of one endpoint.
type endpointLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint shortName
	Requests int
	Strict   int
	Medium   int
	Late     int
	// Reading counts readingUnits, and Memory memoryUnits.
	Reading int
	Memory  int
}

func newEndpointLoad(endpoint shortName, l lavplan.Load) endpointLoad {
	return endpointLoad{
		Endpoint: endpoint,
		Requests: l.Requests,
		Strict:   l.Strict,
		Medium:   l.Medium,
		Late:     l.Late,
		Reading:  int(l.Reading.Round(readingUnit) / readingUnit),
		Memory:   (l.Memory + memoryUnit/2) / memoryUnit,
	}
}

func (l endpointLoad) load() lavplan.Load {
	return lavplan.Load{
		Requests: l.Requests,
		Strict:   l.Strict,
		Medium:   l.Medium,
		Late:     l.Late,
		Reading:  time.Duration(l.Reading) * readingUnit,
		Memory:   l.Memory * memoryUnit,
	}
}

// endpointPace is how many times longer than usual an endpoint's work takes.
type endpointPace struct {
	_        struct{} `cbor:",toarray"`
	Endpoint shortName
	Pace     float32
}

func loadsOf(r lavfleet.Report) []endpointLoad {
	out := make([]endpointLoad, 0, len(r.Loads))
	for life, load := range r.Loads {
		out = append(out, newEndpointLoad(shortLife(life), load))
	}
	return out
}

func pacesOf(r lavfleet.Report) []endpointPace {
	out := make([]endpointPace, 0, len(r.Paces))
	for life, pace := range r.Paces {
		out = append(out, endpointPace{Endpoint: shortLife(life), Pace: float32(pace)})
	}
	return out
}
