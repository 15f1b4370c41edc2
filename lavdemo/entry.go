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

// entry is one entry host, which can be stopped and started again.
type entry struct {
	settings lavsettings.Settings
	stop     context.CancelFunc
	ended    chan error
	// stopping is true from the order to stop until the host is up again.
	stopping atomic.Bool
}

// newEntry returns an entry host with free ports of its own.
func newEntry(ctx context.Context, i int, p *platform) (*entry, error) {
	s := lavsettings.Default()
	s.Host = fmt.Sprintf("entry-%d", i)
	s.FailureDomain = failureDomains[i%len(failureDomains)]
	s.Stores = []string{"http://" + p.storeAddr.String()}
	s.HostList = "http://" + p.hostAddr.String()
	s.WeightStore = "http://" + p.weightsAddr.String()
	s.DrainTimeout = lavrelease.Duration(drainTimeout)
	s.TokenKey = "shared by the hosts of the demo"
	for _, addr := range []*netip.AddrPort{&s.Entry, &s.Mesh, &s.Admin} {
		free, err := freePort(ctx)
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	return &entry{settings: s}, nil
}

func freePort(ctx context.Context) (netip.AddrPort, error) {
	on, err := listen(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = on.Close() }()
	return addrOf(on)
}

// start runs the host until stopAndWait.
func (e *entry) start(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	node := lavnode.New(e.settings, lavnode.Dependencies{
		Listen: net.Listen,
		Client: &http.Client{Transport: transport},
		Logger: &log.Logger{Level: log.PanicLevel},
		Scope:  tally.NoopScope,
	})
	ctx, e.stop = context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	e.ended = ended
	go func() {
		err := node.Run(ctx)
		transport.CloseIdleConnections()
		ended <- err
	}()
}

// stopAndWait shuts the host down gracefully. The end stays on the channel for
// an abandon that follows.
func (e *entry) stopAndWait() error {
	e.stopping.Store(true)
	e.stop()
	err := <-e.ended
	e.ended <- err
	return err
}

// silent is a logger for servers whose connections are cut on purpose.
func silent() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// abandonTimeout is how long a host may drain at the end of a run.
const abandonTimeout = 2 * time.Second

// abandon stops the host without waiting for it longer than a little.
func (e *entry) abandon() {
	e.stop()
	select {
	case err := <-e.ended:
		e.ended <- err
	case <-time.After(abandonTimeout):
	}
}
