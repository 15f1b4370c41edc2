package lavhost

import (
	"context"
	"os"
	"time"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/phuslu/log"
)

// reloadInterval is the time between reads of the settings without a signal.
const reloadInterval = 2 * time.Second

// reloader applies changed settings. The listen addresses don't change after
// the start.
type reloader struct {
	loadSettings func() (platform.Settings, error)
	signal       <-chan os.Signal
	apply        func(platform.Settings)
	logger       *log.Logger
}

// Serve implements suture.Service.
func (r *reloader) Serve(ctx context.Context) error {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	lastError := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.signal:
			signalled = true
		case <-tick.C:
		}
		settings, err := r.loadSettings()
		if err != nil {
			// The previous settings stay in force: the file may be incomplete
			// because it is being written. A repeated error is logged once.
			if err.Error() != lastError {
				r.logger.Error().Err(err).Msg("failed to load settings")
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		r.apply(settings)
		if signalled {
			r.logger.Info().Msg("reload")
		}
	}
}

// reload applies the settings that may change while the host runs.
func (h *Host) reload(settings platform.Settings) {
	h.fleet.SetBounds(fleetBounds(settings.Bounds))
	h.drain.setGrace(settings.Bounds.Grace)
	h.peers.setSeeds(settings.Seeds)
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
