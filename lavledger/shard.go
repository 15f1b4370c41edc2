package lavledger

import (
	"context"
	"maps"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// Limits of a shard on one host.
const (
	// commitInterval is the minimum time between the starts of two group
	// commits of a shard.
	commitInterval = 120 * time.Millisecond
	// initialRetryDelay and maxRetryDelay limit the backoff between attempts to
	// commit a group. The delay doubles after each failed attempt.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	// maxQueuedOps limits the ops that wait for a commit.
	maxQueuedOps = 4096
	// maxGroupOps limits the ops of one commit.
	maxGroupOps = 512
)

// errFull means that a shard accepts no more ops at present.
var errFull = errors.New("ledger shard is full or closed")

// pendingOp is an op that waits in the queue for its commit.
type pendingOp struct {
	ctx context.Context
	op  Op
	// result receives the record that results from the op.
	result chan Record
}

// shard queues ops, commits them in groups to one log, and caches the log's
// records.
type shard struct {
	prefix string
	// lifetime ends when the ledger is closed.
	lifetime       context.Context
	cancelLifetime context.CancelFunc

	// logLock guards log. It is a channel so that waiting for it can be
	// canceled.
	logLock chan struct{}
	log     *shardLog

	mu    sync.Mutex
	queue []*pendingOp
	// committing is true while a goroutine commits the queue.
	committing bool
	// activeGoroutines counts the running goroutines. idle is closed when the
	// count drops to zero.
	activeGoroutines int
	idle             chan struct{}
	lastCommit       time.Time
	// cache holds the records that are known without reading the store.
	// cacheReadAt is when the log was last read into it.
	cache map[CallKey]Record
	// localCallers counts the callers at this host that are in Run, by call.
	localCallers map[CallKey]int
	cacheReadAt  time.Time
	logFull      bool
}

func newShard(store lavstore.Store, i int) *shard {
	idle := make(chan struct{})
	close(idle)
	prefix := shardPrefix(i)
	lifetime, cancelLifetime := context.WithCancel(context.Background())
	return &shard{
		prefix:         prefix,
		lifetime:       lifetime,
		cancelLifetime: cancelLifetime,
		logLock:        make(chan struct{}, 1),
		log:            newShardLog(store, prefix),
		idle:           idle,
		cache:          make(map[CallKey]Record),
		localCallers:   make(map[CallKey]int),
	}
}

// commit queues op and waits for the resulting record.
func (s *shard) commit(ctx context.Context, op Op) (Record, error) {
	p := &pendingOp{ctx: ctx, op: op, result: make(chan Record, 1)}
	if !s.enqueue(p) {
		return Record{}, errFull
	}
	select {
	case record := <-p.result:
		return record, nil
	case <-ctx.Done():
		return Record{}, ctx.Err()
	}
}

// enqueue adds an op to the queue and starts committing the queue if necessary.
// It returns false if the shard is closed, if its queue is full, or if its log
// is full and the op is a claim.
func (s *shard) enqueue(p *pendingOp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifetime.Err() != nil || len(s.queue) >= maxQueuedOps || s.logFull && p.op.Kind == OpClaim {
		return false
	}
	s.queue = append(s.queue, p)
	if !s.committing {
		s.committing = true
		s.goroutineStarted()
		go s.commitQueue(p.ctx)
	}
	return true
}

// startGoroutine runs f in a goroutine that flush waits for. The context of f
// ends when the ledger is closed, not when ctx ends.
func (s *shard) startGoroutine(ctx context.Context, f func(ctx context.Context)) {
	s.mu.Lock()
	s.goroutineStarted()
	s.mu.Unlock()
	go func() {
		defer s.goroutineEnded()
		ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		defer context.AfterFunc(s.lifetime, cancel)()
		f(ctx)
	}()
}

// trackCaller counts a caller of a call until the returned function is called.
func (s *shard) trackCaller(key CallKey) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.localCallers[key]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.localCallers[key]--; s.localCallers[key] == 0 {
			delete(s.localCallers, key)
		}
	}
}

// hasCaller reports whether a caller at this host is in Run for the call.
func (s *shard) hasCaller(key CallKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.localCallers[key] > 0
}

// goroutineStarted counts a new goroutine. The caller holds mu.
func (s *shard) goroutineStarted() {
	if s.activeGoroutines == 0 {
		s.idle = make(chan struct{})
	}
	s.activeGoroutines++
}

// goroutineEnded removes a goroutine from the count.
func (s *shard) goroutineEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeGoroutines--
	if s.activeGoroutines == 0 {
		close(s.idle)
	}
}

// flush waits until no counted goroutine is running.
func (s *shard) flush(ctx context.Context) error {
	s.mu.Lock()
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// voidClaim cancels a claim in the background. It retries until the claim's
// deadline, after which the claim has no effect.
func (s *shard) voidClaim(ctx context.Context, claim Record) {
	voided := claim
	voided.State = NotRun
	s.startGoroutine(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, claim.Until)
		defer cancel()
		// If the void fails, the claim may remain and then ends as Unknown.
		_, _ = s.commit(ctx, Op{Kind: OpVoid, Record: voided})
	})
}

// lookup returns the record of a call from the cache, which it first refreshes
// if the cache is older than maxAge.
func (s *shard) lookup(ctx context.Context, key CallKey, maxAge time.Duration) (Record, error) {
	if err := s.refresh(ctx, maxAge); err != nil {
		return Record{}, err
	}
	record, _ := s.cached(key)
	return record, nil
}

// refresh reads the log and updates the cache, unless the log was read less
// than maxAge ago.
func (s *shard) refresh(ctx context.Context, maxAge time.Duration) error {
	select {
	case s.logLock <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.logLock }()
	if time.Since(s.log.readAt) < maxAge {
		return nil
	}
	err := s.log.refresh(ctx)
	s.updateCache()
	return err
}

// updateCache copies the changes of the log to the cache. The caller holds
// logLock.
func (s *shard) updateCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.log.expiredRemoved {
		s.log.expiredRemoved = false
		maps.DeleteFunc(s.cache, func(_ CallKey, r Record) bool { return time.Now().After(r.Expires) })
	}
	for _, key := range s.log.changedKeys {
		if r, ok := s.log.index[key]; ok {
			s.cacheRecordLocked(r)
		}
	}
	s.log.changedKeys = s.log.changedKeys[:0]
	s.cacheReadAt, s.logFull = s.log.readAt, s.log.isFull()
}

// cacheRecord caches a record that this host received from a peer or produced
// itself.
func (s *shard) cacheRecord(r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheRecordLocked(r)
}

// cacheRecordLocked caches a record unless the cache holds a newer one. The log
// may have been read before this host recorded the outcome of the call, or
// before the shard's owner replied with a newer record. The caller holds mu.
func (s *shard) cacheRecordLocked(r Record) {
	existing := s.cache[r.Key]
	newer := r.Number > existing.Number || r.Number == existing.Number && existing.State <= Claimed
	if newer {
		s.cache[r.Key] = r
	}
}

// cached returns the cached record of a call and the time at which the log was
// last read into the cache.
func (s *shard) cached(key CallKey) (Record, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache[key], s.cacheReadAt
}
