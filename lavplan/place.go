package lavplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
)

// Candidate is an endpoint that may take a request.
type Candidate struct {
	Load
	// Slots is how many requests run at a time; more wait.
	Slots int
	// Pace is how many times longer than usual the endpoint's work takes.
	Pace float64
	// Doubtful endpoints have failed lately and are taken if no other can.
	Doubtful bool
}

// Plan says which candidates serve a request. Its numbers index the board.
type Plan struct {
	First   int
	Helpers []int
	// Reading is the time that each of them reads.
	Reading time.Duration
	// Expected is the time to the first event, as far as the board tells.
	Expected time.Duration
	// Wait is true if the prompt had better wait until others have been read:
	// read now, its parts meet theirs in one pass.
	Wait bool
	// Reserve is the memory to be reserved at helpers, in their order; missing
	// ones hold nothing.
	Reserve []int
}

const (
	// maxParts is the number of endpoints that may read one prompt: the first
	// and the helpers that it may name.
	maxParts = 17
	// longTokens is the length of prompts that may wait for others to be read.
	longTokens = 12_000
	// memoryPart is the part of an engine's memory that plans fill, since what
	// is known of it lags.
	memoryPart = 0.92
)

// Costs are in answers of a short prompt that come late.
const (
	// doubtCost puts doubtful endpoints behind all sound ones.
	doubtCost = 1000
	// fullCost is added for each request that must end before this one begins.
	fullCost = 1.0
	// crowdCost is added for each request beyond crowdPart of the slots, which
	// are left to those of whom this host hasn't heard yet.
	crowdCost = 0.12
	crowdPart = 0.7
	// openCost is the cost of streams on one more endpoint: it can read long
	// prompts no longer without making them late.
	openCost = 0.5
	// companyGain draws streams to endpoints that have some of their kind.
	companyGain = 0.03
	// mixCost is the cost of short streams beside long ones, whose prompts are
	// read there in part.
	mixCost = 1.0
	// reserveCost is the cost of memory that has to be reserved elsewhere.
	reserveCost = 1.0
	// readCost is the cost of a second of reading that lies ahead: of two
	// endpoints that are harmed alike the idler one is taken.
	readCost = 0.2
	// delayCost is the cost of a part of a second where a second of reading is
	// under way: engines read the part that came last first, so that a long
	// prompt waits for all that come after it.
	delayCost = 3.0
	// helperCost is what each helper adds: one more endpoint whose loss would
	// hold the prompt up.
	helperCost = 0.02
	// tieSpread is how far apart hosts rate the same endpoint.
	tieSpread = 0.12
	// asideCost puts endpoints that weren't drawn behind those that were.
	asideCost = 100
)

// In a fleet of more than sampleHosts, hosts place many prompts between two times
// that they hear of each other. If each one took the best endpoint that it knows,
// all would take the same. A host then chooses the first endpoint among a few
// that it draws for each prompt: the fewer, the more hosts there are.
const (
	sampleHosts = 16
	// samplePart is the part of the endpoints that is drawn in a fleet just
	// larger than that, and leastSample the fewest.
	samplePart  = 0.3
	leastSample = 3
)

// Ties are costs that are drawn for each endpoint, so that hosts that see the
// same board differ.
type Ties struct {
	// Part is for reading a part, and First for writing the answer.
	Part, First []float64
}

// DrawTies draws the ties for one prompt in a fleet of that many hosts. Draw
// returns numbers from 0 up to 1.
func DrawTies(endpoints, hosts int, draw func() float64) Ties {
	t := Ties{Part: make([]float64, endpoints), First: make([]float64, endpoints)}
	for i := range t.Part {
		t.Part[i] = draw() * tieSpread
	}
	if hosts <= sampleHosts {
		return t
	}
	share := samplePart * sampleHosts / float64(hosts)
	sample := max(int(share*float64(endpoints)), leastSample)
	drawn := slices.Sorted(slices.Values(t.Part))
	for i := range t.First {
		if sample < endpoints && t.Part[i] >= drawn[sample] {
			t.First[i] += asideCost
		}
	}
	return t
}

