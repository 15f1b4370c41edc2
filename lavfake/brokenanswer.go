package lavfake

import (
	"io"
	"net/http"
)

// bodyOfTwo is a body, with the line that states its length and the end of the head.
const bodyOfTwo = "Content-Length: 2\r\n\r\n{}"

// AnswersOfNoStatus returns answers whose status is none of HTTP, or wasn't asked for. Each head
// contains further lines, which end with CRLF.
func AnswersOfNoStatus(lines string) []string {
	var answers []string
	for _, status := range []string{"000", "099", "101", "600", "700", "999", "+20", "-20"} {
		answers = append(answers, "HTTP/1.1 "+status+" x\r\n"+lines+bodyOfTwo)
	}
	return answers
}

// RespondRaw returns a handler that writes the bytes of an answer as they are, and closes the connection.
func RespondRaw(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// The client may have closed the connection.
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}
}
