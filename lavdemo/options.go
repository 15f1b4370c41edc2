package lavdemo

import (
	"io"
	"time"
)

// Default and limits of the duration of the load phase.
const (
	DefaultDuration = 30 * time.Second
	MinDuration     = 15 * time.Second
	// MaxDuration keeps the run time of the whole demo below one minute.
	MaxDuration = 34 * time.Second
)

// Options configures a run.
type Options struct {
	// Seed seeds the random load and the choice of the parts that fail.
	Seed uint64
	// Duration is the length of the load phase.
	Duration time.Duration
	// Progress receives the progress lines. Use io.Discard to suppress them.
	Progress io.Writer
}

// Sizes and speeds of the fleet. The service times of the engines are scaled
// down so that a prompt of a million tokens takes seconds.
const (
	engineCount      = 16
	orderServerCount = 3
	entryHostCount   = 6
	customerCount    = 10

	engineMemoryTokens           = 400_000
	enginePrefillTokensPerSecond = 400_000
	engineDecodeTokensPerSecond  = 1_000
	engineBatchInterval          = 10 * time.Millisecond
	engineWarmupLimitTokens      = 20_000
	engineWarmupTime             = 4 * time.Second
	engineRestartTime            = 1500 * time.Millisecond
	engineReportLag              = 300 * time.Millisecond
	engineCacheTokens            = 200_000
	engineEventLossRate          = 0.05
	engineHeartbeatInterval      = 500 * time.Millisecond
	weightStoreBytesPerSecond    = 64 << 20
	hostListLag                  = 500 * time.Millisecond
	drainTimeout                 = 25 * time.Second
	modelName                    = "caption"
	serviceName                  = "orders"
)

// failureDomains lists the names of the failure domains.
var failureDomains = []string{"north", "east", "south"}
