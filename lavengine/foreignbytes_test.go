package lavengine_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfakenet"

	"github.com/cockroachdb/errors"
)

// withoutLine returns an event without its line that begins with a prefix.
func withoutLine(event, prefix string) string {
	var kept []string
	for line := range strings.SplitSeq(event, "\n") {
		if !strings.HasPrefix(line, prefix) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// TestForeignBytesAreNoFrame guards against an event without an ID or an offset, a stream without an incarnation
// and an error page that count as a part of an answer.
func TestForeignBytesAreNoFrame(t *testing.T) {
	a, b, c := encodeEvent(t, "r", "i", 0, "a", false), encodeEvent(t, "r", "i", 1, "b", false), encodeEvent(t, "r", "i", 2, "c", true)
	withoutOffset := func(event string, offset string) string { return strings.Replace(event, `,"offset":`+offset, "", 1) }
	for _, s := range []struct{ name, incarnation, events, text string }{
		{"no event ID", "i", a + withoutLine(b, "id:") + c, "a"},
		{"no event ID, and the event again", "i", a + withoutLine(b, "id:") + b + c, "a"},
		{"no event ID in the final frame", "i", a + b + withoutLine(c, "id:"), "ab"},
		{"no offset", "i", a + withoutOffset(b, "1") + c, "a"},
		{"no offset after a gap", "i", a + withoutOffset(c, "2"), "a"},
		{"no choice", "i", a + strings.Replace(b, `"choices":[{`, `"others":[{`, 1) + c, "a"},
		{"no incarnation", "", strings.ReplaceAll(a+b+c, `"incarnation":"i",`, ""), ""},
		{"a page", "i", "<html>ok</html>\n", ""},
		{"another response", "i", a + "HTTP/1.1 200 OK\r\nLav-Incarnation: i\r\n\r\n", "a"},
	} {
		t.Run(s.name, func(t *testing.T) {
			withEngine(t, func(w http.ResponseWriter, _ *http.Request) {
				if s.incarnation != "" {
					w.Header().Set(lavengine.HeaderIncarnation, s.incarnation)
				}
				_, _ = io.WriteString(w, s.events)
			}, func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
				text, _, err := readAnswer(t.Context(), t, e)
				lavassert.Equal(t, "text", text, s.text)
				lavassert.True(t, "stream is broken", errors.Is(err, lavengine.ErrBroken))
			})
		})
	}
}

// TestResumedStreamOfOtherIncarnationIsBroken guards against the rest of another run that counts as the rest of an
// answer.
func TestResumedStreamOfOtherIncarnationIsBroken(t *testing.T) {
	withEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(lavengine.HeaderIncarnation, "other")
		_, _ = io.WriteString(w, encodeEvent(t, "r", "other", 1, "x", true))
	}, func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
		_, err := e.Resume(t.Context(), "r", "i", 1)
		lavassert.ErrorIs(t, err, lavengine.ErrBroken)
	})
}

// TestForeignReplyOfEngineIsBroken guards against a success that answers another call, or none, and counts.
func TestForeignReplyOfEngineIsBroken(t *testing.T) {
	calls := map[string]func(ctx context.Context, e lavengine.Engine) error{
		"Load": func(ctx context.Context, e lavengine.Engine) error { _, err := e.Load(ctx); return err },
		"Prefill": func(ctx context.Context, e lavengine.Engine) error {
			_, err := e.Prefill(ctx, "r", "", "s")
			return err
		},
		"Export": func(ctx context.Context, e lavengine.Engine) error { _, err := e.Export(ctx, "c"); return err },
		"Import": func(ctx context.Context, e lavengine.Engine) error { _, err := e.Import(ctx, nil); return err },
		"Order": func(ctx context.Context, e lavengine.Engine) error {
			_, err := e.Order(ctx, lavengine.Order{})
			return err
		},
		"Reserve": func(ctx context.Context, e lavengine.Engine) error {
			return e.Reserve(ctx, lavengine.Reservation{ID: "r"})
		},
		"Release": func(ctx context.Context, e lavengine.Engine) error { return e.Release(ctx, "r") },
		"Cancel":  func(ctx context.Context, e lavengine.Engine) error { return e.Cancel(ctx, "r") },
	}
	noResult := map[string]bool{"Reserve": true, "Release": true, "Cancel": true}
	for name, call := range calls {
		for _, body := range []string{"<html>ok</html>", "{}", "null", `{"Incarnation":`} {
			if noResult[name] && (body == "{}" || body == "null") {
				continue
			}
			t.Run(name+"/"+body, func(t *testing.T) {
				withEngine(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) },
					func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
						lavassert.ErrorIs(t, call(t.Context(), e), lavengine.ErrBroken)
					})
			})
		}
	}
}

// TestPinIsNotMetByAnErrorPage guards against a failure that counts as the report of the engine's incarnation.
func TestPinIsNotMetByAnErrorPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		l, err := n.Host(lavfakenet.HostInfo{Host: "b"}).Listen("tcp", engineAddr)
		lavassert.NoError(t, err)
		submitted := 0
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				submitted++
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"Incarnation":"i"}`)
		})}
		go func() { _ = server.Serve(l) }()
		client := &http.Client{Transport: &http.Transport{DialContext: n.Host(lavfakenet.HostInfo{Host: "a"}).DialContext}}
		pins := lavengine.NewPinnedClients(client)
		e := lavengine.NewPinnedEngine(pins, netip.MustParseAddrPort(engineAddr), lavengine.Pin{Incarnation: "i"})
		_, err = e.Submit(t.Context(), lavengine.Submission{ID: "r", Prompt: "p", MaxTokens: 3})
		lavassert.ErrorIs(t, err, lavengine.ErrNotSent)
		lavassert.Equal(t, "prompts that arrived", submitted, 0)
		pins.Close()
		client.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
	})
}

// TestUnnamedReplyOfEngineIsBroken guards against a success that names no engine and counts as the reply to a call without a result.
func TestUnnamedReplyOfEngineIsBroken(t *testing.T) {
	calls := map[string]func(ctx context.Context, e lavengine.Engine) error{
		"Reserve": func(ctx context.Context, e lavengine.Engine) error {
			return e.Reserve(ctx, lavengine.Reservation{ID: "r"})
		},
		"Release": func(ctx context.Context, e lavengine.Engine) error { return e.Release(ctx, "r") },
		"Cancel":  func(ctx context.Context, e lavengine.Engine) error { return e.Cancel(ctx, "r") },
		"Events":  func(ctx context.Context, e lavengine.Engine) error { _, err := e.Events(ctx, 1); return err },
	}
	bodies := map[string][]string{"Reserve": {"", "{}"}, "Release": {"", "{}"}, "Cancel": {"", "{}"}, "Events": {"[]"}}
	for name, call := range calls {
		for _, body := range bodies[name] {
			for _, incarnation := range []string{"", "i"} {
				t.Run(name+"/"+body+"/"+incarnation, func(t *testing.T) {
					withEngine(t, func(w http.ResponseWriter, _ *http.Request) {
						if incarnation != "" {
							w.Header().Set(lavengine.HeaderIncarnation, incarnation)
						}
						_, _ = io.WriteString(w, body)
					}, func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
						err := call(t.Context(), e)
						lavassert.Equal(t, "taken for a reply", err == nil, incarnation != "")
						lavassert.Equal(t, "reply is broken", errors.Is(err, lavengine.ErrBroken), incarnation == "")
					})
				})
			}
		}
	}
}
