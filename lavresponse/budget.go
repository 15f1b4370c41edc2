package lavresponse

import "sync/atomic"

// Budget is a number of bytes that the responses which a process holds share. It is safe for
// concurrent use.
type Budget struct{ left atomic.Int64 }

// NewBudget returns a budget of n bytes.
func NewBudget(n int64) *Budget {
	b := &Budget{}
	b.Add(n)
	return b
}

// Add returns bytes to the budget.
func (b *Budget) Add(n int64) { b.left.Add(n) }

// Take takes bytes from the budget, or reports false if there are too few.
func (b *Budget) Take(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

// Left returns the bytes that are left.
func (b *Budget) Left() int64 { return b.left.Load() }
