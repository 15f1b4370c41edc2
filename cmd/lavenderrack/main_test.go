package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavsettings"
)

// runCommand runs the program and returns its exit code and its combined output.
func runCommand(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(append([]string{"lavenderrack"}, args...), &out, &out)
	return code, out.String()
}

// expectOutput runs the program and checks its exit code and the first line of its
// output.
func expectOutput(t *testing.T, code int, line string, args ...string) {
	t.Helper()
	got, printed := runCommand(args...)
	first, _, _ := strings.Cut(printed, "\n")
	lavassert.Equal(t, "exit code of "+strings.Join(args, " "), got, code)
	lavassert.Equal(t, "first line of the output", first, line)
}

func examplePath(name string) string { return filepath.Join("..", "..", "docs", "examples", name) }

// writeFile writes text to a temporary file and returns the file's name.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.jsonc")
	lavassert.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// startServer serves handler until the test ends and returns the URL.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func TestHelp(t *testing.T) {
	code, text := runCommand("help")
	lavassert.Equal(t, "exit code of help", code, 0)
	for _, name := range []string{"serve", "check", "publish", "status", "burn", "version"} {
		lavassert.True(t, "help lists "+name, strings.Contains(text, "lavenderrack "+name))
		code, usage := runCommand("help", name)
		lavassert.Equal(t, "exit code of help "+name, code, 0)
		lavassert.True(t, "usage starts with "+name, strings.HasPrefix(usage, name))
	}
	code, _ = runCommand("version", "-format", "json")
	lavassert.Equal(t, "exit code of version", code, 0)
}

func TestWrongFlags(t *testing.T) {
	expectOutput(t, 2, "check: want one of -settings FILE, -note FILE, -platform FILE or -deploy FILE", "check")
	expectOutput(t, 2, "check: -format xml: want text or json", "check", "-format", "xml")
	expectOutput(t, 2, `serve: unexpected argument "now": want flags only`, "serve", "now")
	expectOutput(t, 2, "publish: want -note FILE and -store URL", "publish", "-note", "x")
	expectOutput(t, 2, `status: -admin "here": want addresses with ports, such as "10.0.0.1:8082,10.0.0.2:8082"`, "status", "-admin", "here")
	expectOutput(t, 2, "burn: want -admin ADDR", "burn")
	expectOutput(t, 1, "open nowhere: no such file or directory", "serve", "-settings", "nowhere")
}

func TestCheck(t *testing.T) {
	t.Run("the example files are valid", func(t *testing.T) {
		expectOutput(t, 0, "ok", "check", "-settings", examplePath("settings.jsonc"))
		expectOutput(t, 0, "ok", "check", "-note", examplePath("first-release.jsonc"))
		expectOutput(t, 0, "ok", "check", "-deploy", "../../deploy/system.toml")
	})
	t.Run("a fault is reported with its line and column", func(t *testing.T) {
		name := writeFile(t, "{\n  \"host\": \"a\"}")
		expectOutput(t, 2, name+`:2:3: unknown name "host", want "Host"`, "check", "-settings", name)
		expectOutput(t, 2, name+`:2:3: unknown name "host", want "Host"`, "serve", "-settings", name)
	})
	t.Run("a reference to an unknown name is reported with its line and column", func(t *testing.T) {
		name := writeFile(t, "{\"ID\": \"a\", \"Base\": 0, \"Add\": {\n\"Hosts\": [{\"Name\": \"h\",\n \"FailureDomain\": \"gone\"}]}}")
		code, text := runCommand("check", "-note", name)
		lavassert.Equal(t, "exit code", code, 2)
		lavassert.True(t, "line and column in "+text, strings.HasPrefix(text, name+":3:19: ") || strings.HasPrefix(text, name+":2:11: "))
	})
	t.Run("faults are printed as JSON", func(t *testing.T) {
		code, text := runCommand("check", "-format", "json", "-settings", writeFile(t, "{"))
		lavassert.Equal(t, "exit code", code, 2)
		var result checkResult
		lavassert.NoError(t, json.Unmarshal([]byte(text), &result))
		lavassert.Equal(t, "line of the fault", result.Faults[0].Position.Line, 1)
	})
}

