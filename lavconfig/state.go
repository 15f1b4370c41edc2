package lavconfig

import "time"

// Version is the version of a desired state. Versions increase, but not always
// by the same amount.
type Version uint64

// State is the desired state at one version.
type State struct {
	Version   Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

//go:generate stringer -type=RouteKind -trimprefix=Kind -output=routekind_string.go

// RouteKind determines whether the requests of a route may be repeated.
type RouteKind int

// Kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = iota
	// KindSafe requests are idempotent.
	KindSafe
	// KindStreaming requests are answered with a stream of events. They run at
	// most once unless the route is resumable.
	KindStreaming
)

// Route maps requests with a host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name of the requests.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum time between the arrival of a request and its
	// response.
	Timeout time.Duration
	// Objective is the target time to the response or, for a stream, to its
	// first event.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between two events of
	// a stream.
	PauseObjective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Split distributes the requests among services by weight.
	Split []Weight
	// MaxAttempts is the maximum number of endpoints on which a request is
	// tried.
	MaxAttempts int
	// Public routes accept requests without a credential.
	Public bool
	// Resumable streams can continue on another endpoint.
	Resumable bool
}

// Weight is the weight of a service in the split of a route.
type Weight struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that an endpoint accepts
	// from all hosts together.
	MaxConns int
	// ColdTime is the duration of an endpoint's warm-up after its start, and
	// ColdRequestsPerSecond the request rate that it can sustain meanwhile. If
	// ColdTime is zero, endpoints need no warm-up.
	ColdTime              time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil if the service is not a model engine.
	Engine *Engine
}

// Engine contains the parameters of a model engine's performance. An engine
// runs batch iterations of several decode steps. Each step generates one token
// for every running request, and prompts are prefilled between the steps.
type Engine struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// MemoryTokens is the capacity of the KV cache for prompts and outputs, in
	// tokens.
	MemoryTokens int
	// StepsPerIteration is the number of decode steps per iteration. It is also
	// the number of tokens between two events of a stream.
	StepsPerIteration int
	// Step is the base duration of a decode step. StepPerRequest is added for
	// each running request, and StepPer1000Context for each 1,000 tokens of
	// context.
	Step               time.Duration
	StepPerRequest     time.Duration
	StepPer1000Context time.Duration
	// PrefillTokensPerSecond is the prefill rate without the cost of attention.
	PrefillTokensPerSecond float64
	// PrefillPerMillionPairs is the prefill time added for each million pairs
	// of a token and an earlier token, which is the cost of attention.
	PrefillPerMillionPairs time.Duration
	// PrefillChunkTokens is the maximum number of tokens prefilled in one step.
	PrefillChunkTokens int
	// MultiEngineStepOverhead is added to each step of a request whose prompt is distributed
	// over several engines.
	MultiEngineStepOverhead time.Duration
	// MeanPromptTokens and MeanOutputTokens are the mean numbers of tokens per
	// request.
	MeanPromptTokens float64
	MeanOutputTokens float64
}

// Customer is the party whom requests are counted and charged by.
type Customer struct {
	Name string
	// Credentials are the keys that identify the customer.
	Credentials []string
	// Priority overrides the priority of the route if it is set.
	Priority *int
}

// Limits restrict the size of a request and the time that a caller may take to
// send it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
