package lavengine_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfakenet"

	"github.com/cockroachdb/errors"
)

const engineAddr = "10.0.0.2:80"

// withEngine runs body with a client of an engine whose responses are written by
// handler.
func withEngine(t *testing.T, handler http.HandlerFunc, body func(t *testing.T, e lavengine.Engine, n *lavfakenet.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		l, err := n.Host(lavfakenet.HostInfo{Host: "b"}).Listen("tcp", engineAddr)
		lavassert.NoError(t, err)
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: n.Host(lavfakenet.HostInfo{Host: "a"}).DialContext}
		body(t, lavengine.NewHTTP(&http.Client{Transport: transport}, "http://"+engineAddr), n)
		transport.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
		synctest.Wait()
	})
}

// encodeEvent returns a frame as the server-sent event that an engine writes.
func encodeEvent(t *testing.T, id, incarnation string, offset int, text string, final bool) string {
	t.Helper()
	event, err := lavengine.AppendEvent(nil, "m", lavengine.Frame{
		ID: "r", Incarnation: lavengine.Incarnation(incarnation), Offset: offset, Tokens: 1, Text: text, Final: final,
	})
	lavassert.NoError(t, err)
	return strings.ReplaceAll(string(event), `"id":"r"`, `"id":"`+id+`"`)
}

// readAnswer submits a prompt and reads its answer to the end.
func readAnswer(ctx context.Context, t *testing.T, e lavengine.Engine) (text string, dropped int, err error) {
	t.Helper()
	stream, err := e.Submit(ctx, lavengine.Submission{ID: "r", Prompt: "p", MaxTokens: 3})
	if err != nil {
		return "", 0, err
	}
	defer func() { lavassert.NoError(t, stream.Close()) }()
	for {
		f, err := stream.Next()
		if errors.Is(err, io.EOF) {
			err = nil
		} else if err == nil {
			text += f.Text
			continue
		}
		return text, stream.(lavengine.StreamInfo).Dropped(), err
	}
}

func TestStreamOfFrames(t *testing.T) {
	a, b, c := encodeEvent(t, "r", "i", 0, "a", false), encodeEvent(t, "r", "i", 1, "b", false), encodeEvent(t, "r", "i", 2, "c", true)
	for _, s := range []struct {
		name, events, text string
		dropped            int
		broken             bool
	}{
		{"a complete answer", a + b + c, "abc", 0, false},
		{"comment lines", ":\n\n" + a + ": beat\n\n" + b + ":\n\n" + c, "abc", 0, false},
		{"a frame of another request", a + encodeEvent(t, "other", "i", 1, "x", false) + b + c, "abc", 1, false},
		{"the final frame of another request", a + encodeEvent(t, "other", "i", 1, "x", true) + b + c, "abc", 1, false},
		{"a frame of an earlier incarnation", a + encodeEvent(t, "r", "old", 1, "x", false) + b + c, "abc", 1, false},
		{"duplicate frames", a + a + b + b + c, "abc", 2, false},
		{"a missing frame", a + c, "a", 0, true},
		{"no final frame", a + b, "ab", 0, true},
		{"an end marker without a final frame", a + "data: [DONE]\n\n", "a", 0, true},
		{"an error event", a + "event: error\ndata: {\"error\":\"x\"}\n\n", "a", 0, true},
		{"invalid JSON", a + "data: {\n\n", "a", 0, true},
		{"a bad event ID", "id: x\n" + a, "", 0, true},
		{"an empty stream", "", "", 0, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			withEngine(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(lavengine.HeaderIncarnation, "i")
				_, _ = io.WriteString(w, s.events)
			}, func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
				text, dropped, err := readAnswer(t.Context(), t, e)
				lavassert.Equal(t, "text", text, s.text)
				lavassert.Equal(t, "dropped", dropped, s.dropped)
				lavassert.Equal(t, "broken", errors.Is(err, lavengine.ErrBroken), s.broken)
			})
		})
	}
}

func TestSilence(t *testing.T) {
	hang := func(header, heartbeat bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			// A server detects that the client has disconnected only after it
			// has read the request body.
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(lavengine.HeaderIncarnation, "i")
			for i := 0; header && i < 10; i++ {
				_, _ = io.WriteString(w, ":\n\n")
				_ = http.NewResponseController(w).Flush()
				if !heartbeat {
					break
				}
				time.Sleep(time.Second)
			}
			<-r.Context().Done()
		}
	}
	for _, c := range []struct {
		name              string
		header, heartbeat bool
		after             time.Duration
	}{
		{"before the header", false, false, lavengine.StreamIdleTimeout},
		{"after the header", true, false, lavengine.StreamIdleTimeout},
		{"after ten heartbeats", true, true, 9*time.Second + lavengine.StreamIdleTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			withEngine(t, hang(c.header, c.heartbeat), func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
				start := time.Now()
				_, _, err := readAnswer(t.Context(), t, e)
				lavassert.ErrorIs(t, err, lavengine.ErrSilent)
				lavassert.ErrorIs(t, err, lavengine.ErrBroken)
				lavassert.AtLeast(t, "elapsed time", time.Since(start), c.after)
				lavassert.AtMost(t, "elapsed time", time.Since(start), c.after+100*time.Millisecond)
			})
		})
	}
	t.Run("the caller's deadline is not reported as silence", func(t *testing.T) {
		withEngine(t, hang(true, false), func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _, err := readAnswer(ctx, t, e)
			lavassert.True(t, "error is not ErrSilent", !errors.Is(err, lavengine.ErrSilent))
		})
	})
}
