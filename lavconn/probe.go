package lavconn

import (
	"context"
	"time"
)

// startProbeTimer schedules a probe of the endpoint for when it has sent
// nothing for the given time. Zero disables the probe.
func (c *conn) startProbeTimer(silence time.Duration) {
	c.probeAfter = silence
	if silence > 0 {
		c.probeTimer = time.AfterFunc(silence, c.probeEndpoint)
	}
}

// resetProbeTimer restarts the probe timer after data was received.
func (c *conn) resetProbeTimer() {
	if c.probeAfter > 0 {
		c.probeTimer.Reset(c.probeAfter)
	}
}

// PauseProbe disables the probe while the body is left unread on purpose.
func (r *Response) PauseProbe() {
	if r.conn.probeAfter > 0 {
		r.conn.probeTimer.Stop()
	}
}

// ResumeProbe enables the probe again, and counts the silence of the endpoint from now.
func (r *Response) ResumeProbe() {
	r.conn.resetProbeTimer()
	r.RestartSilence()
}

func (c *conn) stopProbeTimer() {
	if c.probeAfter > 0 {
		c.probeTimer.Stop()
		c.probeAfter = 0
	}
}

// probeEndpoint opens a second connection to the endpoint. If that fails, the
// host is unreachable or the process has restarted and does not listen yet, so
// no response will arrive and the connection of the exchange is closed.
func (c *conn) probeEndpoint() {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	probe, err := c.pool.dial(ctx, c.address)
	if err != nil {
		c.close()
		return
	}
	// The probe only needed to establish that the endpoint accepts connections.
	_ = probe.Close()
}
