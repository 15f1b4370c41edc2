package lavcapacity

import "time"

// Target describes the size of a fleet and of its load.
type Target struct {
	Hosts          int
	Endpoints      int
	Customers      int
	Models         int
	FailureDomains int
	// Requests and Tokens are per second. Changes is the number of release notes
	// that are published per day.
	Requests int
	Tokens   int
	Changes  int
	// InForce is the time from the publication of a release by which it is in
	// force at all hosts.
	InForce time.Duration
}

// Limits are the resources that the control plane may use on one host, and the
// rates of calls that the key-value store can serve.
type Limits struct {
	// CPUCores is a fraction of one CPU core.
	CPUCores float64
	// MemoryBytes and NetworkBytesPerSecond are for one host.
	MemoryBytes           int
	NetworkBytesPerSecond int
	// StoreReadsPerSecond and StoreWritesPerSecond are the calls of the whole
	// fleet.
	StoreReadsPerSecond  int
	StoreWritesPerSecond int
}

// DesignTarget returns the size that the system is designed for.
func DesignTarget() Target {
	return Target{
		Hosts: 430, Endpoints: 1_100, Customers: 16_000, Models: 23, FailureDomains: 6,
		Requests: 4_800, Tokens: 1_500_000, Changes: 2_600, InForce: 8 * time.Second,
	}
}

// DesignLimits returns the limits that hold at the size of DesignTarget.
func DesignLimits() Limits {
	return Limits{CPUCores: 0.029, MemoryBytes: 128 << 20, NetworkBytesPerSecond: 22 << 10, StoreReadsPerSecond: 2_000, StoreWritesPerSecond: 300}
}
