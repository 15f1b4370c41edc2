package lavplan

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// testEngine is the engine of the users' site sheets.
var testEngine = &lavconfig.Engine{
	Slots:                  16,
	MemoryTokens:           450_000,
	StepsPerIteration:      46,
	Step:                   925 * time.Microsecond,
	StepPerRequest:         4830 * time.Nanosecond,
	StepPer1000Context:     2540 * time.Nanosecond,
	PrefillTokensPerSecond: 256_000,
	PrefillPerMillionPairs: 91700 * time.Nanosecond,
	PrefillChunkTokens:     2048,
	MeanPromptTokens:       13252,
	MeanOutputTokens:       1540,
}

// kind is a kind of prompt of a played load.
type kind struct {
	name      string
	perSecond float64
	tokens    float64
	spread    float64
	most      float64
	events    float64
	objective time.Duration
	pause     time.Duration
	// from and until bound the arrivals; without until they go on to the end.
	from, until time.Duration
}

// The kinds of the users' site sheets; the rates are those of a calm day.
var (
	captions = kind{
		name: "caption", perSecond: 30, tokens: 4960, spread: 0.9, most: 23_800, events: 35,
		objective: 300 * time.Millisecond, pause: 200 * time.Millisecond,
	}
	packs = kind{
		name: "pack", perSecond: 2.2, tokens: 45_000, spread: 0.5, most: 110_000, events: 21,
		objective: 1500 * time.Millisecond, pause: 500 * time.Millisecond,
	}
	reviews = kind{
		name: "review", perSecond: 0.9, tokens: 210_000, spread: 0.55, most: 1_000_000, events: 17,
		objective: 3 * time.Second, pause: 800 * time.Millisecond,
	}
)

func (k kind) times(x float64) kind {
	k.perSecond *= x
	return k
}

// between returns the kind with arrivals in that time only.
func (k kind) between(from, until time.Duration) kind {
	k.from, k.until = from, until
	return k
}

// drawTokens draws a length with the kind's mean and spread.
func (k kind) drawTokens(draw *rand.Rand) int {
	sigma := math.Sqrt(math.Log(1 + k.spread*k.spread))
	n := k.tokens * math.Exp(sigma*draw.NormFloat64()-sigma*sigma/2)
	return int(min(n, k.most))
}

// stream is a prompt in a played load.
type stream struct {
	kind    string
	prompt  Prompt
	arrived time.Duration
	events  int
	// parts are those still to be read.
	parts   int
	first   int
	memory  int
	started time.Duration
	last    time.Duration
	longest time.Duration
	refused bool
	done    bool
}

// inTime reports whether the caller got what he was promised.
func (s *stream) inTime() bool {
	return s.done && s.started-s.arrived <= s.prompt.Objective && s.longest <= s.prompt.Pause
}

// engine works in passes, as the users' pages say.
type engine struct {
	queue    []*stream
	writers  []*stream
	reads    []*stream
	partTime []time.Duration
	// inPass is how many of the reads are in the running pass.
	inPass int
	busy   bool
	// readyAt is when all reads will be over if nothing else is done.
	readyAt time.Duration
	memory  int
}

