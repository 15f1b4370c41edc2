package lavengine_test

import (
	"io"
	"net/http"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfakenet"

	"github.com/cockroachdb/errors"
)

// TestStreamThatBreaksOffIsIncomplete guards against a stream whose head or events break off at any byte, and that
// counts as a complete answer.
func TestStreamThatBreaksOffIsIncomplete(t *testing.T) {
	first := encodeEvent(t, "r", "i", 0, "a", false)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nLav-Incarnation: i\r\nConnection: close\r\n\r\n"
	text := head + first + withoutLine(encodeEvent(t, "r", "i", 1, "b", true), "data: [DONE]")
	whole := len(text)
	for text[whole-1] == '\n' {
		whole--
	}
	for length := range whole {
		withEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, text[:length])
			_ = c.Close()
		}, func(t *testing.T, e lavengine.Engine, _ *lavfakenet.Network) {
			answer, _, err := readAnswer(t.Context(), t, e)
			lavassert.True(t, "stream is broken", errors.Is(err, lavengine.ErrBroken))
			lavassert.True(t, "only whole events", answer == "" || answer == "a")
		})
	}
}
