package lavhost

import (
	"context"
	"os"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/platform"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// reloadInterval is the time between reads of the settings without a signal.
const reloadInterval = 2 * time.Second

// Causes of a reload, as the log states them.
const (
	causeSignal = "signal"
	causeFile   = "file"
)

// reloader applies changed settings and reports which settings are in force.
type reloader struct {
	loadSettings func() (platform.Settings, error)
	signal       <-chan os.Signal
	apply        func(platform.Settings)
	logger       *log.Logger
	scope        tally.Scope

	// inForce are the settings in force since the given time, and pending the names of
	// the fields that differ in the file and take effect only at the next start.
	inForce platform.Settings
	since   time.Time
	pending []string
	// lastError is the error of the last read, "" if it succeeded.
	lastError string
}

// Serve implements suture.Service.
func (r *reloader) Serve(ctx context.Context) error {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	r.since = time.Now()
	r.reportInForce(1)
	for {
		cause := causeFile
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.signal:
			cause = causeSignal
		case <-tick.C:
		}
		r.reload(cause)
	}
}

// reload reads the settings and applies what has changed.
func (r *reloader) reload(cause string) {
	r.scope.Gauge("settings_age_seconds").Update(time.Since(r.since).Seconds())
	file, err := r.loadSettings()
	if err != nil {
		r.recordError(err)
		return
	}
	r.recordError(nil)
	change := compareSettings(r.inForce, file)
	r.recordPending(change.pending)
	if cause == causeSignal && len(change.applied) == 0 {
		r.logger.Info().Str("Cause", cause).Str("Settings", settingsDigest(r.inForce)).Msg("settings unchanged")
	}
	if len(change.applied) == 0 {
		return
	}
	before := settingsDigest(r.inForce)
	r.reportInForce(0)
	r.apply(change.next)
	r.inForce, r.since = change.next, time.Now()
	r.reportInForce(1)
	r.logger.Info().Str("Cause", cause).Strs("Changed", change.applied).Str("SettingsBefore", before).
		Str("Settings", settingsDigest(r.inForce)).Msg("settings applied")
}

// recordError records the result of a read. After an error the previous settings stay in
// force: the file may be incomplete because it is being written. A repeated error is logged
// once.
func (r *reloader) recordError(err error) {
	text, failing := "", 0.0
	if err != nil {
		text, failing = err.Error(), 1
	}
	r.scope.Gauge("settings_unreadable").Update(failing)
	if err != nil && text != r.lastError {
		r.logger.Error().Err(err).Msg("failed to load settings")
	}
	r.lastError = text
}

// recordPending records which changed fields wait for the next start.
func (r *reloader) recordPending(pending []string) {
	r.scope.Gauge("settings_restart_needed").Update(float64(len(pending)))
	if len(pending) > 0 && !slices.Equal(pending, r.pending) {
		r.logger.Warn().Strs("Fields", pending).Str("Settings", settingsDigest(r.inForce)).
			Msg("changed settings take effect only at the next start")
	}
	r.pending = pending
}

// reportInForce sets the gauge of the settings in force, whose label is their digest.
func (r *reloader) reportInForce(value float64) {
	r.scope.Tagged(map[string]string{"digest": settingsDigest(r.inForce)}).Gauge("settings_in_force").Update(value)
}
