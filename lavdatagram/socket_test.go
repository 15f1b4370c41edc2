package lavdatagram

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"

	"github.com/uber-go/tally/v4"
)

func listen(t *testing.T) (net.PacketConn, netip.AddrPort) {
	t.Helper()
	var config net.ListenConfig
	conn, err := config.ListenPacket(t.Context(), "udp4", "127.0.0.1:0")
	lavassert.NoError(t, err)
	return conn, netip.MustParseAddrPort(conn.LocalAddr().String())
}

func TestSocket(t *testing.T) {
	conn, at := listen(t)
	s := New(conn, tally.NoopScope)
	got := make(chan string, 1)
	s.Handle(KindWork, func(body []byte) {
		var text string
		lavassert.NoError(t, Decode(body, &text))
		got <- text
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	other, _ := listen(t)
	sender := New(other, tally.NoopScope)
	defer func() { _ = other.Close() }()
	sender.Send(at, []byte("no message"))
	data, err := Encode(KindWork, "hello")
	lavassert.NoError(t, err)
	sender.Send(at, data)
	select {
	case text := <-got:
		lavassert.Equal(t, "body", text, "hello")
	case <-time.After(5 * time.Second):
		t.Error("nothing came")
	}
	cancel()
	lavassert.ErrorIs(t, <-ended, context.Canceled)
}

func TestEncodeBounds(t *testing.T) {
	_, err := Encode(KindTotals, make([]byte, MaxBytes))
	lavassert.True(t, "an error", err != nil)
}

func FuzzTake(f *testing.F) {
	data, err := Encode(KindTotals, []int{1, 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := New(nil, tally.NoopScope)
		s.Handle(KindTotals, func(body []byte) {
			var v []int
			_ = Decode(body, &v)
		})
		s.take(data)
	})
}
