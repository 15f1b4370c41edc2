package lavmatrix

//go:generate stringer -type=Fault -trimprefix=Fault -output=fault_string.go

// Fault is a kind of fault that a cell injects.
type Fault int

// Faults that can be injected.
const (
	// FaultNone is no fault.
	FaultNone Fault = iota
	// FaultEngineDies restarts an engine, which is cold afterwards.
	FaultEngineDies
	// FaultProcessDies kills the process that reached the step. Its host starts
	// a new process one second later.
	FaultProcessDies
	// FaultTurnsCold turns every engine cold without a restart.
	FaultTurnsCold
	// FaultStoreDown makes the key-value service refuse every call.
	FaultStoreDown
	// FaultStoreSlow delays every call of the key-value service.
	FaultStoreSlow
	// FaultReplyLost drops the replies of the key-value service after the write
	// has taken effect.
	FaultReplyLost
	// FaultLeaseLapsedPaused pauses the host that reached the step until all
	// its leases have expired.
	FaultLeaseLapsedPaused
	// FaultOperatorsRace publishes two release notes concurrently, both based
	// on the same release.
	FaultOperatorsRace
	// FaultCrashRequestResent sends a prompt that crashes the engine that runs
	// it, and resends it to each entry host in turn.
	FaultCrashRequestResent
	// FaultConnectionSilent stops all traffic on the open connections of the
	// host that reached the step, without closing them.
	FaultConnectionSilent
	// FaultLinkLossy adds packet loss and jitter to every link.
	FaultLinkLossy
	// FaultHostListLate makes the host list lag behind: an engine's host goes
	// down while the list shows it as live, and the list shows it as leaving
	// once it is back up.
	FaultHostListLate
	// FaultDomainOut withdraws a failure domain by a release and adds it back by
	// a later one.
	FaultDomainOut
	// FaultForeignBytes makes engines send bytes in their streams that are no event of them.
	FaultForeignBytes
	faultEnd
)

// Faults returns all faults except FaultNone.
func Faults() []Fault {
	faults := make([]Fault, 0, faultEnd-1)
	for f := FaultNone + 1; f < faultEnd; f++ {
		faults = append(faults, f)
	}
	return faults
}
