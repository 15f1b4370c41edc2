package lavclient_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// offsetEvent is formatEvent for an event that states the number of tokens before it.
func offsetEvent(offset, token int, final bool) string {
	event := formatEvent("r", token, final)
	return strings.Replace(event, `"choices"`, fmt.Sprintf(`"offset": %d, "choices"`, offset), 1)
}

// TestForeignEventsAreNoAnswer guards against events that don't follow the last one, and other bytes, that count as
// text of an answer.
func TestForeignEventsAreNoAnswer(t *testing.T) {
	first, end := offsetEvent(0, 1, false), offsetEvent(1, 3, true)
	for _, c := range []struct{ name, body, want string }{
		{"an event twice", formatEvent("r", 1, false) + formatEvent("r", 1, false) + formatEvent("r", 3, true), "t1 "},
		{"an event with its offset twice", first + first + end, "t1 "},
		{"an event after a gap", first + offsetEvent(2, 3, true), "t1 "},
		{"an event that overlaps", first + offsetEvent(0, 3, true), "t1 "},
		{"an event without an ID", first + strings.TrimPrefix(end, "id: 3\n"), "t1 "},
		{"an event with an ID of other text", first + strings.Replace(end, "id: 3", "id: x", 1), "t1 "},
		{"a negative ID", strings.Replace(first, "id: 1", "id: -1", 1) + end, ""},
		{"text between events", first + "internal error\n\ndata: internal error\n\n" + end, "t1 "},
		{"another response between events", first + "HTTP/1.1 200 OK\r\n\r\ndata: {}\n\n" + end, "t1 "},
		{"a page", "<html>ok</html>\n\n", ""},
		{"an answer", `{"id": "r", "choices": [{"text": "x", "finish_reason": "stop"}]}` + "\n\n", ""},
		{"nothing", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			respond := func(w http.ResponseWriter, _ *http.Request, _, _ int) {
				writeStreamHeader(w, "")
				_, _ = io.WriteString(w, c.body)
			}
			withFleet(t, respond, func(t *testing.T, f *fleet) {
				got, err := f.readAnswer(t)
				lavassert.Equal(t, "text", got, c.want)
				lavassert.True(t, "answer is incomplete", err != nil)
			})
		})
	}
	t.Run("events that follow", func(t *testing.T) {
		respond := func(w http.ResponseWriter, _ *http.Request, _, _ int) {
			writeStreamHeader(w, "")
			_, _ = io.WriteString(w, first+end)
		}
		withFleet(t, respond, func(t *testing.T, f *fleet) {
			got, err := f.readAnswer(t)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "text", got, "t1 t3 ")
		})
	})
}

// TestStreamWithoutRequestIsNoAnswer guards against a success that names no request and counts as the answer.
func TestStreamWithoutRequestIsNoAnswer(t *testing.T) {
	respond := func(w http.ResponseWriter, _ *http.Request, _, _ int) {
		_, _ = io.WriteString(w, formatEvent("q", 1, false)+formatEvent("q", 3, true))
	}
	withFleet(t, respond, func(t *testing.T, f *fleet) {
		got, err := f.readAnswer(t)
		lavassert.Equal(t, "text", got, "")
		lavassert.True(t, "answer is incomplete", err != nil)
	})
}

// TestResumedStreamOfOtherRequestIsNoAnswer guards against another answer's end that counts as the rest of this one.
func TestResumedStreamOfOtherRequestIsNoAnswer(t *testing.T) {
	respond := func(w http.ResponseWriter, _ *http.Request, n, _ int) {
		if n == 1 {
			writeStreamHeader(w, "token")
			_, _ = io.WriteString(w, formatEvent("r", 1, false))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(lavrequest.HeaderRequest, "q")
		_, _ = io.WriteString(w, formatEvent("q", 3, true))
	}
	withFleet(t, respond, func(t *testing.T, f *fleet) {
		got, err := f.readAnswer(t)
		lavassert.Equal(t, "text", got, "t1 ")
		lavassert.True(t, "answer is incomplete", err != nil)
	})
}
