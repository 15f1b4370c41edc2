package main

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which a host updates its metrics.
const metricsInterval = time.Second

// metrics are the metrics of a host.
type metrics struct {
	scope tally.Scope
	// closer ends the updates, and handler serves the metrics.
	closer  io.Closer
	handler http.Handler
}

func newMetrics() metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lavenderrack",
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
		CachedReporter:         reporter,
	}, metricsInterval)
	return metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}
