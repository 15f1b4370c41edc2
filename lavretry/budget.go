package lavretry

import (
	"container/list"
	"sync"
)

// Limits of a budget.
const (
	// Ratio is the number of retries that each success adds to a balance.
	Ratio = 0.2
	// Burst is the initial and the maximum balance of a key, in retries.
	Burst = 100
	// maxBudgetKeys is the number of keys that a budget keeps. It evicts the
	// least recently used key when it is full.
	maxBudgetKeys = 1 << 14
)

// Budget limits the retries of each key to a share of the key's successes. It is
// safe for concurrent use.
type Budget[K comparable] struct {
	mu       sync.Mutex
	balances map[K]*list.Element
	// lru lists the balances from the most to the least recently used.
	lru *list.List
}

// balance is the number of retries that one key has left.
type balance[K comparable] struct {
	key     K
	retries float64
}

// NewBudget returns a budget in which each key starts with Burst retries.
func NewBudget[K comparable]() *Budget[K] {
	return &Budget[K]{balances: make(map[K]*list.Element), lru: list.New()}
}

// RecordSuccess adds Ratio retries to the balance of a key, up to Burst.
func (b *Budget[K]) RecordSuccess(key K) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.balance(key)
	entry.retries = min(entry.retries+Ratio, Burst)
}

// Spend takes one retry from the balance of a key. It returns false if less than
// one is left.
func (b *Budget[K]) Spend(key K) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.balance(key)
	if entry.retries < 1 {
		return false
	}
	entry.retries--
	return true
}

// balance returns the balance of a key, and creates it if the key is new. The
// caller must hold the lock.
func (b *Budget[K]) balance(key K) *balance[K] {
	if e, ok := b.balances[key]; ok {
		b.lru.MoveToFront(e)
		return e.Value.(*balance[K])
	}
	if len(b.balances) >= maxBudgetKeys {
		oldest := b.lru.Back()
		delete(b.balances, oldest.Value.(*balance[K]).key)
		b.lru.Remove(oldest)
	}
	created := &balance[K]{key: key, retries: Burst}
	b.balances[key] = b.lru.PushFront(created)
	return created
}
