package lavplan

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	playEngines = 16
	playLength  = 10 * time.Second
	playSeeds   = 5
)

// oneEach reads each prompt at the endpoint with least work.
func oneEach(e *lavconfig.Engine, p Prompt, board []Candidate, _ TieBreakers) (Plan, bool) {
	best := 0
	for i, c := range board {
		if c.Prefill+IterationTime(e, c.Load) < board[best].Prefill+IterationTime(e, board[best].Load) {
			best = i
		}
	}
	return Plan{Primary: best, Prefill: PrefillTime(e, p.Tokens, 1)}, true
}

// thinParts reads long prompts in parts of 6,000 tokens where least is to be
// read.
func thinParts(e *lavconfig.Engine, p Prompt, board []Candidate, ties TieBreakers) (Plan, bool) {
	plan, ok := oneEach(e, p, board, ties)
	parts := min(p.Tokens/6000+1, len(board))
	plan.Prefill = PrefillTime(e, p.Tokens, parts)
	for i := 1; i < parts; i++ {
		plan.Helpers = append(plan.Helpers, (plan.Primary+i)%len(board))
	}
	return plan, ok
}

// mean plays a load with several seeds and returns the mean of a figure.
func mean(place placer, figure func([]*stream) float64, kinds ...kind) float64 {
	sum := 0.0
	for seed := range uint64(playSeeds) {
		sum += figure(play(seed, playEngines, playLength, place, kinds...))
	}
	return sum / playSeeds
}

// The users' days alternate between a flood of captions and one of reviews.
var (
	captionFlood = []kind{captions.times(2.5), packs.times(0.5), reviews.times(0.05)}
	reviewFlood  = []kind{captions.times(0.3), packs.times(1.3), reviews.times(2.7)}
)

func TestPlaceBeatsBaselines(t *testing.T) {
	loads := []struct {
		name  string
		kinds []kind
	}{
		{"CaptionFlood", captionFlood},
		{"ReviewFlood", reviewFlood},
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			own := mean(Place, worth, l.kinds...)
			one := mean(oneEach, worth, l.kinds...)
			thin := mean(thinParts, worth, l.kinds...)
			t.Logf("worth: own %.3f, one each %.3f, thin parts %.3f", own, one, thin)
			lavassert.AtLeast(t, "worth against one each", own, one)
			lavassert.AtLeast(t, "worth against thin parts", own, thin)
		})
	}
}

// alternating is floods of reviews and of captions by turns, at x times the
// rates of a calm day.
func alternating(x float64) []kind {
	var kinds []kind
	for i, flood := range [][]kind{reviewFlood, captionFlood, reviewFlood} {
		from := time.Duration(i) * playLength
		for _, k := range flood {
			kinds = append(kinds, k.times(x).between(from, from+playLength))
		}
	}
	return kinds
}

func TestAlternatingFloods(t *testing.T) {
	for _, x := range []float64{1, 1.2} {
		own := mean(Place, worth, alternating(x)...)
		t.Logf("worth at %.1f: own %.3f", x, own)
		lavassert.AtLeast(t, "worth against one each", own, mean(oneEach, worth, alternating(x)...))
		lavassert.AtLeast(t, "worth against thin parts", own, mean(thinParts, worth, alternating(x)...))
	}
}

// TestNoKindStarves keeps to the users' gate: no kind is served less than a
// quarter as often as all.
func TestNoKindStarves(t *testing.T) {
	served := func(s *stream) bool { return s.done }
	for _, kinds := range [][]kind{captionFlood, reviewFlood} {
		for _, k := range kinds {
			got := mean(Place, func(s []*stream) float64 { return share(s, k.name, served) }, kinds...)
			lavassert.AtLeast(t, "share of "+k.name+" served", got, 0.5)
		}
	}
}