// event is the end of a pass, or an arrival if engine is negative.
type event struct {
	at     time.Duration
	engine int
	stream *stream
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// placer decides where a prompt runs, as Place does.
type placer func(e *lavconfig.Engine, p Prompt, board []Candidate, ties Ties) (Plan, bool)

// world plays a load on engines.
type world struct {
	engines []*engine
	agenda  events
	now     time.Duration
	place   placer
	draw    *rand.Rand
	streams []*stream
}

// play plays kinds for a time on so many engines and returns what became of
// each prompt.
func play(seed uint64, engines int, length time.Duration, place placer, kinds ...kind) []*stream {
	w := &world{place: place, draw: rand.New(rand.NewPCG(seed, 7))}
	for range engines {
		w.engines = append(w.engines, &engine{})
	}
	for _, k := range kinds {
		w.arrivals(k, length)
	}
	for w.agenda.Len() > 0 {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		if e.engine < 0 {
			w.arrive(e.stream)
		} else {
			w.endPass(e.engine)
		}
	}
	return w.streams
}

func (w *world) arrivals(k kind, length time.Duration) {
	at := k.from
	if k.until > 0 {
		length = k.until
	}
	for {
		at += time.Duration(w.draw.ExpFloat64() / k.perSecond * float64(time.Second))
		if at > length {
			return
		}
		s := &stream{
			kind:    k.name,
			arrived: at,
			events:  max(int(k.events*(0.5+w.draw.Float64())), 1),
			prompt:  Prompt{Tokens: k.drawTokens(w.draw), Answer: 4000, Objective: k.objective, Pause: k.pause},
		}
		w.streams = append(w.streams, s)
		heap.Push(&w.agenda, event{at: at, engine: -1, stream: s})
	}
}

func (w *world) board() []Candidate {
	board := make([]Candidate, len(w.engines))
	for i, e := range w.engines {
		c := Candidate{Slots: testEngine.Slots, Pace: 1}
		c.Memory = e.memory
		c.Reading = max(e.readyAt-w.now, 0)
		for _, list := range [][]*stream{e.queue, e.writers, e.reads} {
			for _, s := range list {
				if s.first != i {
					continue
				}
				c.Requests++
				if s.prompt.Strict() {
					c.Strict++
				}
				if s.prompt.Medium() {
					c.Medium++
				}
				if s.prompt.Late() && s.started == 0 {
					c.Late++
				}
			}
		}
		board[i] = c
	}
	return board
}

func (w *world) arrive(s *stream) {
	board := w.board()
	plan, ok := w.place(testEngine, s.prompt, board, DrawTies(len(board), 1, w.draw.Float64))
	if !ok || !Admit(s.prompt, plan, board) {
		w.refuse(s, board)
		return
	}
	s.refused = false
	s.first = plan.First
	s.parts = 1 + len(plan.Helpers)
	s.memory = s.prompt.Memory(testEngine)
	first := w.engines[plan.First]
	first.memory += s.memory
	if len(first.writers)+len(first.queue) >= testEngine.Slots {
		first.enqueue(s)
		return
	}
	for _, i := range append([]int{plan.First}, plan.Helpers...) {
		w.read(i, s, plan.Reading)
	}
}

// refuse turns a caller away, who comes back once.
func (w *world) refuse(s *stream, board []Candidate) {
	s.refused = true
	if s.prompt.Returned {
		return
	}
	s.prompt.Returned = true
	heap.Push(&w.agenda, event{at: w.now + RetryAfter(board, w.draw.Float64), engine: -1, stream: s})
}

// enqueue puts a stream behind those of the same order of admission.
func (e *engine) enqueue(s *stream) {
	i := len(e.queue)
	for i > 0 && e.queue[i-1].prompt.Priority() > s.prompt.Priority() {
		i--
	}
	e.queue = slices.Insert(e.queue, i, s)
}

func (w *world) read(i int, s *stream, part time.Duration) {
	e := w.engines[i]
	e.reads = append(e.reads, s)
	e.partTime = append(e.partTime, part)
	e.readyAt = max(e.readyAt, w.now) + part
	w.beginPass(i)
}

func (w *world) beginPass(i int) {
	e := w.engines[i]
	if e.busy || len(e.reads) == 0 && len(e.writers) == 0 {
		return
	}
	length := time.Duration(0)
	if len(e.writers) > 0 {
		length = PassTime(testEngine, Load{Requests: len(e.writers), Memory: e.memory})
	}
	for _, part := range e.partTime {
		length += part
	}
	e.busy, e.inPass = true, len(e.reads)
	heap.Push(&w.agenda, event{at: w.now + length, engine: i})
}

func (w *world) endPass(i int) {
	e := w.engines[i]
	e.busy = false
	read := e.reads[:e.inPass]
	e.reads = append([]*stream(nil), e.reads[e.inPass:]...)
	e.partTime = append([]time.Duration(nil), e.partTime[e.inPass:]...)
	var going []*stream
	for _, s := range e.writers {
		if w.write(s) {
			going = append(going, s)
		}
	}
	e.writers = going
	for _, s := range read {
		if s.parts--; s.parts > 0 {
			continue
		}
		s.started, s.last = w.now, w.now
		if w.write(s) {
			f := w.engines[s.first]
			f.writers = append(f.writers, s)
			w.beginPass(s.first)
		}
	}
	for len(e.queue) > 0 && len(e.writers)+len(e.reads) < testEngine.Slots {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.parts = 1
		w.read(i, s, ReadTime(testEngine, s.prompt.Tokens, 1))
	}
	w.beginPass(i)
}

// write gives a stream its next event and reports whether more follow.
func (w *world) write(s *stream) bool {
	s.longest = max(s.longest, w.now-s.last)
	s.last = w.now
	if s.events--; s.events > 0 {
		return true
	}
	s.done = true
	w.engines[s.first].memory -= s.memory
	return false
}

// share returns the share of a kind's prompts for which holds is true.
func share(streams []*stream, kind string, holds func(*stream) bool) float64 {
	n, all := 0, 0
	for _, s := range streams {
		if s.kind != kind {
			continue
		}
		all++
		if holds(s) {
			n++
		}
	}
	return float64(n) / float64(max(all, 1))
}

// worth is what the answers in time are worth of what all could be, by the
// weights of the users' first site.
func worth(streams []*stream) float64 {
	weights := map[string]float64{captions.name: 1.3, packs.name: 3.1, reviews.name: 22}
	earned, owed := 0.0, 0.0
	for _, s := range streams {
		owed += weights[s.kind]
		switch {
		case s.inTime():
			earned += weights[s.kind]
		case s.done:
			earned += weights[s.kind] / 4
		}
	}
	return earned / owed
}
