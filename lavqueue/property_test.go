package lavqueue_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// properties checks with a fixed seed, so that each run has the same verdict.
func properties(t *testing.T, define func(p *gopter.Properties)) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 200
	p := gopter.NewProperties(parameters)
	define(p)
	p.TestingRun(t)
}

// step is one thing that happens to a queue, drawn from two numbers.
type step struct{ what, size int }

func steps() gopter.Gen {
	one := gen.IntRange(0, 1<<20).Map(func(n int) step { return step{what: n % 16, size: n / 16} })
	return gen.SliceOfN(300, one)
}

// apply applies steps to a queue and checks each answer; it returns what became
// wrong. A request that is returned has at least the time that it needs.
func apply(q *lavqueue.Queue, needs func(*lavrequest.Request) time.Duration, all []step) error {
	now := began
	waiting := make(map[*lavrequest.Request]bool)
	var order []*lavrequest.Request
	leave := func(r *lavrequest.Request) error {
		if !waiting[r] {
			return fmt.Errorf("%v left twice or was never in", r.ID)
		}
		delete(waiting, r)
		return nil
	}
	for _, s := range all {
		now = now.Add(time.Duration(s.size%400) * time.Millisecond)
		var err error
		switch {
		case s.what < 9:
			tokens := 500 << (s.size % 10)
			r := request(fmt.Sprint("c", s.size%5), tokens, now.Sub(began)+time.Duration(s.size%90)*time.Second)
			r.Arrived, r.Model = now, fmt.Sprint("m", s.size%3)
			if q.Offer(now, r, rates) == nil {
				waiting[r] = true
				order = append(order, r)
			}
		case s.what < 13:
			limit := 1000 << (s.size % 10)
			r := q.Next(now, func(r *lavrequest.Request) bool { return r.PromptTokens <= limit })
			if r == nil {
				continue
			}
			if err = leave(r); err == nil && (r.PromptTokens > limit || !r.Deadline.After(now.Add(needs(r)))) {
				err = fmt.Errorf("returned one that doesn't fit, or is late: %+v", r)
			}
		case s.what < 15:
			for _, r := range q.Expire(now) {
				if err = leave(r); err != nil {
					break
				}
			}
		case len(order) > 0:
			r := order[s.size%len(order)]
			if q.Cancel(r) != waiting[r] {
				err = fmt.Errorf("cancelled %v, which waits: %v", r.ID, waiting[r])
			}
			delete(waiting, r)
		}
		if err != nil {
			return err
		}
		if q.Len() != len(waiting) {
			return fmt.Errorf("%d wait, want %d", q.Len(), len(waiting))
		}
	}
	return drained(q, waiting)
}

// drained checks that everything that waits comes out.
func drained(q *lavqueue.Queue, waiting map[*lavrequest.Request]bool) error {
	for r := q.Next(began, always); r != nil; r = q.Next(began, always) {
		if !waiting[r] {
			return fmt.Errorf("%v came out twice", r.ID)
		}
		delete(waiting, r)
	}
	if len(waiting) > 0 {
		return fmt.Errorf("%d never came out", len(waiting))
	}
	return nil
}

func TestProperties(t *testing.T) {
	properties(t, func(p *gopter.Properties) {
		p.Property("nothing is lost, doubled, or returned too late", prop.ForAll(func(all []step) (bool, error) {
			err := apply(lavqueue.New(), func(r *lavrequest.Request) time.Duration { return rates.Service(r, 0) }, all)
			return err == nil, err
		}, steps()))
		p.Property("the same holds without lanes", prop.ForAll(func(all []step) (bool, error) {
			err := apply(lavqueue.NewSingle(), func(*lavrequest.Request) time.Duration { return 0 }, all)
			return err == nil, err
		}, steps()))
		p.Property("customers who all have work get their shares", prop.ForAll(fair, gen.SliceOfN(4, gen.IntRange(1, 8)), gen.SliceOfN(4, gen.IntRange(500, 300_000))))
		p.Property("no lane starves under a flood of short requests", prop.ForAll(flood, gen.IntRange(4000, 400_000), gen.IntRange(500, 3900)))
	})
}

// fair has customers with those shares, each with an endless backlog of
// requests of one size, and compares what they get.
func fair(shares, sizes []int) (bool, error) {
	s := lavqueue.DefaultSettings()
	byName := make(map[string]float64)
	s.Share = func(name string) float64 { return byName[name] }
	q := lavqueue.NewWith(s)
	more := func(i int) error {
		return q.Offer(began, request(fmt.Sprint(i), sizes[i], 1000*time.Hour), lavqueue.Rates{})
	}
	largest := 0.0
	for i := range shares {
		byName[fmt.Sprint(i)] = float64(shares[i])
		largest = max(largest, float64(sizes[i]+40)/float64(shares[i]))
		for range 50 {
			if err := more(i); err != nil {
				return false, err
			}
		}
	}
	served := make([]float64, len(shares))
	for range 800 {
		r := q.Next(began, always)
		var i int
		_, _ = fmt.Sscan(r.Customer, &i)
		served[i] += float64(r.TotalTokens()) / float64(shares[i])
		if err := more(i); err != nil {
			return false, err
		}
	}
	low, high := served[0], served[0]
	for _, v := range served {
		low, high = min(low, v), max(high, v)
	}
	// A lane that is owed a part of its reserved share may add one request.
	bound := s.BurstTokens + 2*largest
	if high-low > bound {
		return false, fmt.Errorf("served %v, apart by %v, want at most %v", served, high-low, bound)
	}
	return true, nil
}

// flood has one long request wait among endless short ones of its own customer
// and others.
func flood(long, short int) (bool, error) {
	q := lavqueue.New()
	target := request("a", long, 1000*time.Hour)
	if err := q.Offer(began, target, lavqueue.Rates{}); err != nil {
		return false, err
	}
	passed := 0
	for n := 0; ; n++ {
		for i := range 3 {
			if err := q.Offer(began, request(fmt.Sprint("abc"[(n+i)%3:(n+i)%3+1]), short, 1000*time.Hour), lavqueue.Rates{}); err != nil {
				return passed > 0, nil //nolint:nilerr // a full queue ends the flood, which is what is drawn
			}
		}
		r := q.Next(began, always)
		if r == target {
			return true, nil
		}
		if passed += r.TotalTokens(); passed > 8*(long+short)+200_000 {
			return false, fmt.Errorf("%d tokens went before one of %d", passed, long)
		}
	}
}
