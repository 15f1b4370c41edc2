package lavjson_test

import (
	"net/netip"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// form has a field of each kind of type that a document can contain.
type form struct {
	Name  string
	Count int
	Ratio float64
	On    bool
	Size  uint8
	Addr  netip.AddrPort
	Wait  lavrelease.Duration
	Kind  lavrequest.Kind
	List  []item
	Map   map[string]int
	Inner struct{ Deep string }
}

type item struct{ Name string }

func TestDecode(t *testing.T) {
	var f form
	err := lavjson.Decode("f.jsonc", []byte(`{
		// A comment, and trailing commas.
		"Name": "a", "Count": -3, "Ratio": 1e3, "On": true, "Size": 255,
		"Addr": "10.0.0.1:80", "Wait": "1.5s", "Kind": "Audit",
		"List": [{"Name": "b"},], "Map": {"x": 1}, "Inner": {"Deep": "c"},
	}`), &f)
	lavassert.NoError(t, err)
	lavassert.Equal(t, "address", f.Addr, netip.MustParseAddrPort("10.0.0.1:80"))
	lavassert.Equal(t, "kind", f.Kind, lavrequest.KindAudit)
	lavassert.Equal(t, "list", f.List, []item{{Name: "b"}})
}

func TestDecodeRefuses(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"an empty file", ``, `f:1:1: the file ends too early, want a complete JSON value`},
		{"a truncated file", "{\n\"Name\": ", `f:2:9: the file ends too early, want a complete JSON value`},
		{"a stray bracket", `{"Name": }`, `f:1:10: invalid character '}' at start of value`},
		{"a second value", `{} {}`, `f:1:4: invalid character '{' after top-level value`},
		{"an unknown name", "{\n  \"Colour\": 1}", `f:2:3: unknown name "Colour", want one of Addr, Count, Inner, Kind, List, Map, Name, On, Ratio, Size, Wait`},
		{"a name in the wrong case", `{"name": "a"}`, `f:1:2: unknown name "name", want "Name"`},
		{"a name with an omitted letter", `{"Coun": 1}`, `f:1:2: unknown name "Coun", want "Count"`},
		{"a duplicate name", `{"On": true, "On": false}`, `f:1:14: On is specified twice`},
		{"a number instead of a string", `{"Name": 1}`, `f:1:10: Name is the number 1, want a string`},
		{"a fraction instead of an integer", `{"Count": 1.5}`, `f:1:11: Count is the number 1.5, want an integer`},
		{"a negative size", `{"Size": -1}`, `f:1:10: Size is the number -1, want a non-negative integer`},
		{"a size out of range", `{"Size": 256}`, `f:1:10: Size is the number 256, want a non-negative integer`},
		{"a number that overflows to infinity", `{"Ratio": 1e999}`, `f:1:11: Ratio is the number 1e999, want a number`},
		{"null", `{"On": null}`, `f:1:8: On is null, want true or false`},
		{"an address without a port", `{"Addr": "10.0.0.1"}`, `f:1:10: Addr is "10.0.0.1", want an address with a port, such as "10.0.0.1:8080"`},
		{"a duration without a unit", `{"Wait": "5"}`, `f:1:10: Wait is "5", want a duration, such as "1.5s" or "10m"`},
		{"a number instead of a duration", `{"Wait": 5}`, `f:1:10: Wait is the number 5, want a duration, such as "1.5s" or "10m"`},
		{"an unknown kind", `{"Kind": "Rush"}`, `f:1:10: Kind is "Rush", want one of Interactive, Review, Audit, Order, Lookup`},
		{"an object instead of a list", `{"List": {}}`, `f:1:10: List is an object, want a list`},
		{"a fault in a list", `{"List": [{}, {"Name": []}]}`, `f:1:24: Name is a list, want a string`},
		{"a list instead of an object as the whole file", `[]`, `f:1:1: the file is a list, want an object`},
		{"too deep nesting", strings.Repeat("[", 1<<20), `f:1:33: nested more than 32 levels deep`},
		{"too many bytes", strings.Repeat(" ", lavjson.MaxBytes+1), `f:1:1: the file has 4194305 bytes, want at most 4194304`},
		{"two faults", "{\"On\": 1,\n\"Name\": 2}", "f:1:8: On is the number 1, want true or false\nf:2:9: Name is the number 2, want a string"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f form
			err := lavjson.Decode("f", []byte(c.text), &f)
			if err == nil {
				t.Fatal("not refused")
			}
			lavassert.Equal(t, "error", err.Error(), c.want)
		})
	}
}

func TestDocumentAt(t *testing.T) {
	d, err := lavjson.Parse("n", []byte("{\"Add\": {\"Endpoints\": [\n {\"Name\": \"a\"},\n {\"Host\": \"b\"}]}}"))
	lavassert.NoError(t, err)
	for path, want := range map[string]string{
		"Add.Endpoints[1].Host": "n:3:11: x",
		"Add.Endpoints[1].Addr": "n:3:2: x",
		"Add.Endpoints[7]":      "n:1:23: x",
		"Withdraw":              "n:1:1: x",
	} {
		lavassert.Equal(t, path, d.At(path, "x").String(), want)
	}
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `{"Name": "a", "List": [{"Name": "b"}]}`, `/* c */ {"Wait": "1s",}`, `{"Addr": "[::1]:1"}`,
		`{"Kind": "Order", "Kind": "Lookup"}`, "{\"Map\": {\"\\u0000\": 1}}", `[[[[[[[`, `{"Name": "\ud800"}`, `"`, `//`, `/*`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var v form
		err := lavjson.Decode("f", text, &v)
		if err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("error without a position: %v", err)
		}
	})
}
