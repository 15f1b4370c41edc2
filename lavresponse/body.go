package lavresponse

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// freeBodyBytes is how much of each response is read in any case, whatever the budget.
const freeBodyBytes = 32 << 10

var (
	// ErrTooLong means that a response is longer than its reader allows.
	ErrTooLong = errors.New("response is too long")
	// ErrOverBudget means that all responses together are longer than the process allows.
	ErrOverBudget = errors.New("responses take too much memory")
)

// Body is a part of a response, or the whole of it, that is held in memory.
type Body struct {
	Bytes []byte

	budget *Budget
	taken  atomic.Int64
}

// ReadAll reads a whole response of at most limit bytes. What exceeds freeBodyBytes is taken from the
// budget until the body is released. With ErrOverBudget it also returns the beginning, behind which the
// response can be read on; with another error it returns nil.
func (b *Budget) ReadAll(response io.Reader, limit int) (*Body, error) {
	body := &Body{budget: b}
	text, ended, err := ReadBlocks(response, freeBodyBytes, limit, body.take)
	body.Bytes = text
	switch {
	case err != nil:
		body.Release()
		return nil, err
	case ended:
		return body, nil
	case len(text) < limit:
		return body, ErrOverBudget
	}
	if err := expectEnd(response); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// take takes bytes from the budget.
func (b *Body) take(n int64) bool {
	if !b.budget.Take(n) {
		return false
	}
	b.taken.Add(n)
	return true
}

// Release returns to the budget what was taken from it. It may be called again, and on nil.
func (b *Body) Release() {
	if b != nil {
		b.budget.Add(b.taken.Swap(0))
	}
}

// SkipRest reads the rest of a response whose beginning is held, without keeping it, and checks that the
// whole has at most limit bytes.
func (b *Body) SkipRest(response io.Reader, limit int) error {
	skipped, err := io.Copy(io.Discard, io.LimitReader(response, int64(limit-len(b.Bytes))))
	if err != nil {
		return err
	}
	if len(b.Bytes)+int(skipped) < limit {
		return nil
	}
	return expectEnd(response)
}

// expectEnd returns ErrTooLong unless a response has ended.
func expectEnd(response io.Reader) error {
	var next [1]byte
	switch _, err := io.ReadFull(response, next[:]); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	default:
		return ErrTooLong
	}
}
