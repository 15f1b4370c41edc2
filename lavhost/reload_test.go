package lavhost

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// settingsFile is a settings file whose content changes.
type settingsFile struct {
	content platform.Settings
	err     error
	applied []platform.Settings
	scope   tally.TestScope
}

func (f *settingsFile) load() (platform.Settings, error) { return f.content, f.err }

func (f *settingsFile) gauge(name string) float64 {
	for _, g := range f.scope.Snapshot().Gauges() {
		if g.Name() == name {
			return g.Value()
		}
	}
	return -1
}

func startReloader() (*settingsFile, *reloader) {
	s := platform.Settings{Host: "a", Bounds: platform.Bounds{Grace: 8 * time.Second, RetryBurst: 100}}
	f := &settingsFile{content: s, scope: tally.NewTestScope("", nil)}
	return f, &reloader{
		loadSettings: f.load, logger: discardLogger, scope: f.scope, inForce: s,
		apply: func(s platform.Settings) { f.applied = append(f.applied, s) },
	}
}

func TestReload(t *testing.T) {
	t.Run("UnchangedFileAppliesNothing", func(t *testing.T) {
		f, r := startReloader()
		r.reload(causeFile)
		r.reload(causeSignal)
		lavassert.Equal(t, "times applied", len(f.applied), 0)
	})
	t.Run("BoundsApplyWhileRunning", func(t *testing.T) {
		f, r := startReloader()
		f.content.Bounds.RetryBurst = 5
		r.reload(causeFile)
		r.reload(causeFile)
		lavassert.Equal(t, "times applied", len(f.applied), 1)
		lavassert.Equal(t, "burst in force", r.inForce.Bounds.RetryBurst, 5)
		lavassert.Equal(t, "fields that wait for a start", f.gauge("settings_restart_needed"), 0)
	})
	t.Run("StoreAddressWaitsForStart", func(t *testing.T) {
		f, r := startReloader()
		f.content.Store = netip.MustParseAddrPort("10.0.0.9:80")
		f.content.Bounds.RetryBurst = 5
		r.reload(causeSignal)
		lavassert.Equal(t, "fields that wait for a start", f.gauge("settings_restart_needed"), 1)
		lavassert.Equal(t, "store in force", r.inForce.Store, netip.AddrPort{})
		lavassert.Equal(t, "burst in force", r.inForce.Bounds.RetryBurst, 5)
		f.content.Store = netip.AddrPort{}
		r.reload(causeFile)
		lavassert.Equal(t, "fields that wait after the change back", f.gauge("settings_restart_needed"), 0)
	})
	t.Run("BrokenFileLeavesSettingsInForce", func(t *testing.T) {
		f, r := startReloader()
		f.content.Bounds.RetryBurst = 5
		f.err = errors.New("broken")
		r.reload(causeSignal)
		lavassert.Equal(t, "times applied", len(f.applied), 0)
		lavassert.Equal(t, "unreadable", f.gauge("settings_unreadable"), 1)
		f.err = nil
		r.reload(causeFile)
		lavassert.Equal(t, "times applied after it was mended", len(f.applied), 1)
		lavassert.Equal(t, "unreadable after it was mended", f.gauge("settings_unreadable"), 0)
	})
}

// TestSettingsDigest checks that hosts with the same operators' settings have the same digest.
func TestSettingsDigest(t *testing.T) {
	a := platform.Settings{Host: "a", MemoryBytes: 1, Bounds: platform.Bounds{RetryBurst: 100}}
	b := a
	b.Host, b.MemoryBytes = "b", 2
	lavassert.Equal(t, "digest on another host", settingsDigest(b), settingsDigest(a))
	b.Bounds.RetryBurst = 5
	lavassert.True(t, "digest differs after a change", settingsDigest(b) != settingsDigest(a))
}

// TestSettingsFieldsAreComplete checks that a change of any field is noticed.
func TestSettingsFieldsAreComplete(t *testing.T) {
	var names []string
	for _, f := range settingsFields {
		names = append(names, f.name)
	}
	var want []string
	for _, f := range reflect.VisibleFields(reflect.TypeFor[platform.Settings]()) {
		want = append(want, f.Name)
	}
	lavassert.Equal(t, "fields", names, want)
}
