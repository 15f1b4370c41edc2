package lavfake

import (
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// maxEndlessBytes is after how many bytes an endless answer is given up.
	maxEndlessBytes = 64 << 20
	// endlessBlockBytes is about how much of an answer is written at once.
	endlessBlockBytes = 64 << 10
	// endlessInterval is the time between two blocks of an answer, so that those to many calls
	// grow side by side.
	endlessInterval = time.Millisecond
)

// EndlessAnswer is an answer that never ends.
type EndlessAnswer struct {
	Name string
	// begin is written once, and block again and again.
	begin, block []byte
}

// EndlessAnswers returns answers that don't end in a head or a body. Each head contains further lines,
// which end with CRLF.
func EndlessAnswers(lines string) []EndlessAnswer {
	const success = "HTTP/1.1 200 OK\r\n"
	return []EndlessAnswer{
		newEndlessAnswer("NoStatusLine", "", "a"),
		newEndlessAnswer("FieldName", success, "a"),
		newEndlessAnswer("FieldValue", success+"A: ", "a"),
		newEndlessAnswer("Fields", success, "A: b\r\n"),
		newEndlessAnswer("Informational", "", "HTTP/1.1 103 x\r\nA: b\r\n\r\n"),
		newEndlessAnswer("Unframed", success+lines+"\r\n", "a"),
		newEndlessAnswer("Chunks", success+lines+"Transfer-Encoding: chunked\r\n\r\n", "1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n"),
		newEndlessAnswer("HugeLength", success+lines+"Content-Length: 1000000000000\r\n\r\n", "a"),
		newEndlessAnswer("Text", success+lines+"\r\n\"", "a"),
		newEndlessAnswer("Line", success+lines+"\r\ndata: ", "a"),
	}
}

func newEndlessAnswer(name, begin, repeat string) EndlessAnswer {
	block := strings.Repeat(repeat, max(1, endlessBlockBytes/len(repeat)))
	return EndlessAnswer{Name: name, begin: []byte(begin), block: []byte(block)}
}

// ServeHTTP answers without reading the body of the request.
func (e *EndlessAnswer) ServeHTTP(w http.ResponseWriter, r *http.Request) { HandleRaw(e.Write)(w, r) }

// Write writes the answer until the client closes the connection c, and closes it.
func (e *EndlessAnswer) Write(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := c.Write(e.begin); err != nil {
		return
	}
	for sent := 0; sent < maxEndlessBytes; sent += len(e.block) {
		if _, err := c.Write(e.block); err != nil {
			return
		}
		time.Sleep(endlessInterval)
	}
}
