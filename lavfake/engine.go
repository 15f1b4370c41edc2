package lavfake

import (
	"crypto/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Engine is an in-memory model engine with continuous batching. Each batch
// iteration prefills a bounded number of prompt tokens in priority order, and
// decodes the next tokens of every stream whose prefill is complete.
type Engine struct {
	settings EngineSettings
	history  History

	mu          sync.Mutex
	incarnation lavengine.Incarnation
	coldSince   time.Time
	cold        bool
	// downUntil is the time until which a crashed engine does not respond.
	downUntil time.Time
	// streams holds the streams that can be resumed. batch holds the running
	// streams, sorted by priority.
	streams map[lavrequest.ID]*stream
	// connectionIncarnations maps the remote address of each connection to the
	// incarnation of the engine that first served it.
	connectionIncarnations map[string]lavengine.Incarnation
	batch                  []*stream
	stepLoopRunning        bool
	stepLoop               sync.WaitGroup
	stop                   chan struct{}
	closed                 bool
	// decodeRemainder carries the fractional part of the decoded tokens over to
	// the next batch iteration.
	decodeRemainder float64

	cache        prefixCache
	reservations map[string]*reservation
	checkpoints  map[string]checkpoint
	reports      []lavengine.LoadReport
	fence        uint64
	role         string
	// models and adapters map each name to the time at which it is loaded,
	// which may be in the future.
	models   map[string]time.Time
	adapters map[string]time.Time
	counts   EngineCounts
	// sendsForeign is true while the engine sends bytes that are no event of a stream.
	sendsForeign bool
}

// NewEngine returns a warm engine.
func NewEngine(settings EngineSettings) *Engine {
	if settings.StreamRetention == 0 {
		settings.StreamRetention = defaultStreamRetention
	}
	now := time.Now()
	return &Engine{
		settings:               settings,
		incarnation:            lavengine.Incarnation(rand.Text()),
		coldSince:              now,
		streams:                make(map[lavrequest.ID]*stream),
		connectionIncarnations: make(map[string]lavengine.Incarnation),
		stop:                   make(chan struct{}),
		cache:                  newPrefixCache(settings),
		reservations:           make(map[string]*reservation),
		checkpoints:            make(map[string]checkpoint),
		models:                 loadTimes(settings.Models, now),
		adapters:               loadTimes(settings.Adapters, now),
	}
}

// Restart crashes the engine, which loses all its state. The engine responds
// again, cold, after its DownTime.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
}

// MakeCold makes the engine cold without a restart, as happens when its weights
// are evicted from memory. Running streams continue.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.coldSince = time.Now()
	// Load reports are otherwise created on request. Creating one now ensures
	// that the cold state becomes visible after exactly the lag.
	e.reports = append(e.reports, e.currentReport(e.coldSince))
}

func (e *Engine) die() {
	for _, s := range e.streams {
		s.aborted = true
		s.notify()
	}
	now := time.Now()
	e.counts.Deaths++
	e.streams = make(map[lavrequest.ID]*stream)
	e.batch = nil
	e.reports = nil
	e.reservations = make(map[string]*reservation)
	e.checkpoints = make(map[string]checkpoint)
	e.cache.clear()
	e.incarnation = lavengine.Incarnation(rand.Text())
	e.downUntil = now.Add(e.settings.DownTime)
	e.coldSince = e.downUntil
	e.cold = true
}

// isDown returns true while the engine does not respond to any request.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// memoryInUse returns the memory, in tokens, that reservations and the running
// streams outside them take.
func (e *Engine) memoryInUse() int {
	total := 0
	for _, s := range e.batch {
		if s.reservation == nil {
			total += s.memoryTokens()
		}
	}
	for _, r := range e.reservations {
		total += r.tokens
	}
	return total
}

// submit starts a stream for a prompt. A cold engine that receives more than
// its ColdLimit crashes.
func (e *Engine) submit(sub lavengine.Submission) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.removeExpired(now)
	e.counts.Submitted++
	e.counts.LastSubmit = now
	s, err := e.newStream(sub, now)
	if err != nil {
		e.counts.Refused++
		return nil, err
	}
	if e.isCold(now) && e.memoryInUse()+s.unreservedTokens() > e.settings.ColdLimit {
		e.counts.ColdOverloads++
		e.die()
		return nil, lavengine.ErrBroken
	}
	if e.memoryInUse()+s.unreservedTokens() > e.settings.MemoryTokens {
		e.counts.Refused++
		return nil, lavengine.ErrRefused
	}
	e.history.record(string(sub.ID))
	if e.settings.CrashMarker != "" && strings.Contains(sub.Prompt, e.settings.CrashMarker) {
		e.counts.Crashes++
		e.die()
		return nil, lavengine.ErrBroken
	}
	if e.streams[sub.ID] != nil {
		e.counts.DuplicateRuns++
		e.removeStream(sub.ID)
	}
	e.startStream(s)
	return s, nil
}

// startStream skips the cached prefix of the prompt and adds the stream to the
// batch.
func (e *Engine) startStream(s *stream) {
	cachedTokens := min(e.cache.lookUp(s.prefixes), s.prefillLeft)
	e.counts.PromptTokens += s.prefillLeft
	e.counts.HitTokens += cachedTokens
	s.prefillLeft -= cachedTokens
	e.streams[s.submission.ID] = s
	e.addToBatch(s)
}

// addToBatch inserts a stream into the batch after the streams of the same
// priority.
func (e *Engine) addToBatch(s *stream) {
	e.batch = append(e.batch, s)
	slices.SortStableFunc(e.batch, func(a, b *stream) int { return a.submission.Priority - b.submission.Priority })
	e.startStepLoop()
}

func (e *Engine) cancel(id lavrequest.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] != nil {
		e.counts.Cancelled++
		e.removeStream(id)
	}
}

// removeStream aborts a stream and frees its memory immediately.
func (e *Engine) removeStream(id lavrequest.ID) {
	s := e.streams[id]
	s.aborted = true
	s.notify()
	delete(e.streams, id)
	e.batch = slices.DeleteFunc(e.batch, func(other *stream) bool { return other == s })
}
