package lavplan

import (
	"time"
)

// event is the end of an iteration, or one of the events below if engine is negative.
type event struct {
	at     time.Duration
	engine int
	stream *stream
	plan   Plan
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool { return e[i].at < e[j].at }

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
