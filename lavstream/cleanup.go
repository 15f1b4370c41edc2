package lavstream

import (
	"context"
	"sync"
	"time"
)

// cleanupTimeout is the time limit of one call that frees memory.
const cleanupTimeout = 2 * time.Second

// Cleanup makes the calls that free the memory of ended attempts at engines. A
// caller waits for them at most until its deadline: they go on without it.
type Cleanup struct {
	mu sync.Mutex
	// running holds the channel of each call in progress, which is closed when
	// the call has ended.
	running map[chan struct{}]struct{}
}

// NewCleanup returns a Cleanup without calls.
func NewCleanup() *Cleanup { return &Cleanup{running: make(map[chan struct{}]struct{})} }

// Do makes the calls at the same time, and returns when all have ended or the
// deadline of ctx has passed. A caller that has disconnected doesn't end the wait,
// since nobody is delayed then. The context of a call ends after cleanupTimeout.
func (c *Cleanup) Do(ctx context.Context, calls ...func(ctx context.Context)) {
	deadline, limited := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	ended := make([]chan struct{}, len(calls))
	for i, call := range calls {
		ended[i] = c.start(ctx, call)
	}
	if limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	awaitAll(ctx, ended)
}

// start makes a call in a new goroutine. The returned channel is closed when the
// call has ended.
func (c *Cleanup) start(ctx context.Context, call func(ctx context.Context)) chan struct{} {
	ended := make(chan struct{})
	c.mu.Lock()
	c.running[ended] = struct{}{}
	c.mu.Unlock()
	go func() {
		defer c.finish(ended)
		ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
		defer cancel()
		call(ctx)
	}()
	return ended
}

// finish closes the channel of a call that has ended.
func (c *Cleanup) finish(ended chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, ended)
	close(ended)
}

// Wait waits until the calls in progress have ended or ctx has. A host calls it
// before it stops, after its last request.
func (c *Cleanup) Wait(ctx context.Context) {
	c.mu.Lock()
	running := make([]chan struct{}, 0, len(c.running))
	for ended := range c.running {
		running = append(running, ended)
	}
	c.mu.Unlock()
	awaitAll(ctx, running)
}

// awaitAll waits until all channels are closed or ctx has ended.
func awaitAll(ctx context.Context, channels []chan struct{}) {
	for _, c := range channels {
		select {
		case <-c:
		case <-ctx.Done():
			return
		}
	}
}
