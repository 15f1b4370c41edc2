package lavplan

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// placeFunc chooses endpoints for a prompt, like Place.
type placeFunc func(e *lavconfig.Engine, p Prompt, candidates []Candidate, tieBreakers TieBreakers) (Plan, bool)

// fleet is the size of a simulated fleet.
type fleet struct {
	// model describes the engines, testEngine if it is nil.
	model   *lavconfig.Engine
	engines int
	// hosts place the prompts, each as many as the others.
	hosts int
	// reportDelay is the time after which a host knows what another one has placed.
	reportDelay time.Duration
	// scheduled is true if a scheduler places the prompts of all hosts. Questions and answers
	// take questionDelay each.
	scheduled bool
	// helpersFirst is true if the engines prefill the parts of helpers before prompts of their
	// own, the newest one first, up to passBudget in an iteration, as those of the platform do.
	helpersFirst bool
}

// passBudget is the prefill time of an iteration.
const passBudget = 480 * time.Millisecond

const (
	questionDelay = 5 * time.Millisecond
	// decisionInterval is the time between two decisions while prompts wait.
	decisionInterval = 20 * time.Millisecond
)

// simulation runs workloads on simulated engines.
type simulation struct {
	fleet
	running []*engine
	pending events
	now     time.Duration
	place   placeFunc
	draw    *rand.Rand
	streams []*stream
	// scheduler is nil unless the fleet has one. asked are its questions by number, and granted
	// the streams that it has placed, in order.
	scheduler *Scheduler
	asked     map[uint64]*stream
	granted   []*stream
	ticking   bool
}

// Events that are not the end of an iteration have a negative engine.
const (
	arrival = -1 - iota
	question
	answer
	decisionTick
)

// simulate runs workloads on the given number of engines. Prompts arrive during
// length. It returns all prompts with their results.
func simulate(seed uint64, engines int, length time.Duration, place placeFunc, workloads ...workload) []*stream {
	return simulateFleet(seed, fleet{engines: engines, hosts: 1}, length, place, workloads...)
}

// simulateFleet is simulate with several hosts that place prompts.
func simulateFleet(seed uint64, f fleet, length time.Duration, place placeFunc, workloads ...workload) []*stream {
	f.model = cmp.Or(f.model, testEngine)
	w := &simulation{fleet: f, place: place, draw: rand.New(rand.NewPCG(seed, 7))}
	for range f.engines {
		w.running = append(w.running, &engine{})
	}
	for _, k := range workloads {
		w.scheduleArrivals(k, length)
	}
	if f.scheduled {
		w.scheduler, w.asked = NewScheduler(w.draw.Float64), make(map[uint64]*stream)
	}
	for w.pending.Len() > 0 {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		switch e.engine {
		case arrival:
			w.arrive(e.stream)
		case question:
			w.ask(e.stream)
		case answer:
			w.begin(e.stream, e.plan)
		case decisionTick:
			w.ticking = false
			w.decide()
		default:
			w.endIteration(e.engine)
		}
	}
	return w.streams
}

func (w *simulation) scheduleArrivals(k workload, length time.Duration) {
	at := k.from
	if k.until > 0 {
		length = k.until
	}
	for {
		at += time.Duration(w.draw.ExpFloat64() / (k.perSecond * (1 + k.swing)) * float64(time.Second))
		if at > length {
			return
		}
		if k.swing > 0 && w.draw.Float64() > k.share(at) {
			continue
		}
		s := &stream{
			workload:   k.name,
			arrived:    at,
			eventsLeft: max(int(k.events*(0.5+w.draw.Float64())), 1),
			prompt:     Prompt{Tokens: k.drawTokens(w.draw), MaxOutputTokens: 4000, Objective: k.objective, PauseObjective: k.pause, Rank: k.rank, Ranks: k.ranks},
		}
		w.streams = append(w.streams, s)
		heap.Push(&w.pending, event{at: at, engine: arrival, stream: s})
	}
}

// knows reports whether a host knows of a stream that is on an engine.
func (w *simulation) knows(host int, s *stream) bool {
	return s.host == host || w.now-s.placedAt >= w.reportDelay
}

