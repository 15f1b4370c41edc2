package main

import (
	"context"
	"flag"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavhost"
	"lavenderrack.example/lavenderrack/lavreload"
	"lavenderrack.example/lavenderrack/lavresponse"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/phuslu/log"
)

// Resource limits of the process of an entry host.
const (
	// gcPercent is the heap growth, in percent, that triggers a garbage
	// collection. It is low because memory is charged by its peak use.
	gcPercent = 60
	// memoryLimitFraction is the fraction of the host's memory that is set as the
	// memory limit of the Go runtime. Near this limit the garbage collector runs
	// more often.
	memoryLimitFraction = 0.7
	// logBufferLines is the maximum number of log lines that are buffered for
	// writing. Further lines are dropped.
	logBufferLines = 4096
)

// entryName is the name of the command that runs an entry host on the platform.
const entryName = "entry"

// entryCommand runs an entry host on the platform, with the settings file that the
// platform provides.
type entryCommand struct {
	output
	metrics uint
}

func (*entryCommand) Name() string     { return entryName }
func (*entryCommand) Synopsis() string { return "run an entry host on the platform" }
func (*entryCommand) Usage() string {
	return `entry [-metrics PORT]
  Run an entry host with the platform's settings file until SIGTERM, then drain it.

`
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.UintVar(&c.metrics, "metrics", 0, "`PORT` on which metrics are served; 0 disables them")
}

func (c *entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.usageError("entry: %v", err)
	}
	if c.metrics > math.MaxUint16 {
		return c.usageError("entry: -metrics %d: want a port from 0 to 65535", c.metrics)
	}
	path, err := platform.SettingsPath()
	if err != nil {
		return c.fail(err, subcommands.ExitUsageError)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return c.fail(err, subcommands.ExitUsageError)
	}
	loadSettings := func() (platform.Settings, error) { return platform.LoadSettings(path) }
	if err := runEntry(ctx, settings, uint16(c.metrics), loadSettings, lavreload.Requests()); err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	return subcommands.ExitSuccess
}

// runEntry runs an entry host until the context ends. A reload signal makes the host read
// its settings again with loadSettings.
func runEntry(ctx context.Context, s platform.Settings, metricsPort uint16, loadSettings func() (platform.Settings, error), reloadSignal <-chan os.Signal) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryLimitFraction))
	logWriter := &log.AsyncWriter{ChannelSize: logBufferLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	defer func() { _ = logWriter.Close() }()
	hostMetrics := newMetrics()
	defer func() { _ = hostMetrics.closer.Close() }()
	var listen net.ListenConfig
	datagrams, err := listen.ListenPacket(ctx, "udp4", s.Datagrams.String())
	if err != nil {
		return errors.Wrap(err, "listen for datagrams")
	}
	host := lavhost.New(s, lavhost.Dependencies{
		Listen:         listenTCP,
		Dial:           lavconn.Dial,
		PeerClient:     &http.Client{Transport: newTransport()},
		Store:          platform.NewStore(&http.Client{Transport: newTransport()}, s.Store),
		SuspendClock:   lavhost.SuspendedTime,
		Logger:         &log.Logger{Level: log.InfoLevel, Writer: logWriter},
		Scope:          hostMetrics.scope,
		LoadSettings:   loadSettings,
		ReloadSignal:   reloadSignal,
		MetricsHandler: hostMetrics.handler,

		Datagrams:   datagrams,
		MetricsPort: metricsPort,
		Build:       buildName(debug.ReadBuildInfo()),
	})
	return host.Serve(ctx)
}

// newTransport returns an HTTP transport whose connections fail within seconds after
// the peer has stopped responding, as lavconn.Dial configures them.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			addrPort, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			return lavconn.Dial(ctx, addrPort)
		},
		MaxIdleConnsPerHost:    2,
		IdleConnTimeout:        10 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: lavresponse.MaxHeadBytes,
	}
}

func listenTCP(addrPort netip.AddrPort) (net.Listener, error) {
	var l net.ListenConfig
	return l.Listen(context.Background(), "tcp4", addrPort.String())
}
