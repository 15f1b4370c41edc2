package lavjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// MaxBytes limits the size of a file and maxDepth its nesting, which protects the stack
// of the recursive parser.
const (
	MaxBytes = 4 << 20
	maxDepth = 32
)

// Document is a parsed file in JSON with comments.
type Document struct {
	name string
	text []byte
	root hujson.Value
}

// Parse parses the text of a file. The name is used in messages. The error is of type
// Faults.
func Parse(name string, text []byte) (*Document, error) {
	d := &Document{name: name, text: text}
	if len(text) > MaxBytes {
		return nil, Faults{d.fault(0, "the file has %d bytes, want at most %d", len(text), MaxBytes)}
	}
	if offset, found := findExcessNesting(text); found {
		return nil, Faults{d.fault(offset, "nested more than %d levels deep", maxDepth)}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Faults{d.syntaxFault(err)}
	}
	d.root = root
	return d, nil
}

// syntaxErrorPattern matches the errors of hujson.Parse, which have no structured position.
var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?:parsing value: )?(.*)$`)

// syntaxFault converts an error of hujson.Parse to a Fault. If the error has an unknown
// format, the fault is at the start of the file.
func (d *Document) syntaxFault(err error) Fault {
	match := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return Fault{Position: d.position(0), Message: err.Error()}
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	message := match[3]
	if message == "unexpected EOF" {
		message = "the file ends too early, want a complete JSON value"
	}
	return Fault{Position: Position{File: d.name, Line: line, Column: column}, Message: message}
}

// findExcessNesting returns the offset of the first bracket nested deeper than maxDepth,
// if there is one. It isn't recursive, because it runs before the recursive parser to
// limit its stack use.
func findExcessNesting(text []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = skipString(text, i)
		case '/':
			i = skipComment(text, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the index of the closing quote of the string that starts at i.
func skipString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment that starts at i, or
// len(text) if the comment isn't terminated. It returns i if there is no comment.
func skipComment(text []byte, i int) int {
	end := ""
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(text[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(text[i+2:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}

// Decode checks the document against the type that v points to, and decodes it into v.
// Fields that the document doesn't set keep their values. The error is of type Faults.
func (d *Document) Decode(v any) error {
	c := &checker{document: d}
	c.check(&d.root, elemType(v), "")
	if len(c.faults) > 0 {
		return c.faults
	}
	// Standardize modifies its argument, and d.text is still needed for positions.
	standard, err := hujson.Standardize(bytes.Clone(d.text))
	if err != nil {
		return Faults{d.fault(0, "%v", err)}
	}
	if err := json.Unmarshal(standard, v); err != nil {
		return Faults{d.fault(errorOffset(err), "%v", err)}
	}
	return nil
}

// errorOffset returns the offset of a type error, or 0 for any other error.
func errorOffset(err error) int {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return int(typeError.Offset)
	}
	return 0
}

// Decode parses the text of a file and decodes it into v. The name is used in messages.
// The error is of type Faults.
func Decode(name string, text []byte, v any) error {
	d, err := Parse(name, text)
	if err != nil {
		return err
	}
	return d.Decode(v)
}

// At returns a fault with the given message at the value with the given path, such as
// Add.Endpoints[3].Host. If there is no such value, the position is that of its
// innermost existing parent.
func (d *Document) At(path, message string) Fault {
	v := &d.root
	for _, step := range splitPath(path) {
		next := child(v, step)
		if next == nil {
			break
		}
		v = next
	}
	return d.fault(v.StartOffset, "%s", message)
}

// splitPath splits a path into its field names and indexes.
func splitPath(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

// child returns the member or element of v with the given name or index, or nil.
func child(v *hujson.Value, step string) *hujson.Value {
	switch parent := v.Value.(type) {
	case *hujson.Object:
		for i := range parent.Members {
			if memberName(&parent.Members[i]) == step {
				return &parent.Members[i].Value
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(step)
		if err == nil && i >= 0 && i < len(parent.Elements) {
			return &parent.Elements[i]
		}
	}
	return nil
}

// memberName returns the name of an object member.
func memberName(m *hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// fault returns a fault at a byte offset.
func (d *Document) fault(offset int, format string, args ...any) Fault {
	return Fault{Position: d.position(offset), Message: fmt.Sprintf(format, args...)}
}

// position converts a byte offset to a position.
func (d *Document) position(offset int) Position {
	before := d.text[:min(offset, len(d.text))]
	return Position{
		File:   d.name,
		Line:   bytes.Count(before, []byte("\n")) + 1,
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
	}
}
