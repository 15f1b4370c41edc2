package lavstream_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavstream"
)

// TestSilentEnginesDontDelayTheEnd guards against a caller that waits past its
// deadline for an engine that doesn't answer, because the relay cancels the
// stream there first, or asks whether the engine has died.
func TestSilentEnginesDontDelayTheEnd(t *testing.T) {
	// A prompt without a fault takes 3.9 s.
	const timeout = 4 * time.Second
	faults := []struct {
		name   string
		inject func(s *testSetup, engine string)
	}{
		{"connections fall silent", func(s *testSetup, engine string) { s.rack.Network.Blackhole(entryHost, engine) }},
		{"paths are cut", func(s *testSetup, engine string) { s.rack.Network.SetPartitioned(entryHost, engine, true) }},
		{"hosts go down and paths are cut", func(s *testSetup, engine string) {
			s.rack.Network.SetDown(engine, true)
			s.rack.Network.SetPartitioned(entryHost, engine, true)
		}},
	}
	times := []time.Duration{0, 100 * time.Millisecond, time.Second, 2500 * time.Millisecond, 3300 * time.Millisecond, 3700 * time.Millisecond, 3850 * time.Millisecond}
	for _, f := range faults {
		for _, at := range times {
			t.Run(fmt.Sprint(f.name, " after ", at), func(t *testing.T) {
				withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
					a := newTestPrompt(strings.Repeat("lace ", 400), 390, timeout)
					engines := s.rack.Snapshot().Endpoints
					time.AfterFunc(at, func() {
						for _, e := range engines {
							f.inject(s, e.Name)
						}
					})
					ctx, cancel := context.WithDeadline(t.Context(), a.job.Request.Deadline)
					defer cancel()
					_, err := s.hosts[0].relay.Run(ctx, &a.job)
					if err == nil {
						a.assertComplete(t)
					}
					lavassert.AtMost(t, "time past the deadline", time.Since(a.job.Request.Deadline), deadlineSlack)
					for _, e := range engines {
						s.rack.Network.SetDown(e.Name, false)
						s.rack.Network.SetPartitioned(entryHost, e.Name, false)
					}
					s.assertMemoryFree(t)
				})
			})
		}
	}
}

// TestRoomIsTakenUntilCanceled guards against assigning another prompt to an
// engine whose memory an ended one still holds, since the caller of that one
// doesn't wait until its stream is canceled.
func TestRoomIsTakenUntilCanceled(t *testing.T) {
	withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
		// The prompt's path is cut after 1.5 s.
		const (
			timeout      = 2 * time.Second
			tokensBefore = 150
		)
		h, engine := s.hosts[0], ""
		a := newTestPrompt("lace", 1000, time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		callOnceAfter(a, tokensBefore, func(frame lavstream.EndpointFrame) {
			engine = frame.Endpoint
			s.rack.Network.SetPartitioned(entryHost, engine, true)
		})
		_, err := h.relay.Run(ctx, &a.job)
		lavassert.ErrorIs(t, err, context.DeadlineExceeded)
		lavassert.True(t, "the engine still runs the stream", s.usedMemoryTokens() > 0)
		lavassert.Equal(t, "requests that take room", h.dispatch.Load().Running, 1)
		time.AfterFunc(time.Second, func() { s.rack.Network.SetPartitioned(entryHost, engine, false) })
		h.cleanup.Wait(t.Context())
		lavassert.Equal(t, "engine memory in use", s.usedMemoryTokens(), 0)
		lavassert.Equal(t, "requests that take room after the cancellation", h.dispatch.Load().Running, 0)
	})
}
