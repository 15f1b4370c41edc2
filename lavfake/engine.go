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

// Engine is a model engine in memory. It batches continuously: each step reads
// a bounded number of prompt tokens, in order of priority, and writes the next
// tokens of every answer that is past its prompt.
type Engine struct {
	settings EngineSettings
	history  History

	mu          sync.Mutex
	incarnation lavengine.Incarnation
	born        time.Time
	cold        bool
	// down is until when a dead engine answers nothing.
	down time.Time
	// streams are those that can be resumed; order are those that run, by
	// priority.
	streams map[lavrequest.ID]*stream
	// connections names the life in which each connection was first used.
	connections map[string]lavengine.Incarnation
	order       []*stream
	stepping    bool
	steps       sync.WaitGroup
	quit        chan struct{}
	closed      bool
	// decodeCredit carries the fraction of tokens between steps.
	decodeCredit float64

	cache        prefixCache
	reservations map[string]*reservation
	checkpoints  map[string]checkpoint
	reports      []lavengine.LoadReport
	fence        uint64
	role         string
	// models and adapters hold since when, or from when on, each is loaded.
	models   map[string]time.Time
	adapters map[string]time.Time
	counts   EngineCounts
}

// NewEngine returns a warm engine.
func NewEngine(settings EngineSettings) *Engine {
	if settings.StreamRetention == 0 {
		settings.StreamRetention = defaultKeepStreams
	}
	now := time.Now()
	return &Engine{
		settings:     settings,
		incarnation:  lavengine.Incarnation(rand.Text()),
		born:         now,
		streams:      make(map[lavrequest.ID]*stream),
		connections:  make(map[string]lavengine.Incarnation),
		quit:         make(chan struct{}),
		cache:        newPrefixCache(settings),
		reservations: make(map[string]*reservation),
		checkpoints:  make(map[string]checkpoint),
		models:       loadedAt(settings.Models, now),
		adapters:     loadedAt(settings.Adapters, now),
	}
}

// Restart kills the engine with all that it holds. It is back, cold, after
// its down time.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
}

// MakeCold makes the engine cold without a restart, as one is whose weights were
// pushed out. Its streams run on.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.born = time.Now()
	// Reports are otherwise made as they are asked for, which would make this
	// one later than the lag says.
	e.reports = append(e.reports, e.fresh(e.born))
}

func (e *Engine) die() {
	for _, s := range e.streams {
		s.dead = true
		s.wake()
	}
	now := time.Now()
	e.counts.Deaths++
	e.streams = make(map[lavrequest.ID]*stream)
	e.order = nil
	e.reports = nil
	e.reservations = make(map[string]*reservation)
	e.checkpoints = make(map[string]checkpoint)
	e.cache.clear()
	e.incarnation = lavengine.Incarnation(rand.Text())
	e.down = now.Add(e.settings.DownTime)
	e.born = e.down
	e.cold = true
}

// isDown reports whether the engine answers nothing at all.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.down)
}

// used returns the memory in use.
func (e *Engine) used() int {
	used := 0
	for _, s := range e.order {
		if s.reservation == nil {
			used += s.size()
		}
	}
	for _, r := range e.reservations {
		used += r.tokens
	}
	return used
}

// submit takes a prompt in. A cold engine that is given more than it bears
// dies of it.
func (e *Engine) submit(sub lavengine.Submission) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.lapse(now)
	e.counts.Submitted++
	e.counts.LastSubmit = now
	s, err := e.open(sub, now)
	if err != nil {
		e.counts.Refused++
		return nil, err
	}
	if e.isCold(now) && e.used()+s.extra() > e.settings.ColdLimit {
		e.counts.ColdOverloads++
		e.die()
		return nil, lavengine.ErrBroken
	}
	if e.used()+s.extra() > e.settings.MemoryTokens {
		e.counts.Refused++
		return nil, lavengine.ErrRefused
	}
	e.history.add(string(sub.ID))
	if e.settings.CrashMarker != "" && strings.Contains(sub.Prompt, e.settings.CrashMarker) {
		e.counts.Crashes++
		e.die()
		return nil, lavengine.ErrBroken
	}
	if e.streams[sub.ID] != nil {
		e.counts.DuplicateRuns++
		e.drop(sub.ID)
	}
	e.begin(s)
	return s, nil
}

// begin reads what the cache has of the prompt and queues the rest.
func (e *Engine) begin(s *stream) {
	hit := min(e.cache.hit(s.prefixes), s.toRead)
	e.counts.PromptTokens += s.toRead
	e.counts.HitTokens += hit
	s.toRead -= hit
	e.streams[s.submission.ID] = s
	e.queue(s)
}

// queue adds a stream to the batch, behind those of its priority.
func (e *Engine) queue(s *stream) {
	e.order = append(e.order, s)
	slices.SortStableFunc(e.order, func(a, b *stream) int { return a.submission.Priority - b.submission.Priority })
	e.wakeSteps()
}

func (e *Engine) cancel(id lavrequest.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] != nil {
		e.counts.Cancelled++
		e.drop(id)
	}
}

// drop frees a stream at once.
func (e *Engine) drop(id lavrequest.ID) {
	s := e.streams[id]
	s.dead = true
	s.wake()
	delete(e.streams, id)
	e.order = slices.DeleteFunc(e.order, func(have *stream) bool { return have == s })
}
