package lavjson

import (
	"fmt"
	"strings"
)

// Position is a position in a file. Lines and columns start at 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String formats the position as file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Fault is an error in a file. The message states what is wrong and what is expected.
type Fault struct {
	Position Position
	Message  string
}

// String formats the fault as its position and message.
func (f Fault) String() string { return f.Position.String() + ": " + f.Message }

// Faults is the error of a file with one or more faults, in order of position.
type Faults []Fault

// Error formats the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}
