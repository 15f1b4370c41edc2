package lavsettings_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavsettings"
)

// good is a valid settings file with one setting per line. The tests modify it.
const good = `{
"Host": "entry-1",
"FailureDomain": "north",
"Entry": "10.0.0.1:8080",
"Mesh": "10.0.0.1:8081",
"Admin": "127.0.0.1:8082",
"Stores": ["http://10.0.9.1:8500"],
"HostList": "http://10.0.9.2:8600/hosts"
}`

func TestParse(t *testing.T) {
	t.Run("omitted settings have their defaults", func(t *testing.T) {
		s, err := lavsettings.Parse("s", []byte(good))
		lavassert.NoError(t, err)
		lavassert.Equal(t, "drain timeout", s.DrainTimeout, lavrelease.Duration(10*time.Minute))
		lavassert.Equal(t, "log level", s.LogLevel, "info")
	})
	t.Run("the examples are valid", func(t *testing.T) {
		files, err := filepath.Glob(filepath.Join("..", "docs", "examples", "settings*.jsonc"))
		lavassert.NoError(t, err)
		lavassert.AtLeast(t, "files", len(files), 1)
		for _, file := range files {
			_, err := lavsettings.Load(file)
			lavassert.NoError(t, err)
		}
	})
}

func TestParseRefuses(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, want string }{
		{"no host", `"Host": "entry-1",`, ``, `s:1:1: Host is missing, want the name that releases use`},
		{"a host with spaces", `entry-1`, `entry 1`, `s:2:9: Host is "entry 1", want a name without spaces or slashes`},
		{"port 0", `10.0.0.1:8080`, `10.0.0.1:0`, `s:4:10: Entry has port 0, want the port to listen on`},
		{"a wildcard address for the mesh", `10.0.0.1:8081`, `0.0.0.0:8081`, `s:5:9: Mesh is 0.0.0.0:8081, want the address by which others reach this host`},
		{"an address used twice", `127.0.0.1:8082`, `10.0.0.1:8080`, `s:6:10: Admin is 10.0.0.1:8080 like Entry, want a different address for each`},
		{"no store", `["http://10.0.9.1:8500"]`, `[]`, `s:7:11: Stores is missing, want the base URLs of the key-value service`},
		{"a store without a scheme", `http://10.0.9.1:8500`, `10.0.9.1`, `s:7:12: Stores[0] is "10.0.9.1", want a URL such as "http://10.0.0.5:8500"`},
		{"a store listed twice", `["http://10.0.9.1:8500"]`, `["http://a", "http://a"]`, `s:7:24: Stores[1] is listed twice`},
		{"a drain timeout of 0", `"Host":`, `"DrainTimeout": "0s", "Host":`, `s:2:17: DrainTimeout is 0s, want a duration above 0 and up to 1h0m0s`},
		{"an unknown level", `"Host":`, `"LogLevel": "loud", "Host":`, `s:2:13: LogLevel is "loud", want one of debug, info, warn, error`},
		{"an incomplete set of key files", `"Host":`, `"Keys": {"Cert": "a"}, "Host":`, `s:2:9: Keys has only some of the files, want Cert, Key and CA or none of them`},
		{"a short token key", `"Host":`, `"TokenKey": "abc", "Host":`, `s:2:13: TokenKey has 3 bytes, want at least 16`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := lavsettings.Parse("s", []byte(strings.Replace(good, c.old, c.replacement, 1)))
			if err == nil {
				t.Fatal("not refused")
			}
			lavassert.Equal(t, "error", err.Error(), c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	for _, seed := range []string{``, `{}`, `null`, `{"Host": "a"`, `{"Stores": ["http://%zz"]}`, `{"Entry": "[fe80::1%eth0]:1"}`, `{"DrainTimeout": "-1h"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := lavsettings.Parse("s", text)
		if err == nil && (s.Host == "" || len(s.Stores) == 0 || !s.Entry.IsValid()) {
			t.Errorf("invalid settings accepted: %+v", s)
		}
	})
}
