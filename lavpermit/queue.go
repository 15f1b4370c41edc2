package lavpermit

import (
	"slices"
	"time"
)

// Waiting is a request that waits for a permit.
type Waiting struct {
	// Priority is lower for requests that come first.
	Priority int
	// Due is by when the request should be answered.
	Due time.Time
	// Until is how long the request waits.
	Until time.Time
}

// AnswerTime is the time within which the holder's answer is expected. A permit that is asked for
// later before the end of a request's wait would be lost.
const AnswerTime = 30 * time.Millisecond

// before reports whether w is served before v.
func (w *Waiting) before(v *Waiting) bool {
	if w.Priority != v.Priority {
		return w.Priority < v.Priority
	}
	return w.Due.Before(v.Due)
}

// Queue orders the requests of a host that wait for permits, by their priority and then by when
// they are due. The zero value is empty. It isn't safe for concurrent use.
type Queue struct {
	waiting []*Waiting
}

// Enter adds a request.
func (q *Queue) Enter(w *Waiting) { q.waiting = slices.Insert(q.waiting, q.position(w), w) }

// Leave removes a request.
func (q *Queue) Leave(w *Waiting) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Ahead returns how many requests come before one, which need not be in the queue.
func (q *Queue) Ahead(w *Waiting) int {
	if i := slices.Index(q.waiting, w); i >= 0 {
		return i
	}
	return q.position(w)
}

// CountWaiting returns the number of requests that still wait when the holder answers.
func (q *Queue) CountWaiting(now time.Time) int {
	count := 0
	for _, w := range q.waiting {
		if w.Until.Sub(now) >= AnswerTime {
			count++
		}
	}
	return count
}

// position returns where a request is inserted: behind those with the same order.
func (q *Queue) position(w *Waiting) int {
	i, _ := slices.BinarySearchFunc(q.waiting, w, func(other, w *Waiting) int {
		if w.before(other) {
			return 1
		}
		return -1
	})
	return i
}
