package lavqueue_test

import (
	"errors"
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// A short request overtakes a long one that arrived earlier, and a request that
// cannot finish before its deadline is refused at once.
func Example() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	rates := lavqueue.Rates{DrainRate: 16_000, PrefillRate: 16_000, DecodeRate: 40}
	q := lavqueue.New()
	for _, r := range []*lavrequest.Request{
		{ID: "audit", Customer: "a", PromptTokens: 300_000, MaxTokens: 100, Deadline: now.Add(10 * time.Minute)},
		{ID: "caption", Customer: "a", PromptTokens: 2000, MaxTokens: 40, Deadline: now.Add(20 * time.Second)},
		{ID: "infeasible", Customer: "b", PromptTokens: 300_000, MaxTokens: 100, Deadline: now.Add(10 * time.Second)},
	} {
		var refusal *lavqueue.Refusal
		if errors.As(q.Offer(now, r, rates), &refusal) {
			fmt.Println(r.ID, refusal.Reason)
		}
	}
	fitsAny := func(*lavrequest.Request) bool { return true }
	for r := q.Next(now, fitsAny); r != nil; r = q.Next(now, fitsAny) {
		fmt.Println(r.ID, "dispatched")
	}
	// Output:
	// infeasible Deadline
	// caption dispatched
	// audit dispatched
}
