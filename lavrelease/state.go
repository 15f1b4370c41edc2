package lavrelease

import (
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Version is the number of a release and increases with each release. Zero is
// the empty state before the first release.
type Version uint64

// Model is a model that the fleet serves.
type Model struct {
	Name    string
	Version string
	// MemoryTokens is the amount of engine memory that the model's weights
	// occupy, expressed in tokens of KV cache.
	MemoryTokens int
	// Replicas is the minimum number of endpoints that hold the model.
	Replicas int
}

// Adapter is a small set of weights that is applied on top of a base model.
type Adapter struct {
	Name  string
	Model string
}

// FailureDomain is a set of hosts that may fail, or be taken out of service,
// together.
type FailureDomain struct {
	Name   string
	Region string
}

// Host is a machine of the fleet.
type Host struct {
	Name          string
	FailureDomain string
	// Entry and Mesh are the addresses to which callers and peers connect. They
	// are set on entry hosts only.
	Entry netip.AddrPort
	Mesh  netip.AddrPort
}

// Endpoint is a back end: a model engine, or a server of a service that is not a
// model.
type Endpoint struct {
	Name string
	Host string
	Addr netip.AddrPort
	// Service is the name of the service that the endpoint serves. It is empty
	// for a model engine.
	Service string
	// MemoryTokens is the capacity of an engine's KV cache, in tokens, for
	// prompts and answers.
	MemoryTokens int
	// IgnoresFence is true for an engine that executes an order regardless of
	// the order's fencing token.
	IgnoresFence bool
}

// Service is a service of the fleet that is not a model.
type Service struct {
	Name string
	// NotRepeatable lists the path prefixes of the calls that must run at most
	// once.
	NotRepeatable []string
	Timeout       Duration
}

// Customer is an account by which requests are counted and charged.
type Customer struct {
	Name string
	// Share is the customer's weight in fair sharing.
	Share float64
	// Credentials are the SHA-256 hashes, in hex, of the tokens that identify
	// the customer.
	Credentials []string
}

// Objective is a service level objective for one kind of request.
type Objective struct {
	Name  string
	Kind  string
	Class string
	// FirstToken is the maximum time to first token of a request that counts as
	// good.
	FirstToken Duration
	// Target is the promised fraction of good requests, such as 0.99.
	Target float64
}

// Items are the item lists of a note or a state.
type Items struct {
	Models         []Model         `json:",omitempty"`
	Adapters       []Adapter       `json:",omitempty"`
	FailureDomains []FailureDomain `json:",omitempty"`
	Hosts          []Host          `json:",omitempty"`
	Endpoints      []Endpoint      `json:",omitempty"`
	Services       []Service       `json:",omitempty"`
	Customers      []Customer      `json:",omitempty"`
	Objectives     []Objective     `json:",omitempty"`
}

// Names are lists of item names: the items that a note withdraws, or the items
// that are out of service in a state.
type Names struct {
	Models         []string `json:",omitempty"`
	Adapters       []string `json:",omitempty"`
	FailureDomains []string `json:",omitempty"`
	Hosts          []string `json:",omitempty"`
	Endpoints      []string `json:",omitempty"`
	Services       []string `json:",omitempty"`
	Customers      []string `json:",omitempty"`
	Objectives     []string `json:",omitempty"`
}

// Note is a set of changes that an operator publishes as one release.
type Note struct {
	// ID identifies the note permanently. Publishing a note with this ID again
	// does not create another release.
	ID string
	// Base is the version that the note is based on.
	Base     Version
	Comment  string `json:",omitempty"`
	Add      Items
	Change   Items
	Withdraw Names
}

// State is the configuration of the fleet at one version. It is immutable.
type State struct {
	Version Version
	// NoteID is the ID of the note that created this version. Recent lists the
	// notes before it, newest first.
	NoteID string
	Recent []HistoryEntry
	Items
	// Out names the hosts and failure domains that are withdrawn from service.
	// They stay in Items, because they may still be running requests, and return
	// to service when they are added again.
	Out Names

	// index speeds up the lookups of a state that a host has adopted. It is nil
	// in other states.
	index *index
}

// HistoryEntry identifies a release by its version and the ID of its note.
type HistoryEntry struct {
	Version Version `cbor:"1,keyasint"`
	ID      string  `cbor:"2,keyasint"`
	// Dropped is true for a note that could not be applied when two branches of
	// the history were merged.
	Dropped bool `json:",omitempty" cbor:"3,keyasint,omitempty"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText formats the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the duration with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// ClassName returns the prompt length class of the objective, or "All" if the
// objective applies to every class.
func (o Objective) ClassName() string {
	if o.Class == "" {
		return "All"
	}
	return o.Class
}

// Matches reports whether requests of the given kind and prompt length class
// count towards the objective.
func (o Objective) Matches(kind lavrequest.Kind, class lavrequest.LengthClass) bool {
	return (o.Kind == "" || o.Kind == kind.String()) && (o.Class == "" || o.Class == class.String())
}
