package lavqueue_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// rates are those of a single endpoint serving a single host.
var rates = lavqueue.Rates{DrainRate: 16_000, PrefillRate: 16_000, DecodeRate: 40}

func fitsAny(*lavrequest.Request) bool { return true }

// request returns a request of a customer that arrives at start.
func request(customer string, tokens int, allowed time.Duration) *lavrequest.Request {
	return &lavrequest.Request{
		ID: lavrequest.NewID(), Customer: customer, Model: "m", PromptTokens: tokens, MaxTokens: 40,
		Arrived: start, Deadline: start.Add(allowed),
	}
}

// mustOffer queues requests that must be admitted.
func mustOffer(t *testing.T, q *lavqueue.Queue, requests ...*lavrequest.Request) {
	t.Helper()
	for _, r := range requests {
		lavassert.NoError(t, q.Offer(start, r, rates))
	}
}

// requireRefusal checks that a request is refused for the given reason, and
// returns the retry time.
func requireRefusal(t *testing.T, q *lavqueue.Queue, r *lavrequest.Request, want lavqueue.Reason) time.Duration {
	t.Helper()
	var got *lavqueue.Refusal
	if !errors.As(q.Offer(start, r, rates), &got) {
		t.Fatalf("request admitted, want refusal with reason %v", want)
	}
	lavassert.Equal(t, "reason", got.Reason, want)
	return got.RetryAfter
}

func TestAdmission(t *testing.T) {
	t.Run("infeasible even on an idle endpoint: no retry time", func(t *testing.T) {
		got := requireRefusal(t, lavqueue.New(), request("a", 160_000, 10*time.Second), lavqueue.ReasonDeadline)
		lavassert.Equal(t, "retry after", got, 0)
	})
	t.Run("infeasible behind the queued work: refused with a retry time", func(t *testing.T) {
		q := lavqueue.New()
		for range 10 {
			mustOffer(t, q, request("a", 90_000, 10*time.Minute))
		}
		got := requireRefusal(t, q, request("a", 90_000, 30*time.Second), lavqueue.ReasonDeadline)
		lavassert.AtLeast(t, "retry after", got, 25*time.Second)
		lavassert.AtMost(t, "retry after", got, 80*time.Second)
		mustOffer(t, q, request("a", 1000, 10*time.Second))
	})
	t.Run("another customer's backlog counts only up to its share", func(t *testing.T) {
		q := lavqueue.New()
		for range 20 {
			mustOffer(t, q, request("a", 90_000, 10*time.Minute))
		}
		mustOffer(t, q, request("b", 90_000, 30*time.Second))
	})
	t.Run("limits per customer and for the whole queue", func(t *testing.T) {
		s := lavqueue.DefaultSettings()
		s.MaxWaiting, s.MaxPerCustomer = 3, 2
		q := lavqueue.NewWithSettings(s)
		mustOffer(t, q, request("a", 1000, time.Minute), request("a", 1000, time.Minute))
		lavassert.AtLeast(t, "retry after", requireRefusal(t, q, request("a", 1000, time.Minute), lavqueue.ReasonFull), time.Second)
		mustOffer(t, q, request("b", 1000, time.Minute))
		requireRefusal(t, q, request("c", 1000, time.Minute), lavqueue.ReasonFull)
	})
	t.Run("quarantine is checked first", func(t *testing.T) {
		s := lavqueue.DefaultSettings()
		s.Refuse = func(r *lavrequest.Request) *lavqueue.Refusal {
			if r.Fingerprint == 13 {
				return &lavqueue.Refusal{Reason: lavqueue.ReasonQuarantined}
			}
			return nil
		}
		q := lavqueue.NewWithSettings(s)
		r := request("a", 1000, time.Minute)
		r.Fingerprint = 13
		requireRefusal(t, q, r, lavqueue.ReasonQuarantined)
		mustOffer(t, q, request("a", 1000, time.Minute))
	})
}

