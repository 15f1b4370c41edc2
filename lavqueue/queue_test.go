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

var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// rates are those of one endpoint for one host.
var rates = lavqueue.Rates{Drain: 16_000, Prefill: 16_000, Decode: 40}

func always(*lavrequest.Request) bool { return true }

// request returns a request of a customer that arrives at began.
func request(customer string, tokens int, allowed time.Duration) *lavrequest.Request {
	return &lavrequest.Request{
		ID: lavrequest.NewID(), Customer: customer, Model: "m", PromptTokens: tokens, MaxTokens: 40,
		Arrived: began, Deadline: began.Add(allowed),
	}
}

// offer puts requests in that must be admitted.
func offer(t *testing.T, q *lavqueue.Queue, requests ...*lavrequest.Request) {
	t.Helper()
	for _, r := range requests {
		lavassert.NoError(t, q.Offer(began, r, rates))
	}
}

// refused checks that a request is refused for that reason, and returns when to
// come back.
func refused(t *testing.T, q *lavqueue.Queue, r *lavrequest.Request, want lavqueue.Reason) time.Duration {
	t.Helper()
	var got *lavqueue.Refusal
	if !errors.As(q.Offer(began, r, rates), &got) {
		t.Fatalf("admitted; want a refusal for %v", want)
	}
	lavassert.Equal(t, "reason", got.Reason, want)
	return got.RetryAfter
}

func TestAdmission(t *testing.T) {
	t.Run("what can't make it even alone is not asked back", func(t *testing.T) {
		got := refused(t, lavqueue.New(), request("a", 160_000, 10*time.Second), lavqueue.ReasonDeadline)
		lavassert.Equal(t, "retry after", got, 0)
	})
	t.Run("what can't make it behind the others is told when to come back", func(t *testing.T) {
		q := lavqueue.New()
		for range 10 {
			offer(t, q, request("a", 90_000, 10*time.Minute))
		}
		got := refused(t, q, request("a", 90_000, 30*time.Second), lavqueue.ReasonDeadline)
		lavassert.AtLeast(t, "retry after", got, 25*time.Second)
		lavassert.AtMost(t, "retry after", got, 80*time.Second)
		offer(t, q, request("a", 1000, 10*time.Second))
	})
	t.Run("another customer's backlog counts only as far as his share", func(t *testing.T) {
		q := lavqueue.New()
		for range 20 {
			offer(t, q, request("a", 90_000, 10*time.Minute))
		}
		offer(t, q, request("b", 90_000, 30*time.Second))
	})
	t.Run("bounds of one customer and of all", func(t *testing.T) {
		s := lavqueue.DefaultSettings()
		s.MaxWaiting, s.MaxPerCustomer = 3, 2
		q := lavqueue.NewWith(s)
		offer(t, q, request("a", 1000, time.Minute), request("a", 1000, time.Minute))
		lavassert.AtLeast(t, "retry after", refused(t, q, request("a", 1000, time.Minute), lavqueue.ReasonFull), time.Second)
		offer(t, q, request("b", 1000, time.Minute))
		refused(t, q, request("c", 1000, time.Minute), lavqueue.ReasonFull)
	})
	t.Run("quarantine goes before all else", func(t *testing.T) {
		s := lavqueue.DefaultSettings()
		s.Refuse = func(r *lavrequest.Request) *lavqueue.Refusal {
			if r.Fingerprint == 13 {
				return &lavqueue.Refusal{Reason: lavqueue.ReasonQuarantined}
			}
			return nil
		}
		q := lavqueue.NewWith(s)
		r := request("a", 1000, time.Minute)
		r.Fingerprint = 13
		refused(t, q, r, lavqueue.ReasonQuarantined)
		offer(t, q, request("a", 1000, time.Minute))
	})
}

