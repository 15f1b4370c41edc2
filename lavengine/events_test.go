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

// withEngine runs body with an engine whose streams are written by handler.
func withEngine(t *testing.T, handler http.HandlerFunc, body func(t *testing.T, e lavengine.Engine, n *lavfakenet.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := lavfakenet.New(1, func(_, _ lavfakenet.Place) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		l, err := n.Host(lavfakenet.Place{Host: "b"}).Listen("tcp", engineAddr)
		lavassert.NoError(t, err)
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: n.Host(lavfakenet.Place{Host: "a"}).DialContext}
		body(t, lavengine.NewHTTP(&http.Client{Transport: transport}, "http://"+engineAddr), n)
		transport.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
		synctest.Wait()
	})
}

// frame writes one event as an engine does.
func frame(t *testing.T, id, incarnation string, offset int, text string, final bool) string {
	t.Helper()
	event, err := lavengine.AppendEvent(nil, "m", lavengine.Frame{
		ID: "r", Incarnation: lavengine.Incarnation(incarnation), Offset: offset, Tokens: 1, Text: text, Final: final,
	})
	lavassert.NoError(t, err)
	return strings.ReplaceAll(string(event), `"id":"r"`, `"id":"`+id+`"`)
}

// read submits a prompt and reads its answer to the end.
func read(ctx context.Context, t *testing.T, e lavengine.Engine) (text string, dropped int, err error) {
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
	a, b, c := frame(t, "r", "i", 0, "a", false), frame(t, "r", "i", 1, "b", false), frame(t, "r", "i", 2, "c", true)
	for _, s := range []struct {
		name, events, text string
		dropped            int
		broken             bool
	}{
		{"whole", a + b + c, "abc", 0, false},
		{"comments", ":\n\n" + a + ": beat\n\n" + b + ":\n\n" + c, "abc", 0, false},
		{"a frame of another request", a + frame(t, "other", "i", 1, "x", false) + b + c, "abc", 1, false},
		{"the end of another request", a + frame(t, "other", "i", 1, "x", true) + b + c, "abc", 1, false},
		{"a frame of an earlier life", a + frame(t, "r", "old", 1, "x", false) + b + c, "abc", 1, false},
		{"a frame twice", a + a + b + b + c, "abc", 2, false},
		{"a gap", a + c, "a", 0, true},
		{"no final frame", a + b, "ab", 0, true},
		{"an end marker without a final frame", a + "data: [DONE]\n\n", "a", 0, true},
		{"an error event", a + "event: error\ndata: {\"error\":\"x\"}\n\n", "a", 0, true},
		{"no JSON", a + "data: {\n\n", "a", 0, true},
		{"a bad event ID", "id: x\n" + a, "", 0, true},
		{"nothing", "", "", 0, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			withEngine(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(lavengine.HeaderIncarnation, "i")
				_, _ = io.WriteString(w, s.events)
			}, func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
				text, dropped, err := read(t.Context(), t, e)
				lavassert.Equal(t, "text", text, s.text)
				lavassert.Equal(t, "dropped", dropped, s.dropped)
				lavassert.Equal(t, "broken", errors.Is(err, lavengine.ErrBroken), s.broken)
			})
		})
	}
}

func TestSilence(t *testing.T) {
	hang := func(header, beat bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			// Only once the body is read does a server notice a caller's end.
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(lavengine.HeaderIncarnation, "i")
			for i := 0; header && i < 10; i++ {
				_, _ = io.WriteString(w, ":\n\n")
				_ = http.NewResponseController(w).Flush()
				if !beat {
					break
				}
				time.Sleep(time.Second)
			}
			<-r.Context().Done()
		}
	}
	for _, c := range []struct {
		name         string
		header, beat bool
		after        time.Duration
	}{
		{"before the header", false, false, lavengine.SilenceBound},
		{"after the header", true, false, lavengine.SilenceBound},
		{"after ten heartbeats", true, true, 9*time.Second + lavengine.SilenceBound},
	} {
		t.Run(c.name, func(t *testing.T) {
			withEngine(t, hang(c.header, c.beat), func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
				began := time.Now()
				_, _, err := read(t.Context(), t, e)
				lavassert.ErrorIs(t, err, lavengine.ErrSilent)
				lavassert.ErrorIs(t, err, lavengine.ErrBroken)
				lavassert.AtLeast(t, "time", time.Since(began), c.after)
				lavassert.AtMost(t, "time", time.Since(began), c.after+100*time.Millisecond)
			})
		})
	}
	t.Run("the caller's own end is not silence", func(t *testing.T) {
		withEngine(t, hang(true, false), func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, _, err := read(ctx, t, e)
			lavassert.True(t, "not silent", !errors.Is(err, lavengine.ErrSilent))
		})
	})
}
