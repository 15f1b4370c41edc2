package lavengine

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Incarnation identifies one run of an engine process. It changes when the
// engine restarts.
type Incarnation string

// Errors of an engine. ErrNotSent and ErrRefused mean that the request has not
// run. ErrBroken means that the call failed or that the stream ended before its
// final frame, so that the request may have run. ErrGone means that the engine
// doesn't have the stream or resource. ErrFenced means that the fencing token of
// an order is older than one that the engine has seen.
var (
	ErrNotSent = errors.New("request was not sent")
	ErrRefused = errors.New("engine refused the request")
	ErrBroken  = errors.New("call or stream failed before its end")
	ErrGone    = errors.New("engine does not have this stream or resource")
	ErrFenced  = errors.New("order has a stale fencing token")
)

// Submission is one prompt for one engine. Its JSON form is the OpenAI
// completions request, extended by ID, Adapter, and the fields after Stream
// except Sampling.
type Submission struct {
	ID      lavrequest.ID `json:"id"`
	Model   string        `json:"model"`
	Adapter string        `json:"adapter,omitempty"`
	Prompt  string        `json:"prompt"`
	// MaxTokens is the maximum number of tokens of the answer, including those
	// before Offset.
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Priority orders the requests in the engine; lower values go first.
	Priority int `json:"priority"`
	// Offset is the number of answer tokens that the caller already has, and
	// AnswerPrefix their text. The engine continues the answer after them.
	Offset       int    `json:"offset,omitempty"`
	AnswerPrefix string `json:"given,omitempty"`
	// Reservation, if not empty, is the ID of memory that was reserved earlier.
	Reservation string `json:"reservation,omitempty"`
	// Checkpoint, if not empty, names the KV cache state to start from. Prompt
	// then holds only the text that follows it.
	Checkpoint string `json:"checkpoint,omitempty"`
	lavrequest.Sampling
}

// Finish is the reason why an answer ended, in the terms of the OpenAI
// interface.
type Finish string

// The finish reasons. FinishLength means that the answer reached MaxTokens.
const (
	FinishStop   Finish = "stop"
	FinishLength Finish = "length"
)

// Frame is a piece of an answer.
type Frame struct {
	ID          lavrequest.ID
	Incarnation Incarnation
	// Offset is the number of answer tokens before this frame.
	Offset int
	Text   string
	Tokens int
	// Final marks the last frame; an answer without one is incomplete. Finish is
	// the reason why the answer ended.
	Final  bool
	Finish Finish
}

// Stream returns the frames of one answer.
type Stream interface {
	// Next returns the next frame. After the final frame it returns io.EOF. If
	// the stream ends without a final frame, it returns ErrBroken.
	Next() (Frame, error)
	// Close closes the connection. The engine keeps the stream for a limited
	// time so that it can be resumed; Cancel frees it immediately.
	Close() error
}

// LoadReport is an engine's report on its own state. It may be slightly out of
// date when it is used.
type LoadReport struct {
	Incarnation Incarnation
	// Taken is the time at which the engine made the report.
	Taken time.Time
	// Cold is true until the engine can take its full load. Until then ColdLimit
	// is the maximum number of tokens that it can hold at the same time.
	Cold      bool
	ColdLimit int
	Running   int
	Waiting   int
	// WaitingTokens is the number of prompt tokens that are not prefilled yet.
	WaitingTokens int
	// RunningTokens is the memory in use and MemoryTokens the total memory, both
	// in tokens.
	RunningTokens int
	MemoryTokens  int
	// PrefillRate and DecodeRate are in tokens per second.
	PrefillRate float64
	DecodeRate  float64
	Models      []string
	Adapters    []string
	// Streams and Reservations are the IDs of the streams and reservations that
	// hold memory.
	Streams      []string
	Reservations []string
	// Fence is the highest fencing token that the engine has seen.
	Fence uint64
}

// CacheEvent reports that a prefix block was stored in the prefix cache or
// evicted from it. Events are numbered; a gap in the numbers means that events
// were lost.
type CacheEvent struct {
	Number      uint64
	Incarnation Incarnation
	Prefix      lavrequest.PrefixHash
	Evicted     bool
}

// Reservation is memory reserved for one part of a long prompt.
type Reservation struct {
	ID     string
	Owner  string
	Tokens int
}

// Order is the state that a planner wants an engine to have: its models,
// adapters and role. Applying the same order twice has the same effect as
// applying it once.
type Order struct {
	// Fence is the fencing token of the planner that gives the order.
	Fence    uint64
	Models   []string
	Adapters []string
	Role     string
}

// OrderReport is the engine's reply to an order: the models, adapters and role
// that it has now.
type OrderReport struct {
	Incarnation Incarnation
	Fence       uint64
	Models      []string
	Adapters    []string
	Role        string
}

// Engine is a client of one model engine.
type Engine interface {
	Submit(ctx context.Context, s Submission) (Stream, error)
	// Resume continues a stream of the given incarnation from a token offset, or
	// returns ErrGone.
	Resume(ctx context.Context, id lavrequest.ID, incarnation Incarnation, offset int) (Stream, error)
	// Cancel frees a stream's memory. It is idempotent.
	Cancel(ctx context.Context, id lavrequest.ID) error
	Load(ctx context.Context) (LoadReport, error)
	// Events returns the cache events whose numbers are greater than after.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Reserve(ctx context.Context, r Reservation) error
	Release(ctx context.Context, id string) error
	// Prefill prefills a segment of a prompt into a reservation, starting from a
	// checkpoint if one is named. It returns the name of the checkpoint at the
	// end of the segment.
	Prefill(ctx context.Context, reservation, checkpoint, segment string) (string, error)
	Export(ctx context.Context, checkpoint string) ([]byte, error)
	Import(ctx context.Context, state []byte) (string, error)
	Order(ctx context.Context, o Order) (OrderReport, error)
}
