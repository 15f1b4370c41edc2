package lavretry

import (
	"container/list"
	"sync"
)

// Sizes of a budget.
const (
	// Ratio is the number of retries that a success allows.
	Ratio = 0.2
	// Burst is the number of retries that can be saved up, and what a new key
	// starts with.
	Burst = 100
	// maxBudgetKeys bounds the keys of one budget; the least recently used
	// one is forgotten.
	maxBudgetKeys = 1 << 14
)

// Budget allows retries per key as a share of successes.
type Budget[K comparable] struct {
	mu     sync.Mutex
	tokens map[K]*list.Element
	recent *list.List
}

// balance is the tokens of one key.
type balance[K comparable] struct {
	key    K
	tokens float64
}

// NewBudget returns a budget in which each key may burst.
func NewBudget[K comparable]() *Budget[K] {
	return &Budget[K]{tokens: make(map[K]*list.Element), recent: list.New()}
}

// RecordSuccess adds what a success allows.
func (b *Budget[K]) RecordSuccess(key K) {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.balance(key)
	have.tokens = min(have.tokens+Ratio, Burst)
}

// Spend takes one retry, or reports false if none is left.
func (b *Budget[K]) Spend(key K) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	have := b.balance(key)
	if have.tokens < 1 {
		return false
	}
	have.tokens--
	return true
}

// balance returns the balance of key. The caller holds the lock.
func (b *Budget[K]) balance(key K) *balance[K] {
	if e, ok := b.tokens[key]; ok {
		b.recent.MoveToFront(e)
		return e.Value.(*balance[K])
	}
	if len(b.tokens) >= maxBudgetKeys {
		oldest := b.recent.Back()
		delete(b.tokens, oldest.Value.(*balance[K]).key)
		b.recent.Remove(oldest)
	}
	made := &balance[K]{key: key, tokens: Burst}
	b.tokens[key] = b.recent.PushFront(made)
	return made
}
