package lavhost

import (
	"context"
	"os"
	"time"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/phuslu/log"
)

// reloadTime is the time between looks whether the settings have changed without
// a signal.
const reloadTime = 2 * time.Second

// reloader takes changed settings over. Addresses stay as they were at the start.
type reloader struct {
	load   func() (platform.Settings, error)
	hangup <-chan os.Signal
	apply  func(platform.Settings)
	logger *log.Logger
}

// Serve implements suture.Service.
func (r *reloader) Serve(ctx context.Context) error {
	tick := time.NewTicker(reloadTime)
	defer tick.Stop()
	last := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.hangup:
			signalled = true
		case <-tick.C:
		}
		s, err := r.load()
		if err != nil {
			// The settings before hold; a file may be seen half written.
			if err.Error() != last {
				r.logger.Error().Err(err).Msg("settings can't be read")
			}
			last = err.Error()
			continue
		}
		last = ""
		r.apply(s)
		if signalled {
			r.logger.Info().Msg("reload")
		}
	}
}

// reload takes over what may change while the host runs.
func (h *Host) reload(s platform.Settings) {
	h.fleet.SetBounds(fleetBounds(s.Bounds))
	h.drain.setGrace(s.Bounds.Grace)
	h.peers.setSeeds(s.Seeds)
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
