package lavrelay

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform/standin"

	"github.com/cockroachdb/errors"
)

// closingConn is a connection that counts as closed for further deadlines after some calls, as
// when a probe closes it while received bytes are still to be read.
type closingConn struct {
	net.Conn
	deadlines *atomic.Int32
}

// SetReadDeadline implements net.Conn.
func (c closingConn) SetReadDeadline(at time.Time) error {
	if c.deadlines.Add(-1) < 0 {
		return errors.New("use of closed connection")
	}
	return c.Conn.SetReadDeadline(at)
}

// TestEventsReadBeforeTheCloseAreForwarded guards against lost events: an event that was read
// counts for the resume at another endpoint, so that it must have been forwarded, also if the
// connection was closed meanwhile.
func TestEventsReadBeforeTheCloseAreForwarded(t *testing.T) {
	for deadlines := range int32(5) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.Stream(standin.StreamEvents), standin.Stream(standin.StreamEvents))
			left := &atomic.Int32{}
			left.Store(deadlines)
			first := true
			b.relay.pool = lavconn.New(func(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
				c, err := b.endpoints.Dial(ctx, at)
				if err != nil || !first {
					return c, err
				}
				first = false
				return closingConn{Conn: c, deadlines: left}, nil
			}, 2)
			out := b.serve(context.Background(), b.call(lavconfig.KindStreaming))
			lavassert.Equal(t, "body", out.Body.String(), standin.EventsUpTo(standin.StreamEvents))
			b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
			// The endpoint notices the closed connection at its next event.
			time.Sleep(time.Second)
		})
	}
}
