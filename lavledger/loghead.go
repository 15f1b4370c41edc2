package lavledger

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func shardPrefix(i int) string { return fmt.Sprintf("ledger/%02d/", i) }

// head is the value that each commit replaces.
type head struct {
	Version int
	// Next is the highest record number and NextSegment the highest segment
	// number in use. A segment number counts as used only if a committed head
	// contains it. If a commit fails after it wrote its segment, a later commit
	// therefore finds that segment under the same number.
	Next        uint64
	NextSegment uint64
	Segments    []segment
	// Dropped lists the keys of segments that are still to be deleted from the
	// store.
	Dropped []string
	Records []Record
}

// segment refers to a stored, immutable list of records. Expires is the latest
// expiry of these records.
type segment struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Expires time.Time
}

var (
	encoding = must(cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: 1 << 17, MaxNestedLevels: 8}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
