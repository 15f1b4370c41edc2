package lavjson

import (
	"encoding"
	"encoding/json"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFaults limits the number of faults reported for a file.
const maxFaults = 20

// checker compares a document with a Go type and collects the faults.
type checker struct {
	document *Document
	faults   Faults
}

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	addrPortType        = reflect.TypeFor[netip.AddrPort]()
)

// elemType returns the type that the pointer v points to.
func elemType(v any) reflect.Type { return reflect.TypeOf(v).Elem() }

// addFault adds a fault at the position of v, unless there are maxFaults already.
func (c *checker) addFault(v *hujson.Value, format string, args ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, c.document.fault(v.StartOffset, format, args...))
	}
}

// check compares the value v with the type t. The label names the value in messages; it
// is empty for the whole document. Types that implement json.Unmarshaler are not
// checked.
func (c *checker) check(v *hujson.Value, t reflect.Type, label string) {
	switch {
	case reflect.PointerTo(t).Implements(jsonUnmarshalerType):
		return
	case reflect.PointerTo(t).Implements(textUnmarshalerType):
		c.checkText(v, t, label)
	case t.Kind() == reflect.Pointer:
		c.check(v, t.Elem(), label)
	case t.Kind() == reflect.Struct:
		c.checkStruct(v, t, label)
	case t.Kind() == reflect.Slice:
		c.checkArray(v, t, label)
	case t.Kind() == reflect.Map:
		c.checkMap(v, t, label)
	default:
		c.checkScalar(v, t, label)
	}
}

// addTypeFault reports that v has the wrong type. The argument want describes the
// expected type.
func (c *checker) addTypeFault(v *hujson.Value, label, want string) {
	if label == "" {
		label = "the file"
	}
	c.addFault(v, "%s is %s, want %s", label, describeValue(v), want)
}

// describeValue describes a value for messages, by its content or its type.
func describeValue(v *hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	switch {
	case !ok && v.Value.Kind() == '{':
		return "an object"
	case !ok:
		return "a list"
	case literal.Kind() == '"':
		return strconv.Quote(truncate(literal.String()))
	case literal.Kind() == '0':
		return "the number " + truncate(literal.String())
	default:
		return literal.String()
	}
}

// maxQuotedBytes limits how much of a value messages quote.
const maxQuotedBytes = 40

// truncate shortens a text to maxQuotedBytes without splitting a character.
func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}

// checkText checks a value whose type implements encoding.TextUnmarshaler, by decoding it.
func (c *checker) checkText(v *hujson.Value, t reflect.Type, label string) {
	want := expectedText(t)
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		c.addTypeFault(v, label, want)
		return
	}
	target, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if !ok {
		return
	}
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		c.addFault(v, "%s is %s, want %s", label, describeValue(v), want)
	}
}

// expectedText describes the texts that a type accepts. It assumes that an int64 type is
// a duration and an int type an enum.
func expectedText(t reflect.Type) string {
	switch {
	case t == addrPortType:
		return `an address with a port, such as "10.0.0.1:8080"`
	case t.Kind() == reflect.Int64:
		return `a duration, such as "1.5s" or "10m"`
	case t.Kind() == reflect.Int:
		return "one of " + strings.Join(enumNames(t), ", ")
	default:
		return "a string"
	}
}

// maxEnumNames limits the values of an enum that enumNames tries.
const maxEnumNames = 64

// enumNames returns the names that an enum type accepts. It calls the String method of
// the values from 0 on, up to the first that has no name: stringer formats such a value
// with parentheses, such as "Kind(7)".
func enumNames(t reflect.Type) []string {
	var names []string
	for i := range int64(maxEnumNames) {
		v := reflect.New(t).Elem()
		v.SetInt(i)
		text, ok := v.Interface().(interface{ String() string })
		if !ok || strings.Contains(text.String(), "(") {
			break
		}
		target, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
		if ok && target.UnmarshalText([]byte(text.String())) == nil {
			names = append(names, text.String())
		}
	}
	return names
}

// checkStruct checks an object against a struct type, and reports unknown and duplicate
// names.
func (c *checker) checkStruct(v *hujson.Value, t reflect.Type, label string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.addTypeFault(v, label, "an object")
		return
	}
	fields := fieldTypes(t)
	seen := make(map[string]bool)
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		field, known := fields[name]
		switch {
		case !known:
			c.addFault(&m.Name, "unknown name %q%s", truncate(name), suggestion(name, fields))
		case seen[name]:
			c.addFault(&m.Name, "%s is specified twice", name)
		default:
			c.check(&m.Value, field, name)
		}
		seen[name] = true
	}
}

// fieldTypes returns the types of the fields of a struct by their JSON names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(t) {
		if f.Anonymous || !f.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		if name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}

// suggestion returns the end of a message about an unknown name: the similar field name
// if there is one, and otherwise all field names.
func suggestion(name string, fields map[string]reflect.Type) string {
	var all []string
	for known := range fields {
		if similar(name, known) {
			return ", want " + strconv.Quote(known)
		}
		all = append(all, known)
	}
	slices.Sort(all)
	return ", want one of " + strings.Join(all, ", ")
}

// similar reports whether two names differ only in case, or by one inserted, omitted or
// replaced byte.
func similar(a, b string) bool {
	if strings.EqualFold(a, b) {
		return true
	}
	if len(a) > len(b) {
		a, b = b, a
	}
	if len(b)-len(a) > 1 {
		return false
	}
	i := 0
	for i < len(a) && a[i] == b[i] {
		i++
	}
	if len(a) == len(b) {
		return i < len(a) && a[i+1:] == b[i+1:]
	}
	return a[i:] == b[i+1:]
}

// checkArray checks an array and its elements against a slice type.
func (c *checker) checkArray(v *hujson.Value, t reflect.Type, label string) {
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		c.addTypeFault(v, label, "a list")
		return
	}
	for i := range list.Elements {
		c.check(&list.Elements[i], t.Elem(), label+"["+strconv.Itoa(i)+"]")
	}
}

// checkMap checks an object and its values against a map type.
func (c *checker) checkMap(v *hujson.Value, t reflect.Type, label string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.addTypeFault(v, label, "an object")
		return
	}
	for i := range object.Members {
		c.check(&object.Members[i].Value, t.Elem(), memberName(&object.Members[i]))
	}
}

// checkScalar checks a string, number or Boolean.
func (c *checker) checkScalar(v *hujson.Value, t reflect.Type, label string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		literal = hujson.Literal("null")
	}
	if want, matches := matchLiteral(literal, t); !matches {
		c.addTypeFault(v, label, want)
	}
}

// matchLiteral describes the literals that a type accepts, and reports whether l is one
// and in the range of the type.
func matchLiteral(l hujson.Literal, t reflect.Type) (string, bool) {
	isNumber := l.Kind() == '0'
	switch t.Kind() {
	case reflect.String:
		return "a string", l.Kind() == '"'
	case reflect.Bool:
		return "true or false", l.Kind() == 't' || l.Kind() == 'f'
	case reflect.Float32, reflect.Float64:
		f, err := strconv.ParseFloat(string(l), 64)
		return "a number", isNumber && err == nil && !math.IsInf(f, 0)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		_, err := strconv.ParseUint(string(l), 10, t.Bits())
		return "a non-negative integer", isNumber && err == nil
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		_, err := strconv.ParseInt(string(l), 10, t.Bits())
		return "an integer", isNumber && err == nil
	default:
		return "a value that the type " + t.String() + " accepts", false
	}
}
