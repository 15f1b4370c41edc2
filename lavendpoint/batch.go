package lavendpoint

import (
	"encoding/binary"
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrelease"

	"github.com/cespare/xxhash/v2"
)

// UpdateBatch is what the owner of some endpoints tells the other hosts of them.
type UpdateBatch struct {
	// Release is the version whose list of endpoints the indexes refer to.
	Release lavrelease.Version `cbor:"1,keyasint,omitempty"`
	Loads   []Load             `cbor:"2,keyasint,omitempty"`
	Full    []Full             `cbor:"3,keyasint,omitempty"`
	// Hosts are changes of the host list.
	Hosts []HostChange `cbor:"4,keyasint,omitempty"`
	// Sent is the owner's time of day as it sent the batch, in Unix milliseconds.
	Sent int64 `cbor:"5,keyasint,omitempty"`
	// Ago says, for each of Loads, how many milliseconds before that the owner
	// asked the endpoint.
	Ago []uint32 `cbor:"6,keyasint,omitempty"`
}

// Load is the part of a load report that changes all the time.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Index is the endpoint's place in the release.
	Index int
	// Kind stands for the whole report that the load is to be put onto.
	Kind          uint32
	Age           uint32
	Running       int
	Waiting       int
	WaitingTokens int
	RunningTokens int
}

// Full is a whole report, without the lists of what holds memory, which only
// the owner needs.
type Full struct {
	Name   string               `cbor:"1,keyasint"`
	Report lavengine.LoadReport `cbor:"2,keyasint"`
	// Age is how long ago the endpoint made the report.
	Age time.Duration `cbor:"3,keyasint"`
	// Dead is true if the owner can't reach the endpoint.
	Dead bool `cbor:"4,keyasint,omitempty"`
	// Ago is how long ago the owner asked the endpoint.
	Ago time.Duration `cbor:"5,keyasint,omitempty"`
}

// HostChange is a host's new entry in the host list.
type HostChange struct {
	Name    string `cbor:"1,keyasint"`
	Leaving bool   `cbor:"2,keyasint,omitempty"`
	Gone    bool   `cbor:"3,keyasint,omitempty"`
}

// maxTravel bounds the time that a batch is taken to have travelled, whatever the
// clocks of its two ends say.
const maxTravel = 2 * time.Second

// travel returns how long a batch has travelled. Clocks that differ make it appear
// older, never newer, than it is without them.
func (b *UpdateBatch) travel(now time.Time) time.Duration {
	if b.Sent == 0 {
		return 0
	}
	return min(max(now.Sub(time.UnixMilli(b.Sent)), 0), maxTravel)
}

// ago returns how long before the batch was sent its owner asked the endpoint of
// its load i.
func (b *UpdateBatch) ago(i int) time.Duration {
	if i >= len(b.Ago) {
		return 0
	}
	return time.Duration(b.Ago[i]) * time.Millisecond
}

// maxAge bounds the age of a report; an endpoint may not tell the time at all.
const maxAge = time.Minute

// ageOf returns how long ago a report was made.
func ageOf(r *lavengine.LoadReport, now time.Time) time.Duration {
	return min(max(now.Sub(r.Taken), 0), maxAge)
}

// kindOf sums up all of a report but its load. A host that missed a change knows
// by it that the report it has is not the one that a load belongs to.
func kindOf(r *lavengine.LoadReport) uint32 {
	var cold uint64
	if r.Cold {
		cold = 1
	}
	var text []byte
	for _, number := range []uint64{
		cold, uint64(r.ColdLimit), uint64(r.MemoryTokens), r.Fence,
		math.Float64bits(r.PrefillRate), math.Float64bits(r.DecodeRate),
	} {
		text = binary.BigEndian.AppendUint64(text, number)
	}
	text = appendNames(text, string(r.Incarnation))
	text = appendNames(text, r.Models...)
	text = appendNames(text, r.Adapters...)
	return uint32(xxhash.Sum64(text))
}

// appendNames appends names so that no two lists look the same.
func appendNames(text []byte, names ...string) []byte {
	text = binary.BigEndian.AppendUint64(text, uint64(len(names)))
	for _, name := range names {
		text = binary.BigEndian.AppendUint64(text, uint64(len(name)))
		text = append(text, name...)
	}
	return text
}

// sameKind reports whether two reports differ in their load alone.
func sameKind(a, b *lavengine.LoadReport) bool { return kindOf(a) == kindOf(b) }

func fullOf(name string, h heard, now time.Time) Full {
	f := Full{Name: name, Report: h.report, Age: ageOf(&h.report, now), Dead: h.dead, Ago: now.Sub(h.at)}
	f.Report.Streams, f.Report.Reservations = nil, nil
	return f
}

func loadOf(index int, r *lavengine.LoadReport, now time.Time) Load {
	return Load{
		Index:         index,
		Kind:          kindOf(r),
		Age:           uint32(ageOf(r, now).Milliseconds()),
		Running:       r.Running,
		Waiting:       r.Waiting,
		WaitingTokens: r.WaitingTokens,
		RunningTokens: r.RunningTokens,
	}
}

// onto returns the report that a load makes of an earlier one of the same kind.
func (l Load) onto(r lavengine.LoadReport, now time.Time) lavengine.LoadReport {
	r.Taken = now.Add(-time.Duration(l.Age) * time.Millisecond)
	r.Running, r.Waiting = l.Running, l.Waiting
	r.WaitingTokens, r.RunningTokens = l.WaitingTokens, l.RunningTokens
	return r
}
