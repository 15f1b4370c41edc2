package lavconn

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection to a peer that may vanish without a word.
const (
	// DialTimeout is several round trips between failure domains.
	DialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose bytes are not acknowledged.
	unackedTimeout = 2 * time.Second
	probeIdle      = time.Second
	probeEvery     = time.Second
	probeCount     = 2
)

// Dial opens a TCP connection that notices soon when its peer is gone.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		Timeout: DialTimeout,
		Control: limitSilence,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeEvery,
			Count:    probeCount,
		},
	}
	return d.DialContext(ctx, "tcp4", address.String())
}

// limitSilence makes the kernel give a socket up whose bytes stay unanswered.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
