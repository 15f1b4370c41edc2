package lavconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// silenceAfter is the silence after which these tests ask.
const silenceAfter = time.Second

// questions are the times since a begin at which a watch asked. It allows the end at the last of
// a number of questions, each of which takes a time.
type questions struct {
	begun   time.Time
	takes   time.Duration
	allowAt int
	at      []time.Duration
	ctx     context.Context
}

func (q *questions) silence() Silence {
	q.begun = time.Now()
	return Silence{After: silenceAfter, MayEnd: func(ctx context.Context) bool {
		q.at = append(q.at, time.Since(q.begun))
		q.ctx = ctx
		time.Sleep(q.takes)
		return len(q.at) == q.allowAt
	}}
}

// replyAfter responds to each request of a connection after a time.
func replyAfter(wait time.Duration) func(*server, net.Conn, *bufio.Reader, int) {
	return func(s *server, c net.Conn, in *bufio.Reader, _ int) {
		for s.read(in) {
			time.Sleep(wait)
			reply(c, "1", "ok")
		}
	}
}

// TestSilentExchangeEndsWhenAllowed guards against exchanges that end before that is allowed, or never.
func TestSilentExchangeEndsWhenAllowed(t *testing.T) {
	ms := func(all ...int) (at []time.Duration) {
		for _, n := range all {
			at = append(at, time.Duration(n)*time.Millisecond)
		}
		return at
	}
	for _, test := range []struct {
		name   string
		wait   time.Duration
		asked  questions
		at     []time.Duration
		isEnds bool
	}{
		{"AnsweredInTime", 900 * time.Millisecond, questions{allowAt: 1}, nil, false},
		{"AllowedAtOnce", time.Minute, questions{allowAt: 1}, ms(1000), true},
		{"AllowedLater", time.Minute, questions{allowAt: 3}, ms(1000, 1050, 1100), true},
		{"NeverAllowed", 1120 * time.Millisecond, questions{}, ms(1000, 1050, 1100), false},
		{"AnsweredDuringTheQuestion", 1020 * time.Millisecond, questions{allowAt: 1, takes: 30 * time.Millisecond}, ms(1000), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := New((&server{script: replyAfter(test.wait)}).dial, 4)
				r := get("1")
				r.Silence = test.asked.silence()
				body, err := exchangeBody(p, r, "1")
				lavassert.Equal(t, "ended as after a timeout", TimedOut(err), test.isEnds)
				if !test.isEnds {
					lavassert.Equal(t, "body", body, "ok")
				}
				lavassert.Equal(t, "questions", test.asked.at, test.at)
				lavassert.True(t, "no question goes on", test.asked.ctx == nil || test.asked.ctx.Err() != nil)
				p.Sweep(func(netip.AddrPort) bool { return false })
				time.Sleep(time.Hour)
			})
		})
	}
}

// TestUnreadResponseIsNotSilent guards against endpoints that are taken for silent while their response
// is left unread, or that make progress.
func TestUnreadResponseIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New((&server{script: replyAfter(0)}).dial, 4)
		asked := questions{allowAt: 1}
		r := get("1")
		r.Silence = asked.silence()
		response, err := p.Do(t.Context(), testAddress, r, matchID("1"))
		lavassert.NoError(t, err)
		time.Sleep(time.Minute)
		response.RestartSilence()
		body, err := io.ReadAll(response)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "body", string(body), "ok")
		lavassert.Equal(t, "questions", len(asked.at), 0)
		response.Close(time.Hour)
		time.Sleep(time.Minute)
		lavassert.Equal(t, "questions after the end", len(asked.at), 0)
		p.Sweep(func(netip.AddrPort) bool { return false })
	})
}

// TestConnectionAfterASilence guards against connections that are used again with the deadline of an
// exchange which ended as it was given up.
func TestConnectionAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{script: replyAfter(silenceAfter)}
		p := New(s.dial, 4)
		for range 3 {
			asked := questions{allowAt: 1}
			r := get("1")
			r.Silence = asked.silence()
			_, _ = exchangeBody(p, r, "1")
			body, err := exchangeBody(p, get("1"), "1")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body", body, "ok")
		}
		p.Sweep(func(netip.AddrPort) bool { return false })
	})
}