// unknownPrefill returns how much of an engine's prefill backlog a host doesn't know.
func (w *simulation) unknownPrefill(host int, e *engine) time.Duration {
	e.placed = slices.DeleteFunc(e.placed, func(p placedPart) bool { return w.now-p.stream.placedAt >= w.reportDelay })
	var sum time.Duration
	for _, p := range e.placed {
		if !w.knows(host, p.stream) {
			sum += p.length
		}
	}
	return sum
}

// candidates returns the engines as a host knows them.
func (w *simulation) candidates(host int) []Candidate {
	candidates := make([]Candidate, len(w.running))
	for i, e := range w.running {
		c := Candidate{Slots: w.model.Slots, Slowdown: 1}
		c.KVTokens = e.kvTokens
		c.Prefill = max(e.prefillDone-w.now-w.unknownPrefill(host, e), 0)
		for _, list := range [][]*stream{e.queue, e.decoding, e.prefills} {
			for _, s := range list {
				if s.primary != i || !w.knows(host, s) {
					continue
				}
				c.Requests++
				c.Streams = c.Streams.plus(s.prompt.Load(0, 0).Streams)
				if s.prompt.Late() && s.started == 0 {
					c.Late++
				}
			}
		}
		candidates[i] = c
	}
	return candidates
}

func (w *simulation) arrive(s *stream) {
	if w.scheduler != nil {
		heap.Push(&w.pending, event{at: w.now + questionDelay, engine: question, stream: s})
		return
	}
	s.host, s.placedAt = w.draw.IntN(w.hosts), w.now
	candidates := w.candidates(s.host)
	plan, ok := w.place(w.model, s.prompt, candidates, DrawTieBreakers(len(candidates), w.hosts, w.draw.Float64))
	if !ok || !Admit(w.model, s.prompt, plan, candidates) {
		w.refuse(s, candidates)
		return
	}
	w.begin(s, plan)
}

// ask asks the scheduler.
func (w *simulation) ask(s *stream) {
	number := uint64(len(w.asked) + 1)
	w.asked[number] = s
	start := time.Time{}
	w.scheduler.Ask(Ask{ID: AskID{Host: "all", Number: number}, Prompt: s.prompt, Arrived: start.Add(w.now), GiveUp: start.Add(s.arrived + time.Hour)})
	w.decide()
}

// decide lets the scheduler answer questions, on reports that are reportDelay old.
func (w *simulation) decide() {
	for i := len(w.granted) - 1; i >= 0; i-- {
		if w.knows(-1, w.granted[i]) {
			w.scheduler.Settle("all", uint64(i+1))
			break
		}
	}
	v := View{Engine: w.model, Candidates: w.candidates(-1)}
	for i := range v.Candidates {
		v.Endpoints = append(v.Endpoints, lavconfig.Incarnation{StartedAt: int64(i)})
	}
	for _, d := range w.scheduler.Decide(time.Time{}.Add(w.now), v) {
		s := w.asked[d.ID.Number]
		if d.Grant == 0 {
			w.refuse(s, v.Candidates)
			continue
		}
		d.Plan.Primary = int(d.Primary.StartedAt)
		for i, h := range d.Helpers {
			d.Plan.Helpers[i] = int(h.StartedAt)
		}
		s.host, s.placedAt = 0, w.now
		w.granted = append(w.granted, s)
		heap.Push(&w.pending, event{at: w.now + questionDelay, engine: answer, stream: s, plan: d.Plan})
	}
	if w.scheduler.Waiting() > 0 && !w.ticking {
		w.ticking = true
		heap.Push(&w.pending, event{at: w.now + decisionInterval, engine: decisionTick})
	}
}

// begin sends a stream to its engines.
func (w *simulation) begin(s *stream, plan Plan) {
	s.refused = false
	s.primary = plan.Primary
	s.prefillsLeft = 1 + len(plan.Helpers)
	s.kvTokens = s.prompt.KVTokens(w.model)
	primary := w.running[plan.Primary]
	primary.kvTokens += s.kvTokens
	if len(primary.decoding)+len(primary.queue) >= w.model.Slots {
		primary.enqueue(w.model, s)
		return
	}
	for _, i := range append([]int{plan.Primary}, plan.Helpers...) {
		w.addPrefill(i, s, plan.Prefill)
	}
}