func TestPublish(t *testing.T) {
	store := lavfake.NewStore()
	url := startServer(t, store.Handler())
	first := examplePath("first-release.jsonc")
	t.Run("publishing a note twice has the same result as once", func(t *testing.T) {
		for range 2 {
			expectOutput(t, 0, "InForce: note first-release is version 1", "publish", "-note", first, "-store", url)
		}
	})
	t.Run("a conflicting note is answered with the edits published before it", func(t *testing.T) {
		expectOutput(t, 0, "InForce: note take-east-out is version 2", "publish", "-note", examplePath("take-out.jsonc"), "-store", url)
		name := writeFile(t, `{"ID": "mine", "Base": 1, "Withdraw": {"FailureDomains": ["east"]}}`)
		code, text := runCommand("publish", "-note", name, "-store", url)
		lavassert.Equal(t, "exit code", code, 3)
		lavassert.True(t, "conflict in "+text, strings.HasPrefix(text, "Conflict: ") && strings.Contains(text, "\n! Withdraw FailureDomains east"))
	})
	t.Run("an invalid note is refused", func(t *testing.T) {
		name := writeFile(t, `{"ID": "wrong", "Base": 2, "Withdraw": {"Models": ["none"]}}`)
		expectOutput(t, 2, "Refused: note wrong", "publish", "-note", name, "-store", url)
	})
	t.Run("publishing fails without effect while the store is down", func(t *testing.T) {
		store.SetFaults(lavfake.StoreFaults{Down: true})
		defer store.SetFaults(lavfake.StoreFaults{})
		code, text := runCommand("publish", "-note", examplePath("bring-back.jsonc"), "-store", url)
		lavassert.Equal(t, "exit code", code, 1)
		lavassert.True(t, "verdict Failed in "+text, strings.HasPrefix(text, "Failed: "))
	})
}

// startHost runs an entry host in the way that the serve command does, and returns
// its admin address.
func startHost(t *testing.T, store string) netip.AddrPort {
	t.Helper()
	settings := lavsettings.Default()
	settings.Host, settings.FailureDomain = "entry-1", "north"
	settings.LogLevel = "error"
	settings.Stores = []string{store}
	settings.HostList = startServer(t, lavfake.NewHostList())
	for _, addr := range []*netip.AddrPort{&settings.Entry, &settings.Mesh, &settings.Admin} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		lavassert.NoError(t, err)
		*addr = netip.MustParseAddrPort(listener.Addr().String())
		lavassert.NoError(t, listener.Close())
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, settings) }()
	t.Cleanup(func() {
		cancel()
		lavassert.NoError(t, <-ended)
	})
	return settings.Admin
}

func httpGet(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	lavassert.NoError(t, err)
	return response.StatusCode, string(text)
}

func TestHost(t *testing.T) {
	store := startServer(t, lavfake.NewStore().Handler())
	admin := startHost(t, store).String()
	lavassert.Eventually(t, "the host is healthy", func() bool {
		status, _ := httpGet(t, "http://"+admin+"/healthz")
		return status == http.StatusOK
	})
	status, _ := httpGet(t, "http://"+admin+"/readyz")
	lavassert.Equal(t, "readiness status before the first release", status, http.StatusServiceUnavailable)
	expectOutput(t, 0, "InForce: note first-release is version 1", "publish", "-note", examplePath("first-release.jsonc"), "-store", store)
	lavassert.Eventually(t, "the release is in force", func() bool {
		code, _ := runCommand("status", "-store", store, "-admin", admin)
		return code == 0
	})
	expectOutput(t, 0, "store: version 1, note first-release", "status", "-store", store, "-admin", admin)
	status, _ = httpGet(t, "http://"+admin+"/readyz")
	lavassert.Equal(t, "readiness status with a release in force", status, http.StatusOK)
	lavassert.Eventually(t, "metrics contain the release version", func() bool {
		_, text := httpGet(t, "http://"+admin+"/metrics")
		return strings.Contains(text, "lavenderrack_release_version 1")
	})
	code, text := runCommand("burn", "-admin", admin)
	lavassert.Equal(t, "exit code of burn", code, 0)
	lavassert.True(t, "objective in "+text, strings.Contains(text, "till"))
	code, _ = runCommand("status", "-admin", admin+",127.0.0.1:1")
	lavassert.Equal(t, "exit code of status if a host does not answer", code, 1)
}
