package lavconfig

import "time"

// Version orders desired states; versions grow in uneven steps.
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

// RouteKind says what may be repeated of a route's requests.
type RouteKind int

// The kinds of routes.
const (
	// KindUnsafe requests run at most once.
	KindUnsafe RouteKind = iota
	// KindSafe requests are idempotent.
	KindSafe
	// KindStreaming requests are answered by a stream of events. They run at
	// most once unless the route is resumable.
	KindStreaming
)

// Route is a way for requests.
type Route struct {
	Name string
	// Host is the host name that requests ask for.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is in time.
	Objective time.Duration
	// PauseObjective is the longest pause between events that is in time.
	PauseObjective time.Duration
	// Priority is the rank, 0 the highest.
	Priority int
	// Split divides the requests among services by weight.
	Split []Weight
	// MaxAttempts is the number of endpoints that may run one request.
	MaxAttempts int
	// Public routes take requests without a credential.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Weight is a service's part of a route's requests.
type Weight struct {
	Service string
	Weight  float64
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStreaming && r.Resumable
}

// Service is a set of endpoints that do the same.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is how many connections an endpoint takes from all hosts.
	MaxConns int
	// ColdTime is how long an endpoint is cold after its start, and
	// ColdPerSecond the requests a second that it bears meanwhile. Without
	// ColdTime endpoints start warm.
	ColdTime      time.Duration
	ColdRequestsPerSecond float64
	// Engine is nil for a service that is no model engine.
	Engine *Engine
}

// Engine is the arithmetic of a model engine. An engine works in passes of
// decoding steps; each step gives every running request one token, and prompts
// are read between the steps.
type Engine struct {
	// Slots is how many requests are in one batch.
	Slots int
	// MemoryTokens is the memory for prompts and answers.
	MemoryTokens int
	// StepsPerIteration is the number of steps, and so of tokens, between events.
	StepsPerIteration int
	// Step is the time of a step, StepPerRequest is added for each running
	// request and StepPer1000Context for each 1,000 tokens of its context.
	Step               time.Duration
	StepPerRequest     time.Duration
	StepPer1000Context time.Duration
	// PrefillTokensPerSecond is the speed of reading, in tokens.
	PrefillTokensPerSecond float64
	// PrefillPerMillionPairs is added for each million pairs of a token and an
	// earlier one.
	PrefillPerMillionPairs time.Duration
	// PrefillChunkTokens is the most that is read in a step.
	PrefillChunkTokens int
	// MultiEngineStepOverhead is added to each step of a request whose prompt lies on several
	// engines.
	MultiEngineStepOverhead time.Duration
	// MeanPromptTokens and UsualAnswer are mean token counts.
	MeanPromptTokens float64
	MeanOutputTokens float64
}

// Customer is who a request is for.
type Customer struct {
	Name string
	// Credentials are the keys that name the customer.
	Credentials []string
	// Priority goes before the route's if it is set.
	Priority *int
}

// Limits bound what a caller may send and how long he may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
