//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lavenderrack.example/lavenderrack/platform/standin"
)

// Names of the deployment.
const (
	hostName = "shop.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	service  = "shop-api"
)

// Ports of a host. Each host has an address of its own.
const (
	frontPort     = 8227
	readyPort     = 8220
	controlPort   = 8229
	directoryPort = 8224
	firstFreePort = 7340
	metricsPort   = "9464"
)

// pingInterval is the time between two entries of a server.
const pingInterval = 1200 * time.Millisecond

// bounds are the bounds of the settings that cases change.
type bounds struct {
	memoryMB      int
	retryRatio    float64
	retryWindowS  float64
	retryBurst    int
	coldOver      float64
	coldSlack     int
	graceS        int
	configApplyMS int
}

// usualBounds are those of the small deployments.
func usualBounds() bounds {
	return bounds{memoryMB: 284, retryRatio: 0.2, retryWindowS: 10, retryBurst: 100, coldOver: 1.5, coldSlack: 5, graceS: 8, configApplyMS: 2000}
}

// world is a deployment on loopback addresses.
type world struct {
	record  *record
	dir     string
	store   *standin.Store
	address string
	server  *http.Server
	hosts   []*host
	servers []*server
	pinging sync.WaitGroup
	// movedAt and backAt are when a route was moved to another service and back.
	movedAt, backAt time.Time
	stop            context.CancelFunc
}

// newWorld starts the platform's store.
func newWorld(ctx context.Context, r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, store: standin.NewStore(), address: l.Addr().String()}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }()
	ctx, w.stop = context.WithCancel(ctx)
	w.pinging.Go(func() { w.ping(ctx) })
	return w, nil
}

// ping writes the entries of all servers that run.
func (w *world) ping(ctx context.Context) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for seq := 2; ; seq++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, s := range w.servers {
			if !s.hasLeft() {
				w.store.Put(names.PrefixServers+s.id, s.entry(seq))
			}
		}
	}
}

// close ends all that the world has started.
func (w *world) close() {
	w.stop()
	w.pinging.Wait()
	for _, h := range w.hosts {
		h.end()
	}
	for _, s := range w.servers {
		_ = s.http.Close()
	}
	_ = w.server.Close()
	_ = os.RemoveAll(w.dir)
}

// route is a route of the desired state.
type route struct {
	name, prefix, kind string
	timeoutMS, goalMS  int
	attempts           int
}

// configure writes a desired state whose routes lead to the service.
func (w *world) configure(version int, warmupS, warmupPerS float64, routes ...route) error {
	return w.configureFor(service, version, warmupS, warmupPerS, routes...)
}

// configureFor writes a desired state whose routes lead to a service, the only one that it names.
func (w *world) configureFor(service string, version int, warmupS, warmupPerS float64, routes ...route) error {
	var rs []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": hostName, names.PathPrefix: r.prefix, "route_type": r.kind, "timeout_ms": r.timeoutMS,
			"goal_ms": r.goalMS, "priority": 1, "backend": service, "max_attempts": r.attempts, "public": false, "resumable": r.kind == "streaming", names.GapAim: 800,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": rs,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 424, "protocol": "h1", "tls": false, "warmup_s": warmupS, "warmup_per_s": warmupPerS}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	w.store.Put(names.KeyConfig, string(text))
	w.record.printf("the operator has written version %d, whose routes lead to %s", version, service)
	return nil
}

// host is an entry host. The platform starts it again when its process has ended.
type host struct {
	world      *world
	name       string
	ip         string
	zone       string
	seeds      []string
	restartIn  time.Duration
	mu         sync.Mutex
	command    *exec.Cmd
	ended      bool
	gone       sync.WaitGroup
	memoryMB   int
	killedFor  int
	lost       bool
	peakKB     int
	startCount int
}

// zones are the zones of the deployment.
var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

// zoneOf returns the zone of a machine: the first half of them is in the first zone.
func zoneOf(i, n int) string {
	switch {
	case 2*i < n:
		return zones[0]
	case 6*i < 5*n:
		return zones[1]
	default:
		return zones[2]
	}
}

// startHosts starts n hosts.
func (w *world) startHosts(n int, b bounds) error {
	base := 1 + os.Getpid()%200
	var seeds []string
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 60+base%100, base, i+1)
		if i < 3 {
			seeds = append(seeds, net.JoinHostPort(ip, strconv.Itoa(controlPort)))
		}
		w.hosts = append(w.hosts, &host{world: w, name: fmt.Sprintf("front-%s-%d", zoneOf(i, n), i), ip: ip, zone: zoneOf(i, n), restartIn: 500 * time.Millisecond, memoryMB: b.memoryMB})
	}
	for _, h := range w.hosts {
		h.seeds = seeds
		if err := h.writeSettings(b); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) at(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

func (h *host) settingsPath() string { return filepath.Join(h.world.dir, h.name+".toml") }

// writeSettings writes the settings file as the platform does.
func (h *host) writeSettings(b bounds) error {
	text := fmt.Sprintf(wireText("settings.toml.fmt"), h.name, h.ip, h.zone, firstFreePort, firstFreePort+15, strings.Join(h.seeds, `","`), h.at(frontPort), h.at(readyPort), h.at(controlPort), h.at(directoryPort),
		b.memoryMB, b.graceS, b.configApplyMS, b.retryRatio, b.retryWindowS, b.retryBurst, b.coldOver, b.coldSlack, h.world.address)
	if err := os.WriteFile(h.settingsPath()+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(h.settingsPath()+".new", h.settingsPath())
}

// start starts the process and watches it.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return nil
	}
	c := exec.Command("target/lavenderrack", "entry", "-metrics", metricsPort)
	c.Env = []string{names.SettingsVariable + "=" + h.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1"}
	out, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	h.command = c
	h.startCount++
	h.world.record.printf("the platform starts %s as process %d", h.name, h.startCount)
	h.gone.Go(func() {
		err := c.Wait()
		_ = out.Close()
		if h.hasEnded() {
			return
		}
		h.world.record.printf("%s has ended: %v", h.name, err)
		time.Sleep(h.restartDelay())
		h.gone.Go(func() { _ = h.start() })
	})
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s)
}

// setRestart sets the time after which the process is started again, since its machine is without power.
func (h *host) setRestart(after time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restartIn, h.lost = after, true
}

func (h *host) restartDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.restartIn
}

// wasLost reports whether the machine has been without power.
func (h *host) wasLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}

// hasEnded reports whether the process is not started again.
func (h *host) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// end ends the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.ended = true
	if h.command != nil {
		_ = h.command.Process.Kill()
	}
	h.mu.Unlock()
	h.gone.Wait()
}

// anonymousKB returns the anonymous memory of the process in KB: neither its program nor any socket buffers.
func (h *host) anonymousKB() (pid, kb int) {
	h.mu.Lock()
	pid = h.command.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return pid, 0
	}
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, _ = strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(string(rest)), " kB"))
		}
	}
	return pid, kb
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, h := range w.hosts {
		for {
			response, err := client.Get("http://" + h.at(readyPort) + names.PathReady)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s isn't ready", h.name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	w.record.printf("all %d hosts are ready", len(w.hosts))
	return nil
}