func TestOrder(t *testing.T) {
	t.Run("shortest lane first, then who is furthest behind", func(t *testing.T) {
		q := lavqueue.New()
		long, a1, a2, b1 := request("a", 50_000, 10*time.Minute), request("a", 1000, time.Minute), request("a", 1000, time.Minute), request("b", 1000, time.Minute)
		offer(t, q, long, a1, a2, b1)
		var got []*lavrequest.Request
		for q.Len() > 0 {
			got = append(got, q.Next(began, always))
		}
		lavassert.Equal(t, "order", got, []*lavrequest.Request{a1, b1, a2, long})
	})
	t.Run("a customer far ahead waits for the one behind, whatever the lane", func(t *testing.T) {
		q := lavqueue.New()
		for range 200 {
			offer(t, q, request("a", 1000, 10*time.Minute))
		}
		offer(t, q, request("b", 60_000, 10*time.Minute))
		before := 0
		for q.Next(began, always).Customer == "a" {
			before++
		}
		lavassert.AtLeast(t, "short ones before", before, 20)
		lavassert.AtMost(t, "short ones before", before, 60)
	})
	t.Run("to be idle saves nothing up", func(t *testing.T) {
		q := lavqueue.New()
		for range 100 {
			offer(t, q, request("a", 10_000, time.Hour))
			q.Next(began, always)
		}
		for range 20 {
			offer(t, q, request("a", 10_000, time.Hour), request("b", 10_000, time.Hour))
		}
		late := 0
		for range 20 {
			if q.Next(began, always).Customer == "b" {
				late++
			}
		}
		lavassert.AtMost(t, "of the first twenty, those of who was idle", late, 12)
	})
	t.Run("a request whose time grows short goes first", func(t *testing.T) {
		q := lavqueue.New()
		late := request("b", 50_000, 20*time.Second)
		offer(t, q, request("a", 1000, time.Minute), late)
		lavassert.Equal(t, "next", q.Next(late.Deadline.Add(-5*time.Second), always), late)
	})
	t.Run("one that doesn't fit lets another go", func(t *testing.T) {
		q := lavqueue.New()
		big, small := request("a", 90_000, 10*time.Minute), request("b", 70_000, 10*time.Minute)
		offer(t, q, big, small)
		fits := func(r *lavrequest.Request) bool { return r.PromptTokens < 80_000 }
		lavassert.Equal(t, "next", q.Next(began, fits), small)
		lavassert.Equal(t, "next", q.Next(began, fits), nil)
		lavassert.Equal(t, "left", q.Len(), 1)
	})
	t.Run("without lanes, in order of arrival", func(t *testing.T) {
		q := lavqueue.NewFIFO()
		first, second := request("a", 90_000, 10*time.Minute), request("b", 1000, time.Minute)
		offer(t, q, first, second)
		lavassert.Equal(t, "next", q.Next(began, always), first)
	})
}

func TestBorders(t *testing.T) {
	q := lavqueue.New()
	now := began
	for range 4000 {
		now = now.Add(50 * time.Millisecond)
		lavassert.NoError(t, q.Offer(now, &lavrequest.Request{PromptTokens: 12_000, Deadline: now.Add(time.Hour)}, lavqueue.Rates{}))
		q.Next(now, always)
		lavassert.NoError(t, q.Offer(now, &lavrequest.Request{PromptTokens: 200_000, Deadline: now.Add(time.Hour)}, lavqueue.Rates{}))
		q.Next(now, always)
	}
	lavassert.AtLeast(t, "border of the short lane", q.Borders()[0], 12_001)
	lavassert.Equal(t, "lane of 12,000", q.Lane(request("a", 12_000, time.Hour)), lavrequest.ClassShort)
}

// BenchmarkQueue offers a request to a queue in which thousands wait, and
// takes one out.
func BenchmarkQueue(b *testing.B) {
	for _, fit := range []string{"Fits", "Stuck"} {
		b.Run(fit, func(b *testing.B) {
			q := lavqueue.New()
			r := make([]*lavrequest.Request, 4000)
			for i := range r {
				r[i] = request(fmt.Sprint("customer-", i%2000), 1000+i*40, time.Hour)
				r[i].Model = fmt.Sprint("m", i%23)
				_ = q.Offer(began, r[i], lavqueue.Rates{})
			}
			fits := func(have *lavrequest.Request) bool { return fit == "Fits" }
			extra := request("x", 2000, time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				_ = q.Offer(began, extra, lavqueue.Rates{})
				if got := q.Next(began, fits); got != nil && got != extra {
					_ = q.Offer(began, got, lavqueue.Rates{})
				}
				q.Cancel(extra)
			}
		})
	}
}
