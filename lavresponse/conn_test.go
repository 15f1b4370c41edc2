package lavresponse_test

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavresponse"

	"github.com/cockroachdb/errors"
)

// uploadBlock is a part of a request, large enough to fill the buffers of a connection within a few writes.
var uploadBlock = []byte(strings.Repeat("u", 1<<20))

// loopback returns a connection to a peer that runs script.
func loopback(t *testing.T, script func(peer *net.TCPConn)) net.Conn {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	lavassert.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ours, err := (&net.Dialer{}).DialContext(context.Background(), "tcp4", l.Addr().String())
	lavassert.NoError(t, err)
	t.Cleanup(func() { _ = ours.Close() })
	theirs, err := l.Accept()
	lavassert.NoError(t, err)
	go script(theirs.(*net.TCPConn))
	return ours
}

// finishes sends a response, ends it and then resets the connection.
func finishes(peer *net.TCPConn) {
	_, _ = io.WriteString(peer, "whole")
	_ = peer.CloseWrite()
	time.Sleep(time.Millisecond)
	reset(peer)
}

// breaksOff sends a part of a response and resets the connection.
func breaksOff(peer *net.TCPConn) {
	_, _ = io.WriteString(peer, "whole")
	reset(peer)
}

func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	_ = peer.Close()
}

// writeUntilTold writes until the kernel reports that the connection has broken.
func writeUntilTold(t *testing.T, c net.Conn) error {
	t.Helper()
	lavassert.NoError(t, c.SetWriteDeadline(time.Now().Add(5*time.Second)))
	for {
		if _, err := c.Write(uploadBlock); err != nil {
			return err
		}
	}
}

// TestKernelReportsAResetOnce shows what Conn builds on: once the writer is told of a reset, the reader sees an
// ordinary end, and the writer's error shows whether the peer had ended its response before.
func TestKernelReportsAResetOnce(t *testing.T) {
	tests := []struct {
		name   string
		script func(peer *net.TCPConn)
		want   error
	}{
		{"BreaksOff", breaksOff, syscall.ECONNRESET},
		{"Finishes", finishes, syscall.EPIPE},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 20 {
				c := loopback(t, test.script)
				lavassert.ErrorIs(t, writeUntilTold(t, c), test.want)
				text, err := io.ReadAll(c)
				lavassert.NoError(t, err)
				lavassert.Equal(t, "text", string(text), "whole")
			}
		})
	}
}

// TestReadAfterBrokenWrite guards against a part of a response that counts as whole, since only the writer was told of
// a reset, and against a whole one that counts as lost.
func TestReadAfterBrokenWrite(t *testing.T) {
	tests := []struct {
		name   string
		script func(peer *net.TCPConn)
		want   error
	}{
		{"BreaksOff", breaksOff, syscall.ECONNRESET},
		{"Finishes", finishes, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 50 {
				c := lavresponse.NewConn(loopback(t, test.script))
				written := make(chan struct{})
				go func() {
					defer close(written)
					for range 16 {
						if _, err := c.Write(uploadBlock); err != nil {
							return
						}
					}
				}()
				text, err := io.ReadAll(c)
				lavassert.True(t, "error of the reader", errors.Is(err, test.want))
				lavassert.Equal(t, "text", string(text), "whole")
				<-written
			}
		})
	}
}

// scriptedConn is a connection whose reader sees an end at once. A write waits until its deadline is set, and then fails.
type scriptedConn struct {
	net.Conn
	failure error
	// interrupted is closed once the deadline of a write is set.
	interrupted chan struct{}
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) Write([]byte) (int, error) {
	<-c.interrupted
	return 1, c.failure
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}

// TestEndWaitsForThePendingWrite guards against an end that is reported before the writer has recorded what the kernel
// told it.
func TestEndWaitsForThePendingWrite(t *testing.T) {
	tests := []struct {
		failure, want error
	}{
		{&net.OpError{Op: "write", Err: syscall.ECONNRESET}, syscall.ECONNRESET},
		{&net.OpError{Op: "write", Err: syscall.ETIMEDOUT}, syscall.ETIMEDOUT},
		{&net.OpError{Op: "write", Err: syscall.EPIPE}, io.EOF},
		{io.ErrClosedPipe, io.EOF},
	}
	for _, test := range tests {
		t.Run(test.failure.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := lavresponse.NewConn(&scriptedConn{failure: test.failure, interrupted: make(chan struct{})})
				go func() { _, _ = c.Write(uploadBlock) }()
				synctest.Wait()
				_, err := c.Read(make([]byte, 1))
				lavassert.ErrorIs(t, err, test.want)
			})
		})
	}
}

// TestNothingIsSentAfterTheEnd guards against a request that is written on a connection whose peer has gone.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	ours, theirs := net.Pipe()
	c := lavresponse.NewConn(ours)
	lavassert.NoError(t, theirs.Close())
	_, err := c.Read(make([]byte, 1))
	lavassert.ErrorIs(t, err, io.EOF)
	n, err := c.Write(uploadBlock)
	lavassert.Equal(t, "bytes sent", n, 0)
	lavassert.True(t, "error of the writer", err != nil)
}

// brokenConn is a connection on which writes fail once broken is set.
type brokenConn struct {
	net.Conn
	broken bool
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if c.broken {
		return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
	}
	return len(p), nil
}

// TestRequestOfWhichNothingWasSent guards against a request that counts as sent, since an earlier one was on the same
// connection. The caller may send it again.
func TestRequestOfWhichNothingWasSent(t *testing.T) {
	raw := &brokenConn{}
	c := lavresponse.NewConn(raw)
	_, err := c.Write(uploadBlock)
	lavassert.NoError(t, err)
	raw.broken = true
	n, err := c.Write(uploadBlock)
	lavassert.NoError(t, err)
	lavassert.Equal(t, "bytes of the rest of a request that are dropped", n, len(uploadBlock))
	c.BeginRequest()
	n, err = c.Write(uploadBlock)
	lavassert.ErrorIs(t, err, syscall.ECONNRESET)
	lavassert.Equal(t, "bytes of the next request", n, 0)
}
