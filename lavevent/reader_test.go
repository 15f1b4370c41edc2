package lavevent

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"

	"github.com/cockroachdb/errors"
)

// versionField is the additional field of a first line in tests.
const versionField = "version"

// read feeds a text in steps to a reader, until it returns an error.
func read(r *Reader, text string, step int) (accepted string, err error) {
	var out strings.Builder
	for i := 0; i < len(text) && err == nil; i += step {
		var whole []byte
		whole, err = r.Feed([]byte(text[i:min(i+step, len(text))]))
		out.Write(whole)
	}
	return out.String(), err
}

// event returns the text of the event with an ID.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

func TestSoundStreams(t *testing.T) {
	tests := []struct {
		name, lastID, text, wantLast string
		count                        int
	}{
		{"Empty", "", "", "", 0},
		{"Events", "", event(1) + event(2) + event(3), "3", 3},
		{"Resumed", "7", event(8) + event(9), "9", 2},
		{"ResumedAfterText", "abc", event(8) + event(9), "9", 2},
		{"AllFields", "", "version: 7\nid:1\nevent: token\nretry: 5\ndata:a\ndata\n\n", "1", 1},
		{"LineEnds", "", "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\r\n\nid: 3\r\ndata: c\n\r\n", "3", 3},
		{"CommentsAndBlankLines", "", "\n: a\n\n\r\n" + event(1) + ":\n\n\n: b\nid: 2\ndata: é\t\n\n", "2", 2},
		{"Long", "", "id: 1\ndata: " + strings.Repeat("x", 200<<10) + "\n\n" + event(2), "2", 2},
	}
	for _, test := range tests {
		for _, step := range []int{1, 7, len(test.text) + 1} {
			t.Run(fmt.Sprint(test.name, step), func(t *testing.T) {
				r := New(test.lastID, versionField)
				accepted, err := read(r, test.text, step)
				lavassert.Equal(t, "error", err, nil)
				lavassert.Equal(t, "accepted", accepted, test.text)
				lavassert.Equal(t, "last ID", r.LastID(), test.wantLast)
				lavassert.Equal(t, "events", r.Count(), test.count)
				lavassert.True(t, "not truncated", !r.Truncated())
			})
		}
	}
}

func TestForeignBytes(t *testing.T) {
	for _, text := range []string{
		"error\n\n", "error\r\n\r\n", "data: x\n\n", "id:\ndata: x\n\n", "id: x\ndata: x\n\n", "id: 2\ndata: x\n\n",
		"id: 4\ndata: x\n\n", "id: 3\n\n", "id: 3\nid: 3\ndata: x\n\n", "id: 3\ndata: \xff\n\n", "id: 3\ndata: a\rb\n\n",
		"version: 7\n\n", "version: x\nid: 3\ndata: x\n\n", "id: 3\nversion: 7\ndata: x\n\n", "id: 3\nretry: x\ndata: x\n\n",
		":\x00\n\n", "id: 18446744073709551619\ndata: x\n\n", " id: 3\ndata: x\n\n", "ID: 3\ndata: x\n\n",
		"HTTP/1.1 200 OK\r\n\r\n", "id: 3\ndata: xid: 3\nx\n\n",
	} {
		for _, step := range []int{1, 7, 1000} {
			t.Run(fmt.Sprintf("%q/%d", text, step), func(t *testing.T) {
				r := New("", versionField)
				accepted, err := read(r, event(1)+event(2)+text+event(3), step)
				lavassert.True(t, "bytes are foreign", errors.Is(err, ErrForeign))
				lavassert.Equal(t, "accepted", accepted, event(1)+event(2))
				lavassert.Equal(t, "last ID", r.LastID(), "2")
				r.Resume()
				accepted, err = read(r, event(3), step)
				lavassert.Equal(t, "error of the next run", err, nil)
				lavassert.Equal(t, "accepted of the next run", accepted, event(3))
			})
		}
	}
}

// feedBytes is how much is fed at once.
const feedBytes = 4096

func TestEndless(t *testing.T) {
	for _, text := range []string{"x", ":\n\n", "\n", "data: x\n"} {
		t.Run(strconv.Quote(text), func(t *testing.T) {
			r := New("", "")
			_, err := read(r, event(1)+strings.Repeat(text, maxBytesWithoutEvent+feedBytes), feedBytes)
			lavassert.True(t, "endless", errors.Is(err, ErrEndless))
			lavassert.Equal(t, "events", r.Count(), 1)
		})
	}
}

func TestTruncated(t *testing.T) {
	whole := event(1)
	for cut := 1; cut < len(whole); cut++ {
		r := New("", "")
		accepted, err := read(r, whole[:cut], 1)
		lavassert.Equal(t, "error", err, nil)
		lavassert.Equal(t, "accepted", accepted, "")
		lavassert.True(t, "truncated", r.Truncated())
	}
}

func TestMayEnd(t *testing.T) {
	tests := []struct {
		name, lastID, first, second string
		want                        bool
	}{
		{"NoEvent", "", "", "", false},
		{"Events", "", event(1) + event(2), "", true},
		{"ResumedByTheCaller", "7", "", "", true},
		{"InsideAnEvent", "", event(1) + "id: 2\nda", "", false},
		{"ResumedWithoutTheEvent", "", event(1) + "id: 2\nda", ":\n\n", false},
		{"ResumedWithTheEvent", "", event(1) + "id: 2\nda", event(2), true},
		{"ResumedAfterForeignBytes", "", event(1) + "error\n\n", "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := New(test.lastID, "")
			// What follows foreign bytes is not read.
			_, _ = read(r, test.first, 1)
			if test.name != "InsideAnEvent" {
				r.Resume()
			}
			_, err := read(r, test.second, 1)
			lavassert.Equal(t, "error", err, nil)
			lavassert.Equal(t, "may end", r.MayEnd(), test.want)
		})
	}
}

// assertNumbered checks that a text holds the events from first on, as a client would read it.
func assertNumbered(t *testing.T, text string, first int) {
	t.Helper()
	for text != "" {
		line, rest, _ := strings.Cut(text, "\n")
		text = rest
		id, hasID := strings.CutPrefix(strings.TrimSuffix(line, "\r"), "id:")
		if hasID {
			lavassert.Equal(t, "ID", strings.TrimPrefix(id, " "), strconv.Itoa(first))
			first++
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add(event(1)+event(2), 3)
	f.Add(event(1)+"error\n\n"+event(2), 1)
	f.Add("id: 1\r\ndata: x\r\n\r\nid: 2\n\n", 1)
	f.Add("version: 7\nid: 1\ndata: x\n\n:\n\n\n", 2)
	f.Fuzz(func(t *testing.T, text string, step int) {
		// Leading zeros are numbers, too, but the check below doesn't know them.
		if strings.Contains(text, "0") {
			return
		}
		r := New("", versionField)
		accepted, err := read(r, text, min(max(step, 1), len(text)+1))
		atOnce, errAtOnce := read(New("", versionField), text, len(text)+1)
		lavassert.Equal(t, "accepted in one step", atOnce, accepted)
		lavassert.Equal(t, "error in one step", errAtOnce != nil, err != nil)
		lavassert.True(t, "input unchanged", strings.HasPrefix(text, accepted))
		if err == nil {
			lavassert.Equal(t, "partial block", accepted+string(r.Partial()), text)
		}
		assertNumbered(t, accepted, 1)
	})
}
