package main

import (
	"context"
	"flag"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavhost"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Bounds of an entry host's process.
const (
	// collectPercent lets little garbage gather: memory is priced at its peak.
	collectPercent = 60
	// heapPart is the part of the host's memory at which the collector works
	// harder.
	heapPart = 0.7
	// logLines is how many lines wait for the log; more are dropped.
	logLines = 4096
)

// entryCommand runs an entry host on the users' platform.
type entryCommand struct {
	streams
	metrics uint
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run an entry host on the platform" }
func (*entryCommand) Usage() string {
	return `entry [-metrics PORT]
  Run an entry host by the platform's settings file until SIGTERM, then drain it.

`
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.UintVar(&c.metrics, "metrics", 0, "serve counters at this `PORT`, 0 for nowhere")
}

func (c *entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.usage("entry: %v", err)
	}
	if c.metrics > math.MaxUint16 {
		return c.usage("entry: -metrics %d is no port", c.metrics)
	}
	path, err := platform.SettingsPath()
	if err != nil {
		return c.fail(err, subcommands.ExitUsageError)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return c.fail(err, subcommands.ExitUsageError)
	}
	load := func() (platform.Settings, error) { return platform.LoadSettings(path) }
	if err := runEntry(ctx, settings, uint16(c.metrics), load); err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	return subcommands.ExitSuccess
}

// runEntry runs an entry host until the context ends.
func runEntry(ctx context.Context, s platform.Settings, metricsPort uint16, load func() (platform.Settings, error)) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * heapPart))
	lines := &log.AsyncWriter{ChannelSize: logLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	defer func() { _ = lines.Close() }()
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, metrics := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lavenderrack",
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
		CachedReporter:         reporter,
	}, reportMetrics)
	defer func() { _ = metrics.Close() }()
	var listen net.ListenConfig
	datagrams, err := listen.ListenPacket(ctx, "udp4", s.Datagrams.String())
	if err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	host := lavhost.New(s, lavhost.Dependencies{
		Listen:         listenTCP,
		Dial:           lavconn.Dial,
		PeerClient:     &http.Client{Transport: quickTransport()},
		Store:          platform.NewStore(&http.Client{Transport: quickTransport()}, s.Store),
		SuspendClock:   lavhost.SuspendedTime,
		Logger:         &log.Logger{Level: log.InfoLevel, Writer: lines},
		Scope:          scope,
		LoadSettings:   load,
		ReloadSignal:   hangup,
		MetricsHandler: reporter.HTTPHandler(),

		Datagrams:   datagrams,
		MetricsPort: metricsPort,
	})
	return host.Serve(ctx)
}

// quickTransport returns a transport that notices soon when its peer is gone.
func quickTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			at, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			return lavconn.Dial(ctx, at)
		},
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
}

func listenTCP(at netip.AddrPort) (net.Listener, error) {
	var l net.ListenConfig
	return l.Listen(context.Background(), "tcp4", at.String())
}
