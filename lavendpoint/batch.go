package lavendpoint

import (
	"encoding/binary"
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrelease"

	"github.com/cespare/xxhash/v2"
)

// UpdateBatch is a message in which the owner of some endpoints sends their state
// to the other hosts.
type UpdateBatch struct {
	// Release is the release version whose endpoint list the indexes in Loads refer
	// to.
	Release lavrelease.Version `cbor:"1,keyasint,omitempty"`
	Loads   []LoadUpdate       `cbor:"2,keyasint,omitempty"`
	Full    []FullReport       `cbor:"3,keyasint,omitempty"`
	// Hosts lists changes of the host list.
	Hosts []HostChange `cbor:"4,keyasint,omitempty"`
	// Sent is the owner's wall-clock time when it sent the batch, in Unix
	// milliseconds.
	Sent int64 `cbor:"5,keyasint,omitempty"`
	// PollAges holds, for each entry of Loads, the time from the owner's poll of
	// the endpoint to Sent, in milliseconds.
	PollAges []uint32 `cbor:"6,keyasint,omitempty"`
}

// LoadUpdate is the frequently changing part of a load report.
type LoadUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Index is the endpoint's index in the release.
	Index int
	// Kind is the digest of the static part of the report to which the load belongs
	// (see staticDigest). Age is the time since the endpoint made the report, in
	// milliseconds.
	Kind          uint32
	Age           uint32
	Running       int
	Waiting       int
	WaitingTokens int
	RunningTokens int
}

// FullReport is a complete load report, except for the lists of streams and
// reservations, which only the owner needs.
type FullReport struct {
	Name   string               `cbor:"1,keyasint"`
	Report lavengine.LoadReport `cbor:"2,keyasint"`
	// Age is the time since the endpoint made the report.
	Age time.Duration `cbor:"3,keyasint"`
	// Dead is true if the owner can't reach the endpoint.
	Dead bool `cbor:"4,keyasint,omitempty"`
	// PollAge is the time since the owner polled the endpoint.
	PollAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// HostChange is a changed entry of the host list.
type HostChange struct {
	Name    string `cbor:"1,keyasint"`
	Leaving bool   `cbor:"2,keyasint,omitempty"`
	Gone    bool   `cbor:"3,keyasint,omitempty"`
}

// maxTransitTime bounds the estimated transit time of a batch, whatever the clocks
// of sender and receiver show.
const maxTransitTime = 2 * time.Second

// transitTime returns the estimated time from sending to receiving the batch. A
// clock difference between the two hosts can make the batch appear older than it
// is, but never newer than at its arrival.
func (b *UpdateBatch) transitTime(now time.Time) time.Duration {
	if b.Sent == 0 {
		return 0
	}
	return min(max(now.Sub(time.UnixMilli(b.Sent)), 0), maxTransitTime)
}

// pollAge returns the time from the owner's poll that produced load i to the
// sending of the batch.
func (b *UpdateBatch) pollAge(i int) time.Duration {
	if i >= len(b.PollAges) {
		return 0
	}
	return time.Duration(b.PollAges[i]) * time.Millisecond
}

// maxReportAge bounds the age of a report, because an endpoint's clock may be
// wrong.
const maxReportAge = time.Minute

// reportAge returns the time since the report was made.
func reportAge(r *lavengine.LoadReport, now time.Time) time.Duration {
	return min(max(now.Sub(r.Taken), 0), maxReportAge)
}

// staticDigest returns a digest of every part of a report except its load. A host
// that missed a change detects by the digest that a load update doesn't belong to
// the report that it has.
func staticDigest(r *lavengine.LoadReport) uint32 {
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

// appendNames appends a list of names in an encoding that is distinct for distinct
// lists.
func appendNames(text []byte, names ...string) []byte {
	text = binary.BigEndian.AppendUint64(text, uint64(len(names)))
	for _, name := range names {
		text = binary.BigEndian.AppendUint64(text, uint64(len(name)))
		text = append(text, name...)
	}
	return text
}

// sameStaticPart reports whether two reports differ in their load only.
func sameStaticPart(a, b *lavengine.LoadReport) bool { return staticDigest(a) == staticDigest(b) }

func newFullReport(name string, last polledReport, now time.Time) FullReport {
	full := FullReport{Name: name, Report: last.report, Age: reportAge(&last.report, now), Dead: last.dead, PollAge: now.Sub(last.polledAt)}
	full.Report.Streams, full.Report.Reservations = nil, nil
	return full
}

func newLoadUpdate(index int, r *lavengine.LoadReport, now time.Time) LoadUpdate {
	return LoadUpdate{
		Index:         index,
		Kind:          staticDigest(r),
		Age:           uint32(reportAge(r, now).Milliseconds()),
		Running:       r.Running,
		Waiting:       r.Waiting,
		WaitingTokens: r.WaitingTokens,
		RunningTokens: r.RunningTokens,
	}
}

// applyTo returns r with its load replaced by l. The static part of r must be the
// one that l belongs to.
func (l LoadUpdate) applyTo(r lavengine.LoadReport, now time.Time) lavengine.LoadReport {
	r.Taken = now.Add(-time.Duration(l.Age) * time.Millisecond)
	r.Running, r.Waiting = l.Running, l.Waiting
	r.WaitingTokens, r.RunningTokens = l.WaitingTokens, l.RunningTokens
	return r
}
