package lavscenario

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Scenario is a load and the faults injected while it runs.
type Scenario struct {
	Name string
	// Duration is the time during which requests arrive.
	Duration lavrelease.Duration
	// Warmup is the first part of Duration. Measurements exclude requests that
	// arrive in it.
	Warmup lavrelease.Duration
	// Rate is the mean number of arrivals per second. If it is zero, the rate is
	// derived from Load.
	Rate float64
	// Load is the offered load in prompt tokens per second, as a fraction of the
	// fleet's prefill capacity.
	Load      float64
	Fleet     Fleet
	Customers []Customer
	Mix       []MixEntry
	Faults    []Fault
	// RandomFaults is the number of faults that WithRandomFaults adds.
	RandomFaults int
}

// Fleet describes the system that an experiment builds. A load against a running
// system uses it only to derive the arrival rate from Load.
type Fleet struct {
	FailureDomains []string
	EntryHosts     int
	Engines        int
	// Servers is the number of servers of the plain service.
	Servers int
	Models  []string
	// Path is the link between two failure domains.
	Path Link
	// Local is the link within a failure domain.
	Local Link
	// Caller is the link between a caller and its own failure domain.
	Caller Link
	Engine Engine
}

// Link describes one direction of a network path.
type Link struct {
	Delay  lavrelease.Duration
	Jitter lavrelease.Duration
	// Loss is the fraction of packets lost. Each loss adds Resend to the delay.
	Loss   float64
	Resend lavrelease.Duration
}

// Engine describes the capacity and the speed of each engine.
type Engine struct {
	// MemoryTokens is the KV cache capacity, in tokens.
	MemoryTokens int
	// CacheTokens is the prefix cache capacity, in tokens.
	CacheTokens int
	// PrefillRate is the prefill throughput of the engine, in tokens per second.
	PrefillRate float64
	// DecodeRate is the decode throughput of a single answer, in tokens per
	// second.
	DecodeRate float64
	// Step is the duration of a batch iteration.
	Step lavrelease.Duration
	// ColdLimit is the maximum number of tokens in use on a cold engine. A
	// cold engine crashes beyond it.
	ColdLimit int
	// ColdTime is how long an engine stays cold.
	ColdTime lavrelease.Duration
	// Lag is the delay of load reports and cache events.
	Lag lavrelease.Duration
}

// Customer describes a customer and its part of the load.
type Customer struct {
	Name string
	// Share is the customer's weight in fair sharing of the capacity.
	Share float64
	// Arrivals is the customer's relative weight among the arrivals.
	Arrivals float64
}

// MixEntry is one type of request in the mix of a load.
type MixEntry struct {
	Kind lavrequest.Kind
	// Arrivals is the relative weight of this type among the arrivals.
	Arrivals float64
	// Prompt and Answer are the distributions of the prompt and answer lengths.
	Prompt  LengthDistribution
	Answer  LengthDistribution
	Timeout lavrelease.Duration
	// Weight is the value of an answer within the deadline in the weighted
	// measurements of service.
	Weight float64
	// Prefixes is the number of distinct prefixes that prompts of this type
	// share. Zero means that there are no shared prefixes.
	Prefixes int
	// PrefixTokens is the length of each shared prefix, in tokens.
	PrefixTokens int
	// Resent is the fraction of calls that the caller sends twice.
	Resent float64
}

// LengthDistribution is a log-uniform distribution of token counts between Min
// and Max. If LongOneIn is above zero, one in LongOneIn values is drawn from a
// log-uniform distribution between LongMin and LongMax instead.
type LengthDistribution struct {
	Min       int
	Max       int
	LongOneIn int
	LongMin   int
	LongMax   int
}

// FaultKind is a type of fault.
type FaultKind int

//go:generate stringer -type=FaultKind -trimprefix=Fault -output=faultkind_string.go

// Types of fault.
const (
	// FaultEngineDies restarts an engine, which is cold afterwards.
	FaultEngineDies FaultKind = iota
	// FaultDomainOut publishes a release that withdraws a failure domain, and a
	// later one that adds it back.
	FaultDomainOut
	// FaultStoreDown makes the key-value service refuse every call.
	FaultStoreDown
	// FaultStoreSlow delays every call of the key-value service.
	FaultStoreSlow
	// FaultRepliesLost drops replies of the key-value service after the write
	// has taken effect.
	FaultRepliesLost
	// FaultEntryDies kills the process of an entry host and starts a new one.
	FaultEntryDies
	// FaultEntryRestarts shuts down the process of an entry host gracefully and
	// starts a new one.
	FaultEntryRestarts
	// FaultSilence stops all traffic on the open connections between an engine
	// and the entry hosts, without closing them.
	FaultSilence
	// FaultCut cuts the network paths between an engine and the entry hosts.
	FaultCut
	// FaultCrashRequest sends a request that crashes each engine that runs it.
	FaultCrashRequest
	// FaultServerDies makes a server of the plain service drop its replies.
	FaultServerDies
	// FaultTurnsCold turns an engine cold without a restart.
	FaultTurnsCold
	faultEnd
)

// Fault is a planned fault.
type Fault struct {
	// At is the time of the fault since the start of the run.
	At   lavrelease.Duration
	Kind FaultKind
	// Target is the name of a failure domain, or the index of an entry host, an
	// engine or a server, depending on Kind.
	Target string
	// For is the duration of the fault. Kinds that happen at an instant ignore
	// it.
	For lavrelease.Duration
}

// WarmupTime returns the length of the warm-up, after which measurements start.
func (s *Scenario) WarmupTime() time.Duration { return time.Duration(s.Warmup) }

// ArrivalPeriod returns how long requests arrive, including the warm-up.
func (s *Scenario) ArrivalPeriod() time.Duration { return time.Duration(s.Duration) }
