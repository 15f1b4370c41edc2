package lavconn

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of a connection to a peer that may disappear without closing it.
const (
	// DialTimeout allows for several round trips between failure domains.
	DialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is the time after which the kernel closes a
	// connection whose sent data was not acknowledged.
	unacknowledgedTimeout = 2 * time.Second
	keepAliveIdle         = time.Second
	keepAliveInterval     = time.Second
	keepAliveProbes       = 2
)

// Dial opens a TCP connection that fails within seconds if the peer disappears.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout: DialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return d.DialContext(ctx, "tcp4", address.String())
}

// setUserTimeout makes the kernel close a socket if sent data stays
// unacknowledged for unacknowledgedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
