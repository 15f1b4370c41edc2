package lavrelease

import (
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Version counts releases. Zero is the empty state before the first one.
type Version uint64

// Model is a model that the fleet serves.
type Model struct {
	Name    string
	Version string
	// MemoryTokens is the memory that the weights take on an engine, in the
	// unit of the engine's token memory.
	MemoryTokens int
	// Replicas is the least number of endpoints that hold the model.
	Replicas int
}

// Adapter is a small change of weights upon a model.
type Adapter struct {
	Name  string
	Model string
}

// FailureDomain is a set of hosts that may fail, or be taken out, together.
type FailureDomain struct {
	Name   string
	Region string
}

// Host is a machine.
type Host struct {
	Name          string
	FailureDomain string
	// Entry and Mesh are set on entry hosts only: where callers and where
	// peers connect.
	Entry netip.AddrPort
	Mesh  netip.AddrPort
}

// Endpoint is a back end: a model engine or a server of a plain service.
type Endpoint struct {
	Name string
	Host string
	Addr netip.AddrPort
	// Service names the plain service that it serves; empty for an engine.
	Service string
	// MemoryTokens is an engine's memory for prompts and answers.
	MemoryTokens int
	// IgnoresFence is true for an engine that obeys any order.
	IgnoresFence bool
}

// Service is a plain service beside the models.
type Service struct {
	Name string
	// NotRepeatable lists the path prefixes whose calls run at most once.
	NotRepeatable []string
	Timeout       Duration
}

// Customer is a customer of the fleet.
type Customer struct {
	Name string
	// Share is the customer's weight in the fair shares.
	Share float64
	// Credentials are hex SHA-256 hashes of the tokens that name him.
	Credentials []string
}

// Objective is what the operators promise for a kind of request.
type Objective struct {
	Name  string
	Kind  string
	Class string
	// FirstToken is the longest time to the first token that counts as good.
	FirstToken Duration
	// Target is the share of good requests promised, such as 0.99.
	Target float64
}

// Items are the lists of a note or a state.
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

// Names are the names that a note withdraws.
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

// Note is what an operator publishes.
type Note struct {
	// ID names the note for ever; publishing it twice is the same as once.
	ID string
	// Base is the version that the note builds on.
	Base     Version
	Comment  string `json:",omitempty"`
	Add      Items
	Change   Items
	Withdraw Names
}

// State is the configuration in force at one version. It is immutable.
type State struct {
	Version Version
	// NoteID is the note that made this version; Recent are the notes before
	// it, newest first.
	NoteID string
	Recent []HistoryEntry
	Items
	// Out holds what has been withdrawn from service but may still be running
	// work: hosts and failure domains stay known until they are added again.
	Out Names

	// index serves the lookups of a state that a host has adopted.
	index *index
}

// HistoryEntry is a note and the version that it made.
type HistoryEntry struct {
	Version Version `cbor:"1,keyasint"`
	ID      string  `cbor:"2,keyasint"`
	// Dropped is true for a note that could not be taken over as two branches
	// of the history were joined.
	Dropped bool `json:",omitempty" cbor:"3,keyasint,omitempty"`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// String writes the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// ClassName is the objective's class, or the name of every class if empty.
func (o Objective) ClassName() string {
	if o.Class == "" {
		return "All"
	}
	return o.Class
}

// Matches reports whether a request counts against the objective.
func (o Objective) Matches(kind lavrequest.Kind, class lavrequest.LengthClass) bool {
	return (o.Kind == "" || o.Kind == kind.String()) && (o.Class == "" || o.Class == class.String())
}
