package lavfake

import (
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// EngineSettings configures the capacity and speed of an engine. A zero field
// disables its feature, except for StreamRetention, which has a default.
type EngineSettings struct {
	Name         string
	MemoryTokens int
	// CacheTokens is the size of the prefix cache in tokens. It is not part of
	// MemoryTokens.
	CacheTokens int
	// PrefillRate is the engine's total prefill rate and DecodeRate the decode
	// rate of each stream, both in tokens per second.
	PrefillRate float64
	DecodeRate  float64
	// Step is the duration of one batch iteration.
	Step time.Duration
	// ColdLimit is the number of tokens that the engine can hold while it is
	// cold, which lasts for ColdTime after a restart or an eviction of its
	// weights. A submission that exceeds the limit crashes the engine.
	ColdLimit int
	ColdTime  time.Duration
	// DownTime is how long a crashed engine does not respond before it returns
	// in the cold state.
	DownTime time.Duration
	// Lag is the delay after which load reports and cache events become
	// visible.
	Lag time.Duration
	// EventLoss is the fraction of cache events that are lost. Seed seeds the
	// random choice of the lost events.
	EventLoss float64
	Seed      uint64
	// StreamRetention is how long a stream can be resumed after its end.
	StreamRetention time.Duration
	// ReservationTTL is how long an unused reservation is kept. If it is zero,
	// a reservation is freed only by a release or a crash of the engine.
	ReservationTTL time.Duration
	// Heartbeat is the longest time without output on an open stream.
	Heartbeat time.Duration
	// CrashMarker is a text that crashes the engine if a prompt contains it.
	CrashMarker string
	// LoadTime is the time that a model or an adapter takes to load.
	LoadTime time.Duration
	Models   []string
	Adapters []string
	// ChecksFence makes the engine reject orders with an outdated fencing
	// token.
	ChecksFence bool
}

// defaultStreamRetention applies if EngineSettings.StreamRetention is zero.
const defaultStreamRetention = 10 * time.Second

// EngineCounts holds the engine's counters of requests and failures.
type EngineCounts struct {
	Submitted int
	Refused   int
	Resumed   int
	Cancelled int
	// DuplicateRuns counts prompts submitted while the engine still held a
	// stream with the same ID.
	DuplicateRuns int
	// ColdOverloads counts crashes because a cold engine received more than its
	// ColdLimit. Crashes counts crashes due to a prompt with the crash marker.
	// Deaths counts all crashes, including restarts.
	ColdOverloads int
	Crashes       int
	Deaths        int
	// PromptTokens is the number of tokens in all prompts. HitTokens is the
	// part of them that came from the prefix cache.
	PromptTokens int
	HitTokens    int
	// Orders counts the orders that were executed. FenceRefused counts the
	// orders that were rejected for an outdated fencing token, and
	// FenceViolations those that were executed in spite of one.
	Orders          int
	FenceRefused    int
	FenceViolations int
	LastSubmit      time.Time
	// Foreign counts the times that the engine sent bytes which are no event of the stream.
	Foreign int
}

// bytesPerToken is the token size in the tokenizer of the fake.
const bytesPerToken = 4

// countTokens returns the number of tokens in text.
func countTokens(text string) int { return len(text)/bytesPerToken + 1 }

// isCold returns true if the engine is cold, so that ColdLimit applies.
func (e *Engine) isCold(now time.Time) bool {
	return e.cold && now.Sub(e.coldSince) < e.settings.ColdTime
}

// Counts returns a copy of the engine's counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// History returns the log of the prompts that the engine accepted.
func (e *Engine) History() *History { return &e.history }

// RunningStreams returns the number of streams that are running.
func (e *Engine) RunningStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch)
}

// ReservationCount returns the number of reservations that hold memory.
func (e *Engine) ReservationCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpired(time.Now())
	return len(e.reservations)
}

// Incarnation returns the ID of the engine's current incarnation.
func (e *Engine) Incarnation() lavengine.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}
