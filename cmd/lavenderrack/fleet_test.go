package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
)

// metricsHost serves the metrics of a host, and returns its address.
func metricsHost(t *testing.T, settings string, version int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "# TYPE lavenderrack_settings_in_force gauge\n"+
			"lavenderrack_settings_in_force{digest=\"old\"} 0\nlavenderrack_settings_in_force{digest=%q} 1\n"+
			"# TYPE lavenderrack_desired_state_version gauge\nlavenderrack_desired_state_version %d\n"+
			"# TYPE lavenderrack_state_confirmed gauge\nlavenderrack_state_confirmed 1\n", settings, version)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// silentHost accepts connections and never answers.
func silentHost(t *testing.T) string {
	t.Helper()
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(func() {
		close(release)
		server.Close()
	})
	return server.Listener.Addr().String()
}

func runFleet(hosts ...string) (code int, stdout string) {
	var out, errOut bytes.Buffer
	code = run(append([]string{"lavenderrack", "fleet"}, hosts...), &out, &errOut)
	return code, out.String() + errOut.String()
}

func TestFleet(t *testing.T) {
	t.Run("HostsAgree", func(t *testing.T) {
		code, out := runFleet(metricsHost(t, "aa", 7), metricsHost(t, "aa", 7))
		lavassert.Equal(t, "exit code", code, 0)
		lavassert.True(t, "one group", strings.Contains(out, "2      aa        7              serving"))
	})
	t.Run("OldSettingsAreNamed", func(t *testing.T) {
		old := metricsHost(t, "bb", 7)
		code, out := runFleet(old, metricsHost(t, "aa", 7), metricsHost(t, "aa", 7))
		lavassert.Equal(t, "exit code", code, 1)
		lavassert.True(t, "the host with the old settings is named", strings.Contains(out, "differs, settings bb, desired state 7: "+old))
	})
	t.Run("SilentHostsDoNotDelayTheOthers", func(t *testing.T) {
		hosts := []string{silentHost(t), silentHost(t)}
		for range 18 {
			hosts = append(hosts, metricsHost(t, "aa", 7))
		}
		started := time.Now()
		code, out := runFleet(hosts...)
		lavassert.Equal(t, "exit code", code, 1)
		lavassert.AtMost(t, "time", time.Since(started), 2*time.Second)
		lavassert.Equal(t, "hosts without an answer", strings.Count(out, "no answer"), 2)
	})
	t.Run("WithoutHosts", func(t *testing.T) {
		code, _ := runFleet()
		lavassert.Equal(t, "exit code", code, 2)
	})
}
