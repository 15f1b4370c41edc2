package lavhost

import (
	"fmt"
	"slices"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cespare/xxhash/v2"
)

// settingsField is one field of the settings.
type settingsField struct {
	name string
	// value returns the field in a form that can be compared.
	value func(platform.Settings) any
	// adopt copies the field from changed settings. It is nil if a change takes effect
	// only at the next start.
	adopt func(to *platform.Settings, from platform.Settings)
}

// settingsFields are all fields of the settings.
var settingsFields = []settingsField{
	{"Host", func(s platform.Settings) any { return s.Host }, nil},
	{"FailureDomain", func(s platform.Settings) any { return s.FailureDomain }, nil},
	{"Region", func(s platform.Settings) any { return s.Region }, nil},
	{"Address", func(s platform.Settings) any { return s.Address }, nil},
	{"Callers", func(s platform.Settings) any { return s.Callers }, nil},
	{"Readiness", func(s platform.Settings) any { return s.Readiness }, nil},
	{"Peers", func(s platform.Settings) any { return s.Peers }, nil},
	{"Directory", func(s platform.Settings) any { return s.Directory }, nil},
	{"Datagrams", func(s platform.Settings) any { return s.Datagrams }, nil},
	{"Seeds", func(s platform.Settings) any { return s.Seeds }, func(to *platform.Settings, from platform.Settings) { to.Seeds = from.Seeds }},
	{"MemoryBytes", func(s platform.Settings) any { return s.MemoryBytes }, nil},
	{"Store", func(s platform.Settings) any { return s.Store }, nil},
	{"Bounds", func(s platform.Settings) any { return s.Bounds }, func(to *platform.Settings, from platform.Settings) { to.Bounds = from.Bounds }},
	{"Policies", func(s platform.Settings) any { return s.Policies }, nil},
}

// settingsDigest returns a hash of the settings. It is equal on hosts whose settings differ
// only in what belongs to the host.
func settingsDigest(s platform.Settings) string {
	hash := xxhash.New()
	for _, f := range settingsFields {
		if !slices.Contains(hostFields, f.name) {
			_, _ = fmt.Fprintln(hash, f.name, f.value(s))
		}
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}

// hostFields are the fields that differ from host to host.
var hostFields = []string{"Host", "FailureDomain", "Region", "Address", "Callers", "Readiness", "Peers", "Directory", "Datagrams", "MemoryBytes"}

// settingsChange is the difference between the settings in force and those in the file.
type settingsChange struct {
	// next are the settings to put in force: those in force, with the changed fields that
	// take effect while the host runs.
	next platform.Settings
	// applied are the names of these fields, and pending the names of the changed fields
	// that take effect only at the next start.
	applied, pending []string
}

// compareSettings compares the settings in force with those in the file.
func compareSettings(inForce, file platform.Settings) settingsChange {
	c := settingsChange{next: inForce}
	for _, f := range settingsFields {
		switch {
		case fmt.Sprint(f.value(inForce)) == fmt.Sprint(f.value(file)):
		case f.adopt == nil:
			c.pending = append(c.pending, f.name)
		default:
			f.adopt(&c.next, file)
			c.applied = append(c.applied, f.name)
		}
	}
	return c
}

// applySettings puts settings in force. It must not change fields that take effect only at
// the start.
func (h *Host) applySettings(s platform.Settings) {
	h.fleet.SetBounds(fleetBounds(s.Bounds))
	h.drain.setGrace(s.Bounds.Grace)
	h.peers.setSeeds(s.Seeds)
	h.directory.setTTL(boundedDirectoryTTL(s.Bounds.MaxDirectoryTTL))
	h.ingress.relay.LimitReservationLease(s.Bounds.MaxReservationLease, s.Bounds.MaxLeftoverReservation)
}

func fleetBounds(b platform.Bounds) lavfleet.Bounds {
	return lavfleet.Bounds{
		Retry: lavfleet.BudgetBounds{
			Ratio:  b.RetryRatio,
			Window: b.RetryWindow,
			Burst:  b.RetryBurst,
		},
		ColdFactor: b.ColdFactor,
		ColdSlack:  b.ColdSlack,
	}
}