// Place chooses the endpoints for a prompt, or reports false if there is none
// with room. Ties are added to the costs of the endpoints.
//
// For each number of parts it takes the endpoints that are harmed least by one
// of them, and of all these choices the one that costs least: answers that the
// longer passes make late, and this prompt's own if it is read too slowly.
func Place(e *lavconfig.Engine, p Prompt, board []Candidate, ties Ties) (Plan, bool) {
	least, most := partsFor(e, p, board)
	lowest := math.Inf(1)
	best := Plan{}
	for parts := least; parts <= most; parts++ {
		plan, cost, ok := placeParts(e, p, board, ties, parts)
		if ok && cost < lowest {
			best, lowest = plan, cost
		}
	}
	return best, !math.IsInf(lowest, 1)
}

// Bounds of the parts of a prompt that takes the whole fleet long to read.
const (
	// bulkTime is the time of reading on all endpoints from which a prompt is
	// bulk: others would wait too long for the endpoints that it takes.
	bulkTime = 330 * time.Millisecond
	// bulkShare is the share of the endpoints that such a prompt takes, unless
	// it would then take longer than bulkLimit.
	bulkShare = 0.25
	bulkLimit = 8500 * time.Millisecond
)

// partsFor returns the least and the most parts that a prompt is read in.
func partsFor(e *lavconfig.Engine, p Prompt, board []Candidate) (least, most int) {
	most = min(maxParts, len(board))
	if ReadTime(e, p.Tokens, most) < bulkTime || !Busy(board) {
		return 1, most
	}
	whole := ReadTime(e, p.Tokens, 1)
	least = int(whole/bulkLimit) + 1
	bulk := max(least, int(bulkShare*float64(len(board))))
	return min(least, most), min(bulk, most)
}

// busyTime is the reading ahead at the mean endpoint from which a fleet is busy.
const busyTime = 150 * time.Millisecond

// Doubtful returns how many candidates have failed lately.
func Doubtful(board []Candidate) int {
	n := 0
	for _, c := range board {
		if c.Doubtful {
			n++
		}
	}
	return n
}

// Busy reports whether much is to be read already.
func Busy(board []Candidate) bool { return Backlog(board) > busyTime }

// Backlog returns the reading ahead at the mean endpoint.
func Backlog(board []Candidate) time.Duration {
	var sum time.Duration
	for _, c := range board {
		sum += c.Reading
	}
	return sum / time.Duration(max(len(board), 1))
}

// placeParts chooses so many endpoints for the parts of a prompt.
func placeParts(e *lavconfig.Engine, p Prompt, board []Candidate, ties Ties, parts int) (Plan, float64, bool) {
	part := ReadTime(e, p.Tokens, parts)
	costs := make([]float64, len(board))
	order := make([]int, len(board))
	for i, c := range board {
		costs[i] = partCost(e, c, part) + ties.Part[i]
		order[i] = i
	}
	first, total, ok := chooseFirst(e, p, board, costs, ties.First, parts == 1)
	if !ok {
		return Plan{}, 0, false
	}
	plan := Plan{First: first, Reading: part}
	slowest := passWith(e, board[first], part)
	met := metHarm(e, board[first], part)
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(costs[a], costs[b]) })
	for _, i := range order {
		if len(plan.Helpers) == parts-1 {
			break
		}
		if i == first {
			continue
		}
		plan.Helpers = append(plan.Helpers, i)
		total += costs[i] + helperCost
		slowest = max(slowest, passWith(e, board[i], part))
		met += metHarm(e, board[i], part)
	}
	wait := slowest + board[first].paced(PassTime(e, board[first].Load)/2+slotWait(e, p, board[first]))
	total += p.weight() * lateness(wait, p.Objective)
	plan.Expected = wait
	plan.Wait = met > 0 && p.Tokens > longTokens
	plan.Reserve, ok = reserve(e, p, board, plan)
	return plan, total, ok
}

// passWith returns the length of the pass in which an endpoint reads a part.
func passWith(e *lavconfig.Engine, c Candidate, part time.Duration) time.Duration {
	return c.paced(PassTime(e, c.Load) + c.Reading + part)
}

