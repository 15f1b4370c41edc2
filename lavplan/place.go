package lavplan

import (
	"cmp"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Candidate is an endpoint that may take a request.
type Candidate struct {
	Load
	// Slots is how many requests run at a time; more wait.
	Slots int
	// Doubtful endpoints have failed lately and are taken if no other can.
	Doubtful bool
}

// Prompt is a request to a model engine.
type Prompt struct {
	Tokens int
	// Answer is the most tokens that are written.
	Answer int
	// Pause is the longest pause between events that is in time.
	Pause time.Duration
}

// strictPause is the pause objective up to which a stream is strict: one long
// pass makes its answer late.
const strictPause = 300 * time.Millisecond

// Strict reports whether one long pass would make the answer late.
func (p Prompt) Strict() bool { return p.Pause > 0 && p.Pause <= strictPause }

// Orders of admission at an endpoint, 0 first.
const (
	strictPriority = 3
	usualPriority  = 5
)

// Priority returns the order of admission at an endpoint.
func (p Prompt) Priority() int {
	if p.Strict() {
		return strictPriority
	}
	return usualPriority
}

// Plan says which candidates serve a request. Its numbers index the board.
type Plan struct {
	First   int
	Helpers []int
	// Reading is the time that each of them reads.
	Reading time.Duration
	// Reserve is the memory to be reserved at helpers, in their order; missing
	// ones hold nothing.
	Reserve []int
}

const (
	// shortTokens is the longest prompt that one engine reads alone: some 85
	// ms of reading, less than half of the shortest pause objective.
	shortTokens = 20_000
	// partTokens is the length of the parts of longer prompts.
	partTokens = 6_000
	// maxHelpers is how many endpoints may help the first one.
	maxHelpers = 16
	// memoryPart is the part of an engine's memory that plans fill, since what
	// is known of it lags.
	memoryPart = 0.92
)

// Place chooses the endpoints for a prompt, or reports false if there is none
// with room. Draw breaks ties, so that hosts that see the same board differ.
func Place(e *lavconfig.Engine, p Prompt, board []Candidate, draw func() float64) (Plan, bool) {
	if len(board) == 0 {
		return Plan{}, false
	}
	order := byReading(e, board, draw)
	if p.Tokens <= shortTokens {
		return placeShort(e, p, board, order)
	}
	return placeLong(e, p, board, order)
}

// byReading orders the candidates: sound ones first, those with a free slot
// first, then by the time until a new prompt would be read.
func byReading(e *lavconfig.Engine, board []Candidate, draw func() float64) []int {
	type rated struct {
		at   int
		cost float64
	}
	rates := make([]rated, len(board))
	for i, c := range board {
		cost := (c.Reading + PassTime(e, c.Load)).Seconds()
		if c.Requests >= c.Slots {
			cost += float64(c.Requests-c.Slots+1) * fullCost
		}
		if c.Doubtful {
			cost += doubtCost
		}
		rates[i] = rated{at: i, cost: cost + draw()*tieSpread}
	}
	slices.SortFunc(rates, func(a, b rated) int { return cmp.Compare(a.cost, b.cost) })
	order := make([]int, len(rates))
	for i, r := range rates {
		order[i] = r.at
	}
	return order
}

// What a candidate's flaws count for, in seconds of reading.
const (
	// fullCost is the wait for a slot for each request ahead.
	fullCost = 0.2
	// doubtCost puts doubtful endpoints behind all sound ones.
	doubtCost = 1000
	// tieSpread is how far apart hosts rate the same endpoint.
	tieSpread = 0.004
)

func placeShort(e *lavconfig.Engine, p Prompt, board []Candidate, order []int) (Plan, bool) {
	need := p.Tokens + p.Answer
	for _, i := range order {
		if board[i].Memory+need <= memoryLimit(e) {
			return Plan{First: i, Reading: ReadTime(e, p.Tokens, 1)}, true
		}
	}
	return Plan{}, false
}

func memoryLimit(e *lavconfig.Engine) int { return int(float64(e.MemoryTokens) * memoryPart) }

// placeLong divides a prompt into thin parts. The endpoint with the most free
// memory among the readers is the first one; what doesn't fit there is reserved
// at helpers.
func placeLong(e *lavconfig.Engine, p Prompt, board []Candidate, order []int) (Plan, bool) {
	parts := min((p.Tokens+partTokens-1)/partTokens, maxHelpers+1, len(order))
	chosen := slices.Clone(order[:parts])
	slices.SortStableFunc(chosen, func(a, b int) int { return cmp.Compare(board[a].Memory, board[b].Memory) })
	plan := Plan{First: chosen[0], Helpers: chosen[1:], Reading: ReadTime(e, p.Tokens, parts)}
	rest := p.Tokens + p.Answer - (memoryLimit(e) - board[plan.First].Memory)
	for _, i := range plan.Helpers {
		if rest <= 0 {
			break
		}
		part := min(rest, memoryLimit(e)-board[i].Memory)
		if part <= 0 {
			break
		}
		plan.Reserve = append(plan.Reserve, part)
		rest -= part
	}
	return plan, rest <= 0
}