// TestCalmLoad has room for everybody.
func TestCalmLoad(t *testing.T) {
	calm := []kind{captions.times(0.5), packs.times(0.5), reviews.times(0.3)}
	refused := func(s *stream) bool { return s.refused }
	for _, k := range calm {
		got := mean(Place, func(s []*stream) float64 { return share(s, k.name, refused) }, calm...)
		lavassert.AtMost(t, "share of "+k.name+" refused", got, 0.01)
		inTime := mean(Place, func(s []*stream) float64 { return share(s, k.name, (*stream).inTime) }, calm...)
		lavassert.AtLeast(t, "share of "+k.name+" in time", inTime, 0.85)
	}
}

func idle(n int) []Candidate {
	board := make([]Candidate, n)
	for i := range board {
		board[i] = Candidate{Slots: 16, Slowdown: 1}
	}
	return board
}

func half() float64 { return 0.5 }

// even returns the same ties for all endpoints.
func even(board []Candidate) TieBreakers {
	return TieBreakers{Prefill: make([]float64, len(board)), Primary: make([]float64, len(board))}
}

func caption() Prompt {
	return Prompt{Tokens: 5000, MaxOutputTokens: 4000, Objective: 300 * time.Millisecond, PauseObjective: 200 * time.Millisecond}
}

func review(tokens int) Prompt {
	return Prompt{Tokens: tokens, MaxOutputTokens: 4000, Objective: 3 * time.Second, PauseObjective: 800 * time.Millisecond}
}

func TestPlaceAvoids(t *testing.T) {
	t.Run("Doubtful", func(t *testing.T) {
		board := idle(3)
		board[0].InBackoff, board[2].InBackoff = true, true
		plan, ok := Place(testEngine, caption(), board, even(board))
		lavassert.True(t, "placed", ok)
		lavassert.Equal(t, "the sound one", plan.Primary, 1)
	})
	t.Run("AllDoubtful", func(t *testing.T) {
		board := idle(1)
		board[0].InBackoff = true
		_, ok := Place(testEngine, caption(), board, even(board))
		lavassert.True(t, "placed all the same", ok)
	})
	t.Run("ShortStreams", func(t *testing.T) {
		board := idle(4)
		board[1].Load = Load{Requests: 8, Strict: 8}
		plan, _ := Place(testEngine, review(200_000), board, even(board))
		for _, i := range append([]int{plan.Primary}, plan.Helpers...) {
			lavassert.True(t, "no part beside short streams", i != 1)
		}
	})
	t.Run("SlowHelpers", func(t *testing.T) {
		board := idle(8)
		board[3].Slowdown = 5
		plan, _ := Place(testEngine, review(300_000), board, even(board))
		for _, i := range append([]int{plan.Primary}, plan.Helpers...) {
			lavassert.True(t, "no part at a slow endpoint", i != 3)
		}
	})
	t.Run("NoBoard", func(t *testing.T) {
		_, ok := Place(testEngine, caption(), nil, TieBreakers{})
		lavassert.True(t, "not placed", !ok)
	})
}

// TestLargeFleet lets many hosts that know the same place a short prompt each:
// they don't all take the same endpoint.
func TestLargeFleet(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	const hosts, endpoints = 68, 54
	board := idle(endpoints)
	for i := range board {
		board[i].Load = Load{Requests: 11, Strict: 11}
	}
	board[7].Load = Load{}
	taken := make([]int, endpoints)
	for range hosts {
		plan, ok := Place(testEngine, caption(), board, DrawTieBreakers(endpoints, hosts, draw.Float64))
		lavassert.True(t, "placed", ok)
		taken[plan.Primary]++
	}
	lavassert.AtMost(t, "prompts at the idle endpoint", taken[7], 12)
	few := DrawTieBreakers(16, 7, draw.Float64)
	lavassert.AtMost(t, "ties in a small fleet", slices.Max(few.Primary), tieSpread)
}

