package lavstep

//go:generate stringer -type=Step -output=step_string.go

// Step identifies one point in one protocol.
type Step int

// The steps, grouped by protocol.
const (
	// None means that no step applies.
	None Step = iota

	// StoreRead, StoreWrite, StoreWatch and StoreLease are calls to the
	// key-value store.
	StoreRead
	StoreWrite
	StoreWatch
	StoreLease

	// ReleaseNote, ReleaseChunk, ReleaseCommit and ReleaseReadBack publish a
	// release: they store the note (the submitted change), store the chunks of
	// the new state, update the head and check the stored head. ReleaseFollow,
	// ReleaseHear, ReleasePull and ReleaseAdopt bring a release into force on a
	// host: they follow the store's head, handle a peer's announcement, pull
	// the state from a peer and apply it. ReleaseRestore writes the release
	// back after the store was restored from an older backup.
	ReleaseNote
	ReleaseChunk
	ReleaseCommit
	ReleaseReadBack
	ReleaseFollow
	ReleaseHear
	ReleasePull
	ReleaseAdopt
	ReleaseRestore

	// MemberJoin, MemberRenew and MemberLeave register a host as a member,
	// renew its lease and remove it.
	MemberJoin
	MemberRenew
	MemberLeave

	// MeshDial, MeshSend and MeshReceive connect entry hosts and transfer
	// messages between them.
	MeshDial
	MeshSend
	MeshReceive

	// Admit passes a request through admission, and Pick selects the endpoint
	// to which it is dispatched.
	Admit
	Pick

	// CreditAcquire requests an allowance from the owner of an endpoint,
	// CreditClaim claims a cold endpoint for its owner, CreditGrant handles the
	// request at the owner, CreditAdopt applies the owner's reply, and
	// CreditReturn ends the work that used the allowance.
	CreditAcquire
	CreditClaim
	CreditGrant
	CreditAdopt
	CreditReturn

	// EngineSubmit to EngineOrder are calls to a model engine.
	EngineSubmit
	EngineStream
	EngineResume
	EngineCancel
	EngineLoad
	EngineEvents
	EngineReserve
	EngineRelease
	EngineExport
	EngineImport
	EngineOrder

	// ServiceCall is a call to a plain service.
	ServiceCall

	// LedgerClaim, LedgerReadBack, LedgerSend and LedgerSettle run a call that
	// is not repeatable: they record a claim, check the stored record, send the
	// call and record its outcome.
	LedgerClaim
	LedgerReadBack
	LedgerSend
	LedgerSettle

	// GangReserve, GangSegment, GangCheckpoint and GangRelease run a prompt
	// that exceeds the memory of one engine: they reserve memory, prefill a
	// segment, transfer a checkpoint and release the memory.
	GangReserve
	GangSegment
	GangCheckpoint
	GangRelease

	// SuspectBegin decides whether a request may start, and SuspectDeath
	// records that an endpoint died while running it. Together they limit the
	// number of endpoints that one request can kill.
	SuspectBegin
	SuspectDeath

	// PlanLease, PlanWrite and PlanOrder place models on engines: they acquire
	// the planner's lease, read or write the plan, and send an order to an
	// engine.
	PlanLease
	PlanWrite
	PlanOrder

	// CallerRead reads a request from the caller, and CallerWrite writes the
	// response.
	CallerRead
	CallerWrite

	// HostList reads the list of hosts from the platform.
	HostList

	stepEnd
)

// Steps returns every step except None.
func Steps() []Step {
	steps := make([]Step, 0, stepEnd-1)
	for s := None + 1; s < stepEnd; s++ {
		steps = append(steps, s)
	}
	return steps
}
