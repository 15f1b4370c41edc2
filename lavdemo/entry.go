package lavdemo

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavsettings"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// entryHost is one entry host, which can be stopped and started again.
type entryHost struct {
	settings lavsettings.Settings
	stop     context.CancelFunc
	// exitErr holds the error with which the host ended. Whoever receives it puts
	// it back for the next receiver.
	exitErr chan error
	// stopping is true from the start of a planned restart until the host is
	// ready again.
	stopping atomic.Bool
}

// newEntryHost returns the i-th entry host, which listens on free loopback
// ports. It is not started yet.
func newEntryHost(ctx context.Context, i int, p *platform) (*entryHost, error) {
	settings := lavsettings.Default()
	settings.Host = fmt.Sprintf("entry-%d", i)
	settings.FailureDomain = failureDomains[i%len(failureDomains)]
	settings.Stores = []string{"http://" + p.storeAddr.String()}
	settings.HostList = "http://" + p.hostListAddr.String()
	settings.WeightStore = "http://" + p.weightStoreAddr.String()
	settings.DrainTimeout = lavrelease.Duration(drainTimeout)
	settings.TokenKey = "shared by the hosts of the demo"
	for _, addr := range []*netip.AddrPort{&settings.Entry, &settings.Mesh, &settings.Admin} {
		freeAddr, err := freePort(ctx)
		if err != nil {
			return nil, err
		}
		*addr = freeAddr
	}
	return &entryHost{settings: settings}, nil
}

// freePort returns a loopback address whose port is free at the time of the
// call.
func freePort(ctx context.Context) (netip.AddrPort, error) {
	listener, err := listenLoopback(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = listener.Close() }()
	return listenerAddr(listener)
}

// start runs the host in the background until stop is called.
func (e *entryHost) start(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	node := lavnode.New(e.settings, lavnode.Dependencies{
		Listen: net.Listen,
		Client: &http.Client{Transport: transport},
		Logger: &log.Logger{Level: log.PanicLevel},
		Scope:  tally.NoopScope,
	})
	ctx, e.stop = context.WithCancel(context.WithoutCancel(ctx))
	exitErr := make(chan error, 1)
	e.exitErr = exitErr
	go func() {
		err := node.Run(ctx)
		transport.CloseIdleConnections()
		exitErr <- err
	}()
}

// stopAndWait drains and stops the host, and returns the error with which it
// ended. The error stays in exitErr for a later stopWithTimeout.
func (e *entryHost) stopAndWait() error {
	e.stopping.Store(true)
	e.stop()
	err := <-e.exitErr
	e.exitErr <- err
	return err
}

// discardLogger returns a logger that discards everything, for servers whose
// connections are cut on purpose.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// finalStopTimeout limits how long a host may drain at the end of a run.
const finalStopTimeout = 2 * time.Second

// stopWithTimeout stops the host and waits for its end for at most
// finalStopTimeout.
func (e *entryHost) stopWithTimeout() {
	e.stop()
	select {
	case err := <-e.exitErr:
		e.exitErr <- err
	case <-time.After(finalStopTimeout):
	}
}
