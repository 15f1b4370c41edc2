package lavclient

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
)

func TestEventReader(t *testing.T) {
	r := newEventReader(strings.NewReader(": c\n\nid:7\ndata: a\ndata:b\n\nevent: error\ndata: x\n\nid: 8\n\ndata: cut"), func() {})
	first, err := r.next()
	lavassert.NoError(t, err)
	lavassert.Equal(t, "first event", first, event{id: "7", data: "a\nb"})
	second, err := r.next()
	lavassert.NoError(t, err)
	lavassert.Equal(t, "second event", second, event{name: "error", data: "x"})
	_, err = r.next()
	lavassert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestEventWithoutEndIsNotKept guards against a client that runs out of memory, since an event never ends.
func TestEventWithoutEndIsNotKept(t *testing.T) {
	endless := strings.NewReader(strings.Repeat("data: x\n", 4<<20))
	r := newEventReader(endless, func() {})
	_, err := r.next()
	lavassert.ErrorIs(t, err, errEventTooLong)
	lavassert.AtLeast(t, "bytes left unread", endless.Len(), 1<<20)
}

func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"", "\n", "data: a\n\n", "id: 1\ndata: {}\n\ndata: [DONE]\n\n", "data", ":\n\n", "data: a\r\n\r\n", "event: error\ndata: \xff\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := newEventReader(bytes.NewReader(text), func() {})
		for range len(text) + 1 {
			e, err := r.next()
			if err != nil {
				return
			}
			if e.data == "" {
				t.Error("event without data")
			}
		}
		t.Error("more events than bytes")
	})
}
