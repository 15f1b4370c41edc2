package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"time"

	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavsettings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Bounds of the connections that a host keeps, and the pace of its metrics.
const (
	idlePerPeer   = 64
	idleTimeout   = 90 * time.Second
	keepAlive     = 15 * time.Second
	reportMetrics = time.Second
)

// serveCommand runs an entry host.
type serveCommand struct {
	streams
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run an entry host" }
func (*serveCommand) Usage() string {
	return `serve -settings FILE
  Run an entry host until SIGTERM, then drain it: callers are sent elsewhere and
  the requests that run are finished.

`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `FILE`, JSON with comments")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.usage("serve: %v", err)
	}
	if c.settings == "" {
		return c.usage("serve: want -settings FILE")
	}
	settings, err := lavsettings.Load(c.settings)
	if err != nil {
		var faults lavjson.Faults
		if errors.As(err, &faults) {
			return c.fail(err, subcommands.ExitUsageError)
		}
		return c.fail(err, subcommands.ExitFailure)
	}
	if err := serve(ctx, settings); err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	return subcommands.ExitSuccess
}

// serve runs a node until the context ends.
func serve(ctx context.Context, settings lavsettings.Settings) error {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, metrics := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lavenderrack",
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
		CachedReporter:         reporter,
	}, reportMetrics)
	node := lavnode.New(settings, lavnode.Dependencies{
		Listen:  net.Listen,
		Client:  edgeClient(settings),
		Logger:  &log.Logger{Level: log.ParseLevel(settings.LogLevel), Writer: &log.IOWriter{Writer: os.Stderr}},
		Scope:   scope,
		Metrics: reporter.HTTPHandler(),
	})
	return errors.CombineErrors(node.Run(ctx), metrics.Close())
}

// edgeClient reaches the platform, the peers and the endpoints. It sets no
// timeout on calls, since streams last as long as their answers.
func edgeClient(settings lavsettings.Settings) *http.Client {
	dialer := &net.Dialer{Timeout: time.Duration(settings.DialTimeout), KeepAlive: keepAlive}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
	}}
}
