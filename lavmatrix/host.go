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

// restartPause is the time between a process's death and the next one.
const restartPause = time.Second

// host is one entry host.
type host struct {
	system   *system
	index    int
	settings lavsettings.Settings
	place    lavfakenet.HostInfo

	mu   sync.Mutex
	life *life
	// dying is true between a death and the next life, stopping during a
	// planned stop.
	dying    bool
	stopping bool
	// silent is when the host was paused.
	silent span
}

// span is a span of time.
type span struct{ from, to time.Time }

// overlaps reports whether the span and that from one time to another meet.
func (s span) overlaps(from, to time.Time) bool { return s.from.Before(to) && from.Before(s.to) }

// life is one process of a host.
type life struct {
	host   *host
	node   *lavnode.Node
	client *http.Client
	cancel context.CancelFunc
	ended  chan error

	mu     sync.Mutex
	dead   bool
	paused time.Time
}

// lifeKey is the context's key of the life that an operation belongs to.
type lifeKey struct{}

func lifeOf(ctx context.Context) *life {
	l, _ := ctx.Value(lifeKey{}).(*life)
	return l
}

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

// start begins a new life.
func (h *host) start() {
	l := &life{host: h, client: h.system.client(h.place), ended: make(chan error, 1)}
	l.node = lavnode.New(h.settings, lavnode.Dependencies{
		Listen: func(network, address string) (net.Listener, error) {
			return h.system.network.Host(h.place).Listen(network, address)
		},
		Client: l.client,
		Logger: &log.Logger{Level: log.PanicLevel},
		Scope:  tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.WithValue(h.system.ctx, lifeKey{}, l))
	l.cancel = cancel
	h.mu.Lock()
	h.life, h.dying, h.stopping = l, false, false
	h.mu.Unlock()
	go func() { l.ended <- l.node.Run(ctx) }()
}

// now returns the life that runs, or nil.
func (h *host) now() *life {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dying {
		return nil
	}
	return h.life
}

// kill ends a life at once: nothing more leaves or reaches the host until the
// next life begins.
func (l *life) kill() {
	if l == nil {
		return
	}
	h := l.host
	h.mu.Lock()
	if h.dying || h.life != l {
		h.mu.Unlock()
		return
	}
	stopping := h.stopping
	h.dying = true
	h.mu.Unlock()
	l.mu.Lock()
	l.dead = true
	l.mu.Unlock()
	h.system.network.SetDown(h.settings.Host, true)
	if stopping {
		// Who stops it starts the next life.
		return
	}
	h.system.work.Go(func() {
		l.cancel()
		// What a process that was killed ends with doesn't matter.
		_ = l.wait()
		time.Sleep(restartPause)
		h.system.network.SetDown(h.settings.Host, false)
		h.start()
	})
}

// restart stops the process as planned and starts the next.
func (h *host) restart() {
	h.mu.Lock()
	l := h.life
	if h.dying {
		h.mu.Unlock()
		return
	}
	h.stopping = true
	h.mu.Unlock()
	l.cancel()
	if err := l.wait(); err != nil {
		h.system.breaks("%s ended its planned stop with %v", h.settings.Host, err)
	}
	time.Sleep(restartPause)
	h.system.network.SetDown(h.settings.Host, false)
	h.start()
}

// pause stops a life for a while: its steps wait and its packets are held up.
func (l *life) pause(d time.Duration) {
	if l == nil {
		return
	}
	h := l.host
	l.mu.Lock()
	l.paused = time.Now().Add(d)
	l.mu.Unlock()
	h.mu.Lock()
	h.silent = span{from: time.Now(), to: time.Now().Add(d)}
	h.mu.Unlock()
	others := h.system.others(h.settings.Host)
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

// others lists every host of the system but one.
func (s *system) others(name string) []string {
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

// errDead is what the steps of a dead life return.
var errDead = errors.New("the process is dead")

// step holds up a paused life, and ends the steps of a dead one.
func (l *life) step() error {
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if wait := time.Until(paused); wait > 0 {
		time.Sleep(wait)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return errDead
	}
	return nil
}

// wait returns what the process ended with.
func (l *life) wait() error { return <-l.ended }

// end stops the host for good.
func (h *host) end() {
	l := h.now()
	if l == nil {
		return
	}
	l.cancel()
	if err := l.wait(); err != nil {
		h.system.breaks("%s ended with %v", h.settings.Host, err)
	}
}
