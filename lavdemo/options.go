package lavdemo

import (
	"io"
	"time"
)

// Bounds of the load phase.
const (
	DefaultDuration = 30 * time.Second
	MinDuration     = 15 * time.Second
	// MaxDuration keeps the whole demo below a minute.
	MaxDuration = 34 * time.Second
)

// Options are what may be chosen about a run.
type Options struct {
	// Seed decides the load and which parts break.
	Seed uint64
	// Duration is the length of the load phase.
	Duration time.Duration
	// Progress gets a line for each change; io.Discard hides them.
	Progress io.Writer
}

// Sizes and speeds of the fleet. Service time is scaled down so that a prompt
// of a million tokens takes seconds.
const (
	engineCount      = 16
	orderServerCount = 3
	entryCount       = 6
	customerCount    = 10

	engineMemoryTokens = 400_000
	enginePrefillRate  = 400_000
	engineDecodeRate   = 1_000
	engineStep         = 10 * time.Millisecond
	engineColdLimit    = 20_000
	engineColdTime     = 4 * time.Second
	engineDownTime     = 1500 * time.Millisecond
	engineLag          = 300 * time.Millisecond
	engineCacheTokens  = 200_000
	engineEventLoss    = 0.05
	engineHeartbeat    = 500 * time.Millisecond
	weightBytesRate    = 64 << 20
	hostListLag        = 500 * time.Millisecond
	drainTimeout       = 25 * time.Second
	model              = "caption"
	service            = "orders"
)

// failureDomains are the names of the failure domains.
var failureDomains = []string{"north", "east", "south"}
