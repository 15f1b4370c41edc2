package lavengine

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Incarnation names one life of an engine process. A restart changes it.
type Incarnation string

// The errors of an engine. ErrNotSent and ErrRefused mean that the request has
// not run. ErrBroken means that the stream ended before its final marker.
var (
	ErrNotSent = errors.New("request was not sent")
	ErrRefused = errors.New("engine refused the request")
	ErrBroken  = errors.New("stream broke before its end")
	ErrGone    = errors.New("engine doesn't know this stream")
	ErrFenced  = errors.New("order carries an old fencing number")
)

// Submission is one prompt for one engine. Its JSON form is the OpenAI
// completions request; the fields below Prompt beyond MaxTokens extend it.
type Submission struct {
	ID      lavrequest.ID `json:"id"`
	Model   string        `json:"model"`
	Adapter string        `json:"adapter,omitempty"`
	Prompt  string        `json:"prompt"`
	// MaxTokens bounds the answer, the tokens before Offset included.
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Priority orders the engine's work; lower goes first.
	Priority int `json:"priority"`
	// Offset is the number of answer tokens that the caller already has; the
	// engine goes on from there. Given holds their text.
	Offset       int    `json:"offset,omitempty"`
	AnswerPrefix string `json:"given,omitempty"`
	// Reservation, if not empty, names memory reserved before.
	Reservation string `json:"reservation,omitempty"`
	// Checkpoint, if not empty, names cache state to start from. Prompt then
	// holds only the text that follows it.
	Checkpoint string `json:"checkpoint,omitempty"`
	lavrequest.Sampling
}

// Finish says why an answer ended, in the words of the OpenAI interface.
type Finish string

// The reasons. FinishLength ended at MaxTokens.
const (
	FinishStop   Finish = "stop"
	FinishLength Finish = "length"
)

// Frame is a piece of an answer.
type Frame struct {
	ID          lavrequest.ID
	Incarnation Incarnation
	// Offset is the number of tokens before this frame.
	Offset int
	Text   string
	Tokens int
	// Final marks the last frame; without it an answer is not whole. Finish
	// says why it is the last.
	Final  bool
	Finish Finish
}

// Stream yields the frames of one answer.
type Stream interface {
	// Next returns the next frame. After the final frame it returns io.EOF;
	// an answer that ends otherwise returns ErrBroken.
	Next() (Frame, error)
	// Close ends the connection. The engine keeps the stream for a while so
	// that it can be resumed; Cancel frees it at once.
	Close() error
}

// LoadReport is what an engine says of itself, a little late.
type LoadReport struct {
	Incarnation Incarnation
	// Taken is when the engine made the report.
	Taken time.Time
	// Cold is true until the engine can bear its full load; ColdLimit is the
	// number of tokens that it can bear at a time meanwhile.
	Cold      bool
	ColdLimit int
	Running   int
	Waiting   int
	// WaitingTokens are the prompt tokens that are not yet read.
	WaitingTokens int
	// RunningTokens and MemoryTokens are memory in use and in all.
	RunningTokens int
	MemoryTokens  int
	// PrefillRate and DecodeRate are tokens a second.
	PrefillRate float64
	DecodeRate  float64
	Models      []string
	Adapters    []string
	// Streams and Reservations list what holds memory.
	Streams      []string
	Reservations []string
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64
}

// CacheEvent tells that a prefix block was stored or evicted. Events are
// numbered; a gap in the numbers means that events were lost.
type CacheEvent struct {
	Number      uint64
	Incarnation Incarnation
	Prefix      lavrequest.PrefixHash
	Evicted     bool
}

// Reservation is memory set aside for one part of a long prompt.
type Reservation struct {
	ID     string
	Owner  string
	Tokens int
}

// Order asks an engine for a lasting change. Orders are declarative: the same
// order twice has the effect of one.
type Order struct {
	// Fence is the fencing number of the planner that gives the order.
	Fence    uint64
	Models   []string
	Adapters []string
	Role     string
}

// OrderReport is the engine's answer to an order: what it has now.
type OrderReport struct {
	Incarnation Incarnation
	Fence       uint64
	Models      []string
	Adapters    []string
	Role        string
}

// Engine is one model engine.
type Engine interface {
	Submit(ctx context.Context, s Submission) (Stream, error)
	// Resume continues a stream of that incarnation from offset, or returns
	// ErrGone.
	Resume(ctx context.Context, id lavrequest.ID, incarnation Incarnation, offset int) (Stream, error)
	// Cancel frees a stream's memory. Cancelling twice is the same as once.
	Cancel(ctx context.Context, id lavrequest.ID) error
	Load(ctx context.Context) (LoadReport, error)
	// Events returns cache events numbered above after.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Reserve(ctx context.Context, r Reservation) error
	Release(ctx context.Context, id string) error
	// Prefill reads a segment of a prompt into a reservation, after the
	// checkpoint if one is named, and returns the checkpoint at its end.
	Prefill(ctx context.Context, reservation, checkpoint, segment string) (string, error)
	Export(ctx context.Context, checkpoint string) ([]byte, error)
	Import(ctx context.Context, state []byte) (string, error)
	Order(ctx context.Context, o Order) (OrderReport, error)
}
