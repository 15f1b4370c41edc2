package lavplan

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// testEngine has the engine parameters of the target sites: the sites for which the
// program is made, and whose objectives it must meet.
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

// stream is a prompt in a simulation.
type stream struct {
	workload   string
	prompt     Prompt
	arrived    time.Duration
	eventsLeft int
	// prefillsLeft is the number of parts whose prefill has not ended.
	prefillsLeft int
	primary      int
	kvTokens     int
	// host placed the stream at placedAt.
	host       int
	placedAt   time.Duration
	started    time.Duration
	lastEvent  time.Duration
	longestGap time.Duration
	refused    bool
	done       bool
}

// inTime reports whether the answer was complete and met both objectives.
func (s *stream) inTime() bool {
	return s.done && s.started-s.arrived <= s.prompt.Objective && s.longestGap <= s.prompt.PauseObjective
}

// engine simulates a model engine with batch iterations.
type engine struct {
	queue        []*stream
	decoding     []*stream
	prefills     []*stream
	prefillTimes []time.Duration
	// runningPrefills is how much of each prefill is in the running iteration.
	runningPrefills []time.Duration
	busy            bool
	// prefillDone is when the prefill backlog ends if nothing else runs.
	prefillDone time.Duration
	kvTokens    int
	// placed are the parts of prompts that were placed here.
	placed []placedPart
}

// placedPart is a part of a stream's prompt.
type placedPart struct {
	stream *stream
	length time.Duration
}

// enqueue inserts a stream by priority, behind streams of the same priority.
func (e *engine) enqueue(model *lavconfig.Engine, s *stream) {
	i := len(e.queue)
	for i > 0 && e.queue[i-1].prompt.Priority(model) > s.prompt.Priority(model) {
		i--
	}
	e.queue = slices.Insert(e.queue, i, s)
}

// finishPrefills takes the running iteration's prefill off, and returns the streams of the parts
// that are complete.
func (e *engine) finishPrefills() []*stream {
	var done, prefills []*stream
	var times []time.Duration
	for i, s := range e.prefills {
		left := e.prefillTimes[i]
		if i < len(e.runningPrefills) {
			left -= e.runningPrefills[i]
		}
		if left <= 0 {
			done = append(done, s)
			continue
		}
		prefills, times = append(prefills, s), append(times, left)
	}
	e.prefills, e.prefillTimes, e.runningPrefills = prefills, times, nil
	return done
}
