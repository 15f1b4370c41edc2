package lavconn

import (
	"context"
	"time"
)

// watch looks at the endpoint once it has been silent for so long.
func (c *conn) watch(silence time.Duration) {
	c.check = silence
	if silence > 0 {
		c.watcher = time.AfterFunc(silence, c.look)
	}
}

// seen tells that the endpoint is not silent.
func (c *conn) seen() {
	if c.check > 0 {
		c.watcher.Reset(c.check)
	}
}

func (c *conn) unwatch() {
	if c.check > 0 {
		c.watcher.Stop()
		c.check = 0
	}
}

// look opens a connection to the endpoint. One whose host is gone, or that has
// restarted and doesn't listen yet, doesn't answer; the running exchange has no
// end to wait for then.
func (c *conn) look() {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	probe, err := c.pool.dial(ctx, c.address)
	if err != nil {
		c.close()
		return
	}
	// It was opened to see whether it could be.
	_ = probe.Close()
}