// TestPartsLeaveReadingAlone holds a part up to what it delays: a long prompt that
// an endpoint has begun to read is worth more than one short stream.
func TestPartsLeaveReadingAlone(t *testing.T) {
	const part = 300 * time.Millisecond
	candidate := func(l Load) Candidate { return Candidate{Load: l, Slots: testEngine.Slots, Slowdown: 1} }
	stream := partCost(testEngine, candidate(Load{Requests: 1, Strict: 1}), part)
	for _, c := range []struct {
		name    string
		reading time.Duration
		leave   bool
	}{
		{"much is being read", 1800 * time.Millisecond, true},
		{"little is being read", 400 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reads := partCost(testEngine, candidate(Load{Requests: 1, Prefill: c.reading}), part)
			lavassert.Equal(t, "the stream is disturbed instead", reads > stream, c.leave)
		})
	}
}

func TestPlaceGathers(t *testing.T) {
	board := idle(4)
	board[2].Load = Load{Requests: 3, Strict: 3}
	plan, _ := Place(testEngine, caption(), board, even(board))
	lavassert.Equal(t, "beside other short streams", plan.Primary, 2)
}

// TestMemory checks that plans for any prompt and board keep to the memory.
func TestMemory(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("a plan fits", prop.ForAll(func(tokens int, seed uint64) bool {
		draw := rand.New(rand.NewPCG(seed, 3))
		board := idle(6)
		for i := range board {
			board[i].KVTokens = draw.IntN(testEngine.MemoryTokens)
			board[i].Requests = draw.IntN(20)
			board[i].Strict = draw.IntN(board[i].Requests + 1)
			board[i].Prefill = time.Duration(draw.IntN(int(time.Second)))
		}
		p := review(tokens)
		plan, ok := Place(testEngine, p, board, DrawTieBreakers(len(board), 1, draw.Float64))
		if !ok {
			return true
		}
		rest := p.KVTokens(testEngine)
		for i, tokens := range plan.Reserve {
			if board[plan.Helpers[i]].KVTokens+tokens > testEngine.MemoryTokens {
				return false
			}
			rest -= tokens
		}
		return board[plan.Primary].KVTokens+rest <= testEngine.MemoryTokens && len(plan.Helpers) < maxParts
	}, gen.IntRange(1, 1_000_000), gen.UInt64()))
	properties.TestingRun(t)
}

func TestPromptsBeyondOneEngine(t *testing.T) {
	plan, ok := Place(testEngine, review(1_000_000), idle(16), even(idle(16)))
	lavassert.True(t, "placed", ok)
	lavassert.AtLeast(t, "helpers that hold memory", len(plan.Reserve), 2)
	_, ok = Place(testEngine, review(1_000_000), idle(2), even(idle(2)))
	lavassert.True(t, "not placed on two", !ok)
}

func TestAdmit(t *testing.T) {
	busy := idle(4)
	for i := range busy {
		busy[i].Prefill = time.Second
	}
	late := Plan{Expected: 5 * time.Second}
	lavassert.True(t, "in time", Admit(caption(), Plan{Expected: 100 * time.Millisecond}, busy))
	lavassert.True(t, "a late short one", !Admit(caption(), Plan{Expected: 400 * time.Millisecond}, idle(4)))
	lavassert.True(t, "a late long one while there is room", Admit(review(1_000_000), late, idle(4)))
	lavassert.True(t, "a late long one while there is none", !Admit(review(1_000_000), late, busy))
	back := review(1_000_000)
	back.Retried = true
	lavassert.True(t, "one who came back", Admit(back, late, busy))
	wait := RetryAfter(busy, half)
	lavassert.AtLeast(t, "time to come back", wait, time.Second)
	lavassert.AtMost(t, "time to come back", wait, mostRetryAfter)
}

func TestPlaceCall(t *testing.T) {
	board := idle(3)
	board[0].Requests, board[1].Requests = 4, 1
	board[2].InBackoff = true
	plan, ok := PlaceCall(board, half)
	lavassert.True(t, "placed", ok)
	lavassert.Equal(t, "least work among the sound", plan.Primary, 1)
	_, ok = PlaceCall(nil, half)
	lavassert.True(t, "not placed", !ok)
}