// paced returns how long work takes at the endpoint's pace.
func (c Candidate) paced(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(c.Pace, 1))
}

// metHarm is what reading a part at an endpoint now costs more than reading it
// once the endpoint has read what lies ahead.
func metHarm(e *lavconfig.Engine, c Candidate, part time.Duration) float64 {
	idle := PassTime(e, c.Load)
	now := c.harm(c.paced(idle+c.Reading+part)) - c.harm(c.paced(idle+c.Reading))
	return now - (c.harm(c.paced(idle+part)) - c.harm(c.paced(idle)))
}

// partCost is what reading a part at an endpoint costs others.
func partCost(e *lavconfig.Engine, c Candidate, part time.Duration) float64 {
	before, after := passWith(e, c, 0), passWith(e, c, part)
	ahead := c.Reading.Seconds()
	cost := c.harm(after) - c.harm(before) + readCost*ahead + delayCost*part.Seconds()*ahead
	if c.Doubtful {
		cost += doubtCost
	}
	return cost
}

// chooseFirst chooses the endpoint that writes the answer, by what its part
// costs there, its free slots and memory, and the company that the stream has.
func chooseFirst(e *lavconfig.Engine, p Prompt, board []Candidate, costs, ties []float64, alone bool) (int, float64, bool) {
	best, least := -1, math.Inf(1)
	for i, c := range board {
		if alone && c.Memory+p.Memory(e) > memoryLimit(e) {
			continue
		}
		cost := costs[i] + ties[i] + slotCost(p, c) + float64(c.Memory)/float64(max(e.MemoryTokens, 1))
		cost += companyCost(p, c)
		if c.Memory+p.Memory(e) > memoryLimit(e) {
			cost += reserveCost
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best, least, best >= 0
}

// before returns how many requests of a candidate have a slot or get one before
// a prompt does. Those that come late anyway wait longest.
func (c Candidate) before(p Prompt) int {
	if !p.Strict() || p.Late() {
		return c.Requests
	}
	waiting := max(c.Requests-c.Slots, 0)
	return c.Requests - min(waiting, c.Late)
}

func slotCost(p Prompt, c Candidate) float64 {
	if before := c.before(p); before >= c.Slots {
		return fullCost * float64(before-c.Slots+1)
	}
	return crowdCost * max(float64(c.Requests)-crowdPart*float64(c.Slots), 0)
}

// companyCost is what a stream costs by its place among others: streams gather,
// so that many endpoints have none and may read for as long as they like.
func companyCost(p Prompt, c Candidate) float64 {
	kin, others := c.Strict, c.Requests-c.Strict
	if !p.Strict() {
		kin, others = others, kin
	}
	switch {
	case c.Requests == 0:
		return openCost
	case others > 0:
		return mixCost - companyGain*float64(kin)
	default:
		return -companyGain * float64(kin)
	}
}

// slotWait is how long a prompt waits for a slot: those who have one end one
// after the other.
func slotWait(e *lavconfig.Engine, p Prompt, c Candidate) time.Duration {
	ahead := c.before(p) - c.Slots + 1
	if ahead <= 0 || c.Slots <= 0 {
		return 0
	}
	passes := e.MeanOutputTokens / float64(max(e.StepsPerIteration, 1))
	stream := time.Duration(passes * float64(PassTime(e, c.Load)))
	return time.Duration(ahead) * stream / time.Duration(c.Slots)
}

func memoryLimit(e *lavconfig.Engine) int { return int(float64(e.MemoryTokens) * memoryPart) }

// reserve returns the memory to reserve at the helpers for what of a prompt
// doesn't fit at the first endpoint, or false if it fits nowhere.
func reserve(e *lavconfig.Engine, p Prompt, board []Candidate, plan Plan) ([]int, bool) {
	rest := p.Memory(e) - (memoryLimit(e) - board[plan.First].Memory)
	var held []int
	for _, i := range plan.Helpers {
		if rest <= 0 {
			break
		}
		part := min(rest, memoryLimit(e)-board[i].Memory)
		if part <= 0 {
			return nil, false
		}
		held = append(held, part)
		rest -= part
	}
	return held, rest <= 0
}
