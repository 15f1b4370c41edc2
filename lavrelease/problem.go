package lavrelease

import (
	"fmt"
	"strings"
)

// Problem describes one error in a note.
type Problem struct {
	// Path locates the error in the note, such as Add.Endpoints[3].Host. It is
	// empty if the error concerns the note as a whole.
	Path string
	// Message states what is wrong and, where useful, how to correct it.
	Message string
}

// String returns the path, if there is one, and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// RefusedError reports that a note was not published because it is invalid.
type RefusedError struct{ Problems []Problem }

// Error lists the problems in one line.
func (e *RefusedError) Error() string {
	texts := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		texts = append(texts, p.String())
	}
	return "note refused: " + strings.Join(texts, "; ")
}

// problems collects the errors in a note.
type problems struct{ list []Problem }

func (p *problems) add(path, format string, args ...any) {
	p.list = append(p.list, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// itemPath returns the path of an item in a note, such as Add.Hosts[0].
func itemPath(a Action, s Section, i int) string { return fmt.Sprintf("%v.%v[%d]", a, s, i) }
