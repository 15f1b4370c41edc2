package lavrelay

import (
	"context"
	"net"
	"net/http"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestResetBodyWithoutLengthIsNoAnswer guards against a body of neither a length nor chunks that a reset cuts and callers get as whole.
func TestResetBodyWithoutLengthIsNoAnswer(t *testing.T) {
	const body = "ok"
	tests := []struct {
		name   string
		end    func(net.Conn)
		status int
		body   string
	}{
		{"Finish", standin.Finish, http.StatusOK, body},
		{"Reset", standin.Reset, http.StatusBadGateway, "Unknown\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixtureNow(standin.RespondUnframed(body, test.end))
			b.relay.pool = lavconn.New(b.endpoints.DialSocket, 2)
			out := b.serve(context.Background(), b.call(lavconfig.KindUnsafe))
			lavassert.Equal(t, "status", out.Code, test.status)
			lavassert.Equal(t, "body", out.Body.String(), test.body)
			b.closePool()
		})
	}
}

// TestChunksBesideALengthEndWithTheLastChunk guards against a body that the length beside its chunks cuts short, or makes look whole.
func TestChunksBesideALengthEndWithTheLastChunk(t *testing.T) {
	tests := []struct {
		name, last string
		status     int
		body       string
	}{
		{"Whole", standin.LastChunk, http.StatusOK, "whole"},
		{"WithoutLastChunk", "", http.StatusBadGateway, "Unknown\n"},
		{"InsideLastChunk", standin.LastChunk[:3], http.StatusBadGateway, "Unknown\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixtureNow(standin.RespondLengthAndChunks("whole", test.last))
			out := b.serve(context.Background(), b.call(lavconfig.KindUnsafe))
			lavassert.Equal(t, "status", out.Code, test.status)
			lavassert.Equal(t, "body", out.Body.String(), test.body)
			lavassert.Equal(t, "length", out.Header().Get("Content-Length"), "")
			b.closePool()
		})
	}
}
