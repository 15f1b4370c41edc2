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
	"lavenderrack.example/lavenderrack/lavresponse"
	"lavenderrack.example/lavenderrack/lavsettings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/phuslu/log"
)

// Connection pool settings of a host.
const (
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 90 * time.Second
	keepAliveInterval   = 15 * time.Second
)

// serveCommand runs an entry host with a settings file.
type serveCommand struct {
	output
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run an entry host" }
func (*serveCommand) Usage() string {
	return `serve -settings FILE
  Run an entry host until SIGTERM, then drain it: the host directs callers to other
  hosts and completes the requests in progress.

`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `FILE`, JSON with comments")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.usageError("serve: %v", err)
	}
	if c.settings == "" {
		return c.usageError("serve: want -settings FILE")
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

// serve runs an entry host until the context ends and the host has drained.
func serve(ctx context.Context, settings lavsettings.Settings) error {
	hostMetrics := newMetrics()
	node := lavnode.New(settings, lavnode.Dependencies{
		Listen:  net.Listen,
		Client:  newHostClient(settings),
		Logger:  &log.Logger{Level: log.ParseLevel(settings.LogLevel), Writer: &log.IOWriter{Writer: os.Stderr}},
		Scope:   hostMetrics.scope,
		Metrics: hostMetrics.handler,
	})
	return errors.CombineErrors(node.Run(ctx), hostMetrics.closer.Close())
}

// newHostClient returns the HTTP client for the platform, the peers and the
// endpoints. It has no timeout for whole calls, because a stream is a single call
// that lasts until its answer is complete.
func newHostClient(settings lavsettings.Settings) *http.Client {
	dialer := &net.Dialer{Timeout: time.Duration(settings.DialTimeout), KeepAlive: keepAliveInterval}
	return &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: lavresponse.MaxHeadBytes,
	}}
}
