package lavfake

import (
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// EngineSettings are the size and speed of an engine. What is left zero is
// off, but for KeepStreams.
type EngineSettings struct {
	Name         string
	MemoryTokens int
	// CacheTokens is the memory for cached prefixes, beside MemoryTokens.
	CacheTokens int
	// PrefillRate and DecodeRate are tokens a second; DecodeRate is that of
	// one stream.
	PrefillRate float64
	DecodeRate  float64
	// Step is the time of one batch.
	Step time.Duration
	// ColdLimit is the tokens that the engine bears while cold; more kills it.
	ColdLimit int
	ColdTime  time.Duration
	// DownTime is how long a dead engine answers nothing before it is back,
	// cold.
	DownTime time.Duration
	// Lag is how late load reports and cache events are.
	Lag time.Duration
	// EventLoss is the share of cache events that are lost, drawn from Seed.
	EventLoss float64
	Seed      uint64
	// StreamRetention is how long an ended stream can still be resumed.
	StreamRetention time.Duration
	// ReservationLapse is how long a reservation is kept without use. If it
	// is zero, only a release or the engine's death frees it.
	ReservationLapse time.Duration
	// Heartbeat is the longest silence of a stream.
	Heartbeat time.Duration
	// CrashMarker kills the engine that is given a prompt which contains it.
	CrashMarker string
	// LoadTime is how long a model or an adapter takes to load.
	LoadTime time.Duration
	Models   []string
	Adapters []string
	// ChecksFence is true for an engine that refuses old fencing numbers.
	ChecksFence bool
}

// defaultKeepStreams is the time for which ended streams are kept if the
// settings name none.
const defaultKeepStreams = 10 * time.Second

// EngineCounts is what an engine counted from its own side.
type EngineCounts struct {
	Submitted int
	Refused   int
	Resumed   int
	Cancelled int
	// DuplicateRuns are prompts that came while a stream of the same ID ran.
	DuplicateRuns int
	// ColdOverloads are deaths by work given to a cold engine; Crashes are
	// deaths by a prompt with the crash marker. Deaths counts all.
	ColdOverloads int
	Crashes       int
	Deaths        int
	// PromptTokens are the tokens of all prompts, of which HitTokens came
	// from the prefix cache.
	PromptTokens int
	HitTokens    int
	// Orders are the orders obeyed. FenceRefused carried an old fencing
	// number and were refused; FenceViolations did and were obeyed.
	Orders          int
	FenceRefused    int
	FenceViolations int
	LastSubmit      time.Time
}

// bytesPerToken is the size of a token in the fakes' tokenizer.
const bytesPerToken = 4

// tokensOf returns the tokens of a text.
func tokensOf(text string) int { return len(text)/bytesPerToken + 1 }

// isCold reports whether the engine bears only a little.
func (e *Engine) isCold(now time.Time) bool {
	return e.cold && now.Sub(e.born) < e.settings.ColdTime
}

// Counts returns what the engine has counted.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// History lists the prompts that the engine took in.
func (e *Engine) History() *History { return &e.history }

// RunningStreams returns the number of streams that hold memory.
func (e *Engine) RunningStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.order)
}

// ReservationCount returns the number of reservations that hold memory.
func (e *Engine) ReservationCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse(time.Now())
	return len(e.reservations)
}

// Incarnation returns the name of the engine's present life.
func (e *Engine) Incarnation() lavengine.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}