func TestOrder(t *testing.T) {
	t.Run("shortest lane first, then lowest virtual time", func(t *testing.T) {
		q := lavqueue.New()
		long, a1, a2, b1 := request("a", 50_000, 10*time.Minute), request("a", 1000, time.Minute), request("a", 1000, time.Minute), request("b", 1000, time.Minute)
		mustOffer(t, q, long, a1, a2, b1)
		var got []*lavrequest.Request
		for q.Len() > 0 {
			got = append(got, q.Next(start, fitsAny))
		}
		lavassert.Equal(t, "order", got, []*lavrequest.Request{a1, b1, a2, long})
	})
	t.Run("a customer beyond the burst yields to one with less service, across lanes", func(t *testing.T) {
		q := lavqueue.New()
		for range 200 {
			mustOffer(t, q, request("a", 1000, 10*time.Minute))
		}
		mustOffer(t, q, request("b", 60_000, 10*time.Minute))
		before := 0
		for q.Next(start, fitsAny).Customer == "a" {
			before++
		}
		lavassert.AtLeast(t, "short requests dispatched first", before, 20)
		lavassert.AtMost(t, "short requests dispatched first", before, 60)
	})
	t.Run("an idle customer accumulates no share", func(t *testing.T) {
		q := lavqueue.New()
		for range 100 {
			mustOffer(t, q, request("a", 10_000, time.Hour))
			q.Next(start, fitsAny)
		}
		for range 20 {
			mustOffer(t, q, request("a", 10_000, time.Hour), request("b", 10_000, time.Hour))
		}
		fromIdle := 0
		for range 20 {
			if q.Next(start, fitsAny).Customer == "b" {
				fromIdle++
			}
		}
		lavassert.AtMost(t, "dispatches of the previously idle customer among the first twenty", fromIdle, 12)
	})
	t.Run("a request close to its latest start goes first", func(t *testing.T) {
		q := lavqueue.New()
		urgentRequest := request("b", 50_000, 20*time.Second)
		mustOffer(t, q, request("a", 1000, time.Minute), urgentRequest)
		lavassert.Equal(t, "next", q.Next(urgentRequest.Deadline.Add(-5*time.Second), fitsAny), urgentRequest)
	})
	t.Run("a request that does not fit does not block another", func(t *testing.T) {
		q := lavqueue.New()
		big, small := request("a", 90_000, 10*time.Minute), request("b", 70_000, 10*time.Minute)
		mustOffer(t, q, big, small)
		fits := func(r *lavrequest.Request) bool { return r.PromptTokens < 80_000 }
		lavassert.Equal(t, "next", q.Next(start, fits), small)
		lavassert.Equal(t, "next", q.Next(start, fits), nil)
		lavassert.Equal(t, "requests still queued", q.Len(), 1)
	})
	t.Run("FIFO queue dispatches in order of arrival", func(t *testing.T) {
		q := lavqueue.NewFIFO()
		first, second := request("a", 90_000, 10*time.Minute), request("b", 1000, time.Minute)
		mustOffer(t, q, first, second)
		lavassert.Equal(t, "next", q.Next(start, fitsAny), first)
	})
}

func TestLaneBoundaries(t *testing.T) {
	q := lavqueue.New()
	now := start
	for range 4000 {
		now = now.Add(50 * time.Millisecond)
		lavassert.NoError(t, q.Offer(now, &lavrequest.Request{PromptTokens: 12_000, Deadline: now.Add(time.Hour)}, lavqueue.Rates{}))
		q.Next(now, fitsAny)
		lavassert.NoError(t, q.Offer(now, &lavrequest.Request{PromptTokens: 200_000, Deadline: now.Add(time.Hour)}, lavqueue.Rates{}))
		q.Next(now, fitsAny)
	}
	lavassert.AtLeast(t, "upper boundary of the short lane", q.LaneBoundaries()[0], 12_001)
	lavassert.Equal(t, "lane of a 12,000-token prompt", q.Lane(request("a", 12_000, time.Hour)), lavrequest.ClassShort)
}

// BenchmarkQueue measures offering a request to a queue with thousands of
// waiting requests and taking one out. In the variant Stuck no request fits.
func BenchmarkQueue(b *testing.B) {
	for _, variant := range []string{"Fits", "Stuck"} {
		b.Run(variant, func(b *testing.B) {
			q := lavqueue.New()
			r := make([]*lavrequest.Request, 4000)
			for i := range r {
				r[i] = request(fmt.Sprint("customer-", i%2000), 1000+i*40, time.Hour)
				r[i].Model = fmt.Sprint("m", i%23)
				_ = q.Offer(start, r[i], lavqueue.Rates{})
			}
			fits := func(candidate *lavrequest.Request) bool { return variant == "Fits" }
			extra := request("x", 2000, time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				_ = q.Offer(start, extra, lavqueue.Rates{})
				if got := q.Next(start, fits); got != nil && got != extra {
					_ = q.Offer(start, got, lavqueue.Rates{})
				}
				q.Cancel(extra)
			}
		})
	}
}
