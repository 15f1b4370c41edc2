package lavledger

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

//go:generate stringer -type=State,OpKind -output=state_string.go

// State is the state of a call's record.
type State int

// The states of a record. Absent is the zero value and means that there is no
// record.
const (
	Absent State = iota
	// Claimed means that the host with the record's nonce may send the call
	// once.
	Claimed
	// Done, NotRun and Unknown are final outcomes. After NotRun the call may be
	// claimed again.
	Done
	NotRun
	Unknown
)

// Record is the ledger's entry for one call.
type Record struct {
	_ struct{} `cbor:",toarray"`
	// Number orders the records of a shard. A record replaces those with lower
	// numbers.
	Number      uint64
	Key         CallKey
	Nonce       uint64
	Fingerprint uint64
	State       State
	// Until is the deadline of the claim, including clock skew. The outcome of
	// a record that is still claimed after it is unknown.
	Until time.Time
	// Expires is the time after which the record may be deleted.
	Expires time.Time
	Answer  Answer
}

// result returns the result of a record. A record without a final outcome gives
// Unknown.
func (r *Record) result() Result {
	switch r.State {
	case Done:
		return Result{Outcome: lavrequest.OutcomeDone, Answer: r.Answer}
	case NotRun:
		return Result{Outcome: lavrequest.OutcomeNotRun}
	default:
		return Result{Outcome: lavrequest.OutcomeUnknown}
	}
}

// claimable reports whether the call may be claimed with another nonce.
func (r *Record) claimable(now time.Time) bool {
	return r.State == Absent || r.State == NotRun || now.After(r.Expires)
}

// OpKind is the kind of an Op.
type OpKind int

// The kinds of ops.
const (
	// OpClaim claims a call with the record's nonce.
	OpClaim OpKind = iota
	// OpSettle replaces the claim that has the record's nonce by the outcome in
	// the record.
	OpSettle
	// OpVoid cancels the claim that has the record's nonce, whether or not the
	// claim was committed.
	OpVoid
)

// Op is a change of one record. Ops are idempotent.
type Op struct {
	_      struct{} `cbor:",toarray"`
	Kind   OpKind
	Record Record
}

// apply returns the record that results from applying op to the current record,
// and whether the record changed. The state of current is Absent if there is no
// record.
func apply(current Record, op Op, now time.Time) (Record, bool) {
	sameNonce := current.State != Absent && current.Nonce == op.Record.Nonce
	switch op.Kind {
	case OpClaim:
		if sameNonce || !current.claimable(now) {
			return current, false
		}
	case OpSettle:
		if !sameNonce || current.State != Claimed {
			return current, false
		}
	case OpVoid:
		if sameNonce && current.State != Claimed || !sameNonce && current.State != Absent {
			return current, false
		}
	}
	return op.Record, true
}
