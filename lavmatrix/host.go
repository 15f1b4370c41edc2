package lavmatrix

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavsettings"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// restartDelay is the time between the end of a process and the start of its
// successor on the same host.
const restartDelay = time.Second

// host is an entry host. It runs one process at a time.
type host struct {
	system   *system
	index    int
	settings lavsettings.Settings
	place    lavfakenet.HostInfo

	mu      sync.Mutex
	process *process
	// killed is true from the kill of a process until the next one starts.
	killed bool
	// stopping is true from the start of a graceful restart until the next
	// process starts.
	stopping bool
	// pausedDuring is the interval during which the host is paused.
	pausedDuring interval
}

// interval is an interval of time.
type interval struct{ from, to time.Time }

// overlaps reports whether the interval overlaps the time between from and to.
func (s interval) overlaps(from, to time.Time) bool { return s.from.Before(to) && from.Before(s.to) }

// process is a process of an entry host.
type process struct {
	host   *host
	node   *lavnode.Node
	client *http.Client
	cancel context.CancelFunc
	// ended receives the error of the process when it ends.
	ended chan error

	mu     sync.Mutex
	killed bool
	// pausedUntil is the time at which the pause of the process ends.
	pausedUntil time.Time
}

// processKey is the context key of the process that an operation runs in.
type processKey struct{}

// processOf returns the process that ctx belongs to, or nil if it belongs to
// none.
func processOf(ctx context.Context) *process {
	proc, _ := ctx.Value(processKey{}).(*process)
	return proc
}

// newHost returns the entry host with index i without starting it.
func newHost(s *system, i int) *host {
	addr := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), port)
	}
	settings := lavsettings.Default()
	settings.Host, settings.FailureDomain = entryHost(i), domains[i]
	settings.Entry, settings.Mesh, settings.Admin = addr(8080), addr(8081), addr(8082)
	settings.Stores = []string{"http://" + storeAddr}
	settings.HostList = "http://" + hostListAddr
	settings.DrainTimeout = lavrelease.Duration(30 * time.Second)
	settings.TokenKey = "a key that all hosts of the matrix share"
	place := lavfakenet.HostInfo{Host: settings.Host, FailureDomain: settings.FailureDomain}
	return &host{system: s, index: i, settings: settings, place: place}
}

// start starts a new process.
func (h *host) start() {
	proc := &process{host: h, client: h.system.client(h.place), ended: make(chan error, 1)}
	proc.node = lavnode.New(h.settings, lavnode.Dependencies{
		Listen: func(network, address string) (net.Listener, error) {
			return h.system.network.Host(h.place).Listen(network, address)
		},
		Client: proc.client,
		Logger: &log.Logger{Level: log.PanicLevel},
		Scope:  tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.WithValue(h.system.ctx, processKey{}, proc))
	proc.cancel = cancel
	h.mu.Lock()
	h.process, h.killed, h.stopping = proc, false, false
	h.mu.Unlock()
	go func() { proc.ended <- proc.node.Run(ctx) }()
}

// running returns the running process, or nil if it was killed.
func (h *host) running() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		return nil
	}
	return h.process
}

// kill ends a process at once. The host neither sends nor receives until the
// next process starts.
func (proc *process) kill() {
	if proc == nil {
		return
	}
	h := proc.host
	h.mu.Lock()
	if h.killed || h.process != proc {
		h.mu.Unlock()
		return
	}
	stopping := h.stopping
	h.killed = true
	h.mu.Unlock()
	proc.mu.Lock()
	proc.killed = true
	proc.mu.Unlock()
	h.system.network.SetDown(h.settings.Host, true)
	if stopping {
		// A graceful restart is in progress, and restart starts the next process.
		return
	}
	h.system.work.Go(func() {
		proc.cancel()
		// A killed process may end with any error.
		_ = proc.wait()
		time.Sleep(restartDelay)
		h.system.network.SetDown(h.settings.Host, false)
		h.start()
	})
}

// restart shuts the process down gracefully and starts a new one.
func (h *host) restart() {
	h.mu.Lock()
	proc := h.process
	if h.killed {
		h.mu.Unlock()
		return
	}
	h.stopping = true
	h.mu.Unlock()
	proc.cancel()
	if err := proc.wait(); err != nil {
		h.system.recordViolation("%s ended its planned stop with %v", h.settings.Host, err)
	}
	time.Sleep(restartDelay)
	h.system.network.SetDown(h.settings.Host, false)
	h.start()
}

// pause suspends a process for d: its steps block, and the network holds back
// its packets.
func (proc *process) pause(d time.Duration) {
	if proc == nil {
		return
	}
	h := proc.host
	proc.mu.Lock()
	proc.pausedUntil = time.Now().Add(d)
	proc.mu.Unlock()
	h.mu.Lock()
	h.pausedDuring = interval{from: time.Now(), to: time.Now().Add(d)}
	h.mu.Unlock()
	others := h.system.otherHosts(h.settings.Host)
	for _, other := range others {
		h.system.network.SetPartitioned(h.settings.Host, other, true)
	}
	h.system.work.Go(func() {
		time.Sleep(d)
		for _, other := range others {
			h.system.network.SetPartitioned(h.settings.Host, other, false)
		}
	})
}

// otherHosts returns the names of all hosts of the system except the entry host
// with the given name.
func (s *system) otherHosts(name string) []string {
	names := []string{platformHost}
	for i := range engineDomains {
		names = append(names, engineHost(i))
	}
	for i := range serverDomains {
		names = append(names, fmt.Sprint("server-", i))
	}
	for i := range domains {
		names = append(names, fmt.Sprint(callerPrefix, i))
		if entryHost(i) != name {
			names = append(names, entryHost(i))
		}
	}
	return names
}

// errProcessKilled is the error that the steps of a killed process return.
var errProcessKilled = errors.New("process was killed")

// blockOrFail blocks while the process is paused and returns an error if it was
// killed.
func (proc *process) blockOrFail() error {
	proc.mu.Lock()
	paused := proc.pausedUntil
	proc.mu.Unlock()
	if wait := time.Until(paused); wait > 0 {
		time.Sleep(wait)
	}
	proc.mu.Lock()
	defer proc.mu.Unlock()
	if proc.killed {
		return errProcessKilled
	}
	return nil
}

// wait waits for the process to end and returns its error.
func (proc *process) wait() error { return <-proc.ended }

// end shuts the host down gracefully, without a restart.
func (h *host) end() {
	proc := h.running()
	if proc == nil {
		return
	}
	proc.cancel()
	if err := proc.wait(); err != nil {
		h.system.recordViolation("%s ended with %v", h.settings.Host, err)
	}
}