// refuse refuses a prompt. Its caller retries it once.
func (w *simulation) refuse(s *stream, candidates []Candidate) {
	s.refused = true
	if s.prompt.Retried {
		return
	}
	s.prompt.Retried = true
	heap.Push(&w.pending, event{at: w.now + RetryAfter(candidates, Absence{}, w.draw.Float64), engine: arrival, stream: s})
}

func (w *simulation) addPrefill(i int, s *stream, part time.Duration) {
	e := w.running[i]
	e.placed = append(e.placed, placedPart{s, part})
	e.prefills = append(e.prefills, s)
	e.prefillTimes = append(e.prefillTimes, part)
	e.prefillDone = max(e.prefillDone, w.now) + part
	w.beginIteration(i)
}

func (w *simulation) beginIteration(i int) {
	e := w.running[i]
	if e.busy || len(e.prefills) == 0 && len(e.decoding) == 0 {
		return
	}
	length := time.Duration(0)
	if len(e.decoding) > 0 {
		length = IterationTime(w.model, Load{Requests: len(e.decoding), KVTokens: e.kvTokens})
	}
	e.busy, e.runningPrefills = true, w.iterationPrefills(i)
	for _, part := range e.runningPrefills {
		length += part
	}
	heap.Push(&w.pending, event{at: w.now + length, engine: i})
}

// iterationPrefills returns how much of each prefill the next iteration of an engine contains.
func (w *simulation) iterationPrefills(i int) []time.Duration {
	e := w.running[i]
	parts := slices.Clone(e.prefillTimes)
	if !w.helpersFirst {
		return parts
	}
	budget := passBudget
	for _, own := range []bool{false, true} {
		for j := len(parts) - 1; j >= 0; j-- {
			if own == (e.prefills[j].primary == i) {
				parts[j] = min(parts[j], budget)
				budget -= parts[j]
			}
		}
	}
	return parts
}

func (w *simulation) endIteration(i int) {
	e := w.running[i]
	e.busy = false
	done := e.finishPrefills()
	var remaining []*stream
	for _, s := range e.decoding {
		if w.emitEvent(s) {
			remaining = append(remaining, s)
		}
	}
	e.decoding = remaining
	for _, s := range done {
		if s.prefillsLeft--; s.prefillsLeft > 0 {
			continue
		}
		s.started, s.lastEvent = w.now, w.now
		if w.emitEvent(s) {
			f := w.running[s.primary]
			f.decoding = append(f.decoding, s)
			w.beginIteration(s.primary)
		}
	}
	for len(e.queue) > 0 && len(e.decoding)+len(e.prefills) < w.model.Slots {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.prefillsLeft = 1
		w.addPrefill(i, s, PrefillTime(w.model, s.prompt.Tokens, 1))
	}
	w.beginIteration(i)
}

// emitEvent emits a stream's next event and reports whether more follow.
func (w *simulation) emitEvent(s *stream) bool {
	s.longestGap = max(s.longestGap, w.now-s.lastEvent)
	s.lastEvent = w.now
	if s.eventsLeft--; s.eventsLeft > 0 {
		return true
	}
	s.done = true
	w.running[s.primary].kvTokens -= s.kvTokens
	return false
}

// share returns the fraction of a workload's prompts that match.
func share(streams []*stream, workload string, matches func(*stream) bool) float64 {
	n, all := 0, 0
	for _, s := range streams {
		if s.workload != workload {
			continue
		}
		all++
		if matches(s) {
			n++
		}
	}
	return float64(n) / float64(max(all, 1))
}

// servedValue returns the value of the answers relative to that of all prompts, with
// the weights of the first target site. A complete but late answer earns a quarter.
func servedValue(streams []*stream) float64 {
	weights := map[string]float64{captions.name: 1.3, packs.name: 3.1, reviews.name: 22}
	earned, possible := 0.0, 0.0
	for _, s := range streams {
		possible += weights[s.workload]
		switch {
		case s.inTime():
			earned += weights[s.workload]
		case s.done:
			earned += weights[s.workload] / 4
		}
	}
	return earned / possible
}
