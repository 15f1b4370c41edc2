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
		exchange := c.uses + 1
		c.setProbedExchange(exchange)
		c.probeTimer = time.AfterFunc(silence, func() { c.probeEndpoint(exchange) })
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
		c.setProbedExchange(0)
	}
}

func (c *conn) setProbedExchange(exchange int) {
	c.probes.Lock()
	defer c.probes.Unlock()
	c.probedExchange = exchange
}

// closeProbed closes the connection unless the exchange that was probed has ended meanwhile.
func (c *conn) closeProbed(exchange int) {
	c.probes.Lock()
	defer c.probes.Unlock()
	if c.probedExchange == exchange {
		c.close()
	}
}

// probeEndpoint opens a second connection to the endpoint. If that fails, the
// host is unreachable or the process has restarted and does not listen yet, so
// no response will arrive and the connection of the exchange is closed.
func (c *conn) probeEndpoint(exchange int) {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	probe, err := c.pool.dial(ctx, c.address)
	if err != nil {
		c.closeProbed(exchange)
		return
	}
	// The probe only needed to establish that the endpoint accepts connections.
	_ = probe.Close()
}
