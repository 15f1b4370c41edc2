package lavledger

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// commitQueue commits one group after another until the queue is empty.
func (s *shard) commitQueue(ctx context.Context) {
	defer s.goroutineEnded()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(s.lifetime, cancel)()
	for s.continueCommitting() {
		s.mu.Lock()
		wait := time.Until(s.lastCommit.Add(commitInterval))
		s.mu.Unlock()
		time.Sleep(wait)
		s.commitGroup(ctx, s.takeGroup())
	}
}

// continueCommitting reports whether the queue holds ops to commit. If it holds
// none, or the ledger is closed, it clears committing.
func (s *shard) continueCommitting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committing = len(s.queue) > 0 && s.lifetime.Err() == nil
	return s.committing
}

// takeGroup removes the next ops from the queue and returns those that still
// have a waiting caller.
func (s *shard) takeGroup() []*pendingOp {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := make([]*pendingOp, 0, min(len(s.queue), maxGroupOps))
	for len(s.queue) > 0 && len(group) < maxGroupOps {
		p := s.queue[0]
		s.queue = s.queue[1:]
		if p.ctx.Err() == nil {
			group = append(group, p)
		}
	}
	s.lastCommit = time.Now()
	return group
}

// commitGroup retries until the group is committed, no caller waits for it any
// more, or the context ends.
func (s *shard) commitGroup(ctx context.Context, group []*pendingOp) {
	for delay := initialRetryDelay; len(group) > 0; delay = min(2*delay, maxRetryDelay) {
		records, err := s.tryCommitGroup(ctx, group)
		if err == nil {
			for i, p := range group {
				p.result <- records[i]
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, lavstore.ErrConflict) {
			time.Sleep(delay/2 + rand.N(delay/2))
		}
		group = s.updateGroup(group)
	}
}

// updateGroup removes the ops that no caller waits for any more and adds ops
// that were queued in the meantime.
func (s *shard) updateGroup(group []*pendingOp) []*pendingOp {
	kept := group[:0]
	for _, p := range group {
		if p.ctx.Err() == nil {
			kept = append(kept, p)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	added := min(len(s.queue), maxGroupOps-len(kept))
	kept = append(kept, s.queue[:added]...)
	s.queue = s.queue[added:]
	return kept
}

// tryCommitGroup makes one attempt to commit the group, and then updates the
// cache.
func (s *shard) tryCommitGroup(ctx context.Context, group []*pendingOp) ([]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	ops := make([]Op, len(group))
	for i, p := range group {
		ops[i] = p.op
	}
	s.logLock <- struct{}{}
	defer func() { <-s.logLock }()
	records, err := s.log.commit(ctx, ops)
	s.updateCache()
	return records, err
}
