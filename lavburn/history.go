package lavburn

import "slices"

// Retention of the history, in minutes. Fine buckets span one minute each, coarse
// buckets coarseBucketMinutes.
const (
	fineSpanMinutes     = 6 * 60
	coarseBucketMinutes = 30
	coarseBuckets       = 3 * 24 * 60 / coarseBucketMinutes
	customerSpanMinutes = 60
	// maxHistoryCustomers limits the customers kept per objective and minute.
	maxHistoryCustomers = 32
)

// Sum is the count of one objective over all hosts in one bucket. Minute is the first
// minute of the bucket.
type Sum struct {
	Minute    Minute
	Objective string
	Count     Count
	Customers []CustomerCount `cbor:",omitempty"`
}

// bucketKey identifies a bucket of one objective by its first minute.
type bucketKey struct {
	minute    Minute
	objective string
}

// history holds the counts of the whole fleet in fine and coarse buckets.
type history struct {
	fine   map[bucketKey]Sum
	coarse map[bucketKey]Count
}

func newHistory() *history {
	return &history{fine: make(map[bucketKey]Sum), coarse: make(map[bucketKey]Count)}
}

// merge updates the fine bucket of s and the coarse bucket around it. If the fine
// bucket already has a sum, it keeps the maximum of both, because the larger one
// includes more hosts.
func (h *history) merge(s Sum) {
	key := bucketKey{minute: s.Minute, objective: s.Objective}
	old := h.fine[key]
	next := Sum{Minute: s.Minute, Objective: s.Objective, Count: old.Count.Max(s.Count)}
	next.Customers = worstCustomers(mergeCustomers(old.Customers, s.Customers, Count.Max), maxHistoryCustomers)
	h.fine[key] = next
	h.updateCoarse(key)
}

// updateCoarse recomputes the coarse bucket that contains the minute of key. The new
// value is the sum of the fine buckets, but never less than the old value, because
// some of the fine buckets may have expired.
func (h *history) updateCoarse(key bucketKey) {
	start := key.minute - key.minute%coarseBucketMinutes
	sum := Count{}
	for m := start; m < start+coarseBucketMinutes; m++ {
		sum = sum.Add(h.fine[bucketKey{minute: m, objective: key.objective}].Count)
	}
	h.mergeCoarse(Sum{Minute: start, Objective: key.objective, Count: sum})
}

// mergeCoarse sets a coarse bucket to the maximum of its value and s.
func (h *history) mergeCoarse(s Sum) {
	key := bucketKey{minute: s.Minute, objective: s.Objective}
	h.coarse[key] = h.coarse[key].Max(s.Count)
}

// expire deletes the buckets that are past their retention, and the customer counts
// of fine buckets that are older than customerSpanMinutes. Fine buckets are kept for an
// additional coarseBucketMinutes, because countOver may start at the boundary of a
// coarse bucket before fineSpanMinutes.
func (h *history) expire(now Minute) {
	for key, s := range h.fine {
		switch {
		case key.minute <= now-fineSpanMinutes-coarseBucketMinutes:
			delete(h.fine, key)
		case key.minute <= now-customerSpanMinutes && s.Customers != nil:
			s.Customers = nil
			h.fine[key] = s
		}
	}
	for key := range h.coarse {
		if key.minute <= now-coarseBuckets*coarseBucketMinutes {
			delete(h.coarse, key)
		}
	}
}

// mergeCustomers merges two lists of customer counts. It calls combine for customers
// that are in both lists. The arguments are not modified.
func mergeCustomers(a, b []CustomerCount, combine func(Count, Count) Count) []CustomerCount {
	merged := slices.Clone(a)
	index := make(map[string]int, len(a)+len(b))
	for i, c := range merged {
		index[c.Customer] = i
	}
	for _, c := range b {
		i, known := index[c.Customer]
		if !known {
			index[c.Customer] = len(merged)
			merged = append(merged, c)
			continue
		}
		merged[i].Count = combine(merged[i].Count, c.Count)
	}
	return merged
}
