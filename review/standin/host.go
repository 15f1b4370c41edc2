//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of an entry host. Each host has an address of its own.
const (
	portFront     = 8227
	portReady     = 8220
	portControl   = 8229
	portDirectory = 8224
	portMetrics   = "9464"
	// seedHosts is how many hosts the settings name.
	seedHosts = 3
)

// host is an entry host: a process of the project's program.
type host struct {
	d      *deployment
	number int
	name   string
	zone   string
	ip     netip.Addr
	// storeAddr is the address at which the host reaches the store.
	storeAddr netip.AddrPort
	binary    string
	command   *exec.Cmd
	exited    chan struct{}

	mu sync.Mutex
	// startedAt is when the process was last started, and stoppingAt when it was told to stop.
	startedAt, stoppingAt time.Time
	running               bool
	// readDraining is when the host first read from the store that a server is draining.
	readDraining map[string]time.Time
}

func newHost(d *deployment, binary string, number int, zone string) *host {
	return &host{d: d, number: number, readDraining: make(map[string]time.Time), name: fmt.Sprintf("front-%s-%d", zone, number+1), zone: zone, ip: loopback(byte(number + 1)), binary: binary}
}

// at returns the host's address with a port.
func (h *host) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(h.ip, port) }

// settings returns the text of the settings file.
func (h *host) settings() string {
	var seeds []string
	for _, other := range h.d.hosts[:seedHosts] {
		seeds = append(seeds, strconv.Quote(other.at(portControl).String()))
	}
	return fill("settings.toml.tmpl", struct {
		Name, Zone, Seeds                string
		IP                               netip.Addr
		Front, Ready, Control, Directory netip.AddrPort
		Store                            netip.AddrPort
	}{
		Name: h.name, Zone: h.zone, Seeds: strings.Join(seeds, ","), IP: h.ip,
		Front: h.at(portFront), Ready: h.at(portReady), Control: h.at(portControl), Directory: h.at(portDirectory),
		Store: h.storeAddr,
	})
}

// start starts the process.
func (h *host) start() error {
	path := filepath.Join(h.d.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process must not end with any context. Only stop and kill end it.
	command := exec.CommandContext(context.Background(), h.binary, "entry", "-metrics", portMetrics)
	command.Env = []string{wire.SettingsVariable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		_ = out.Close()
		return err
	}
	h.d.record.add("host %s starts", h.name)
	exited := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command, h.exited, h.running, h.startedAt, h.stoppingAt = command, exited, true, time.Now(), time.Time{}
	h.d.background.Go(func() {
		err := command.Wait()
		_ = out.Close()
		h.mu.Lock()
		h.running = false
		h.mu.Unlock()
		h.d.record.add("host %s has ended: %v", h.name, err)
		close(exited)
	})
	return nil
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if h.ready(ctx) {
			h.d.record.add("host %s is ready", h.name)
			return nil
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (h *host) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.at(portReady).String()+wire.PathReady, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// takesConsumers reports whether the process runs and was not told to stop.
func (h *host) takesConsumers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running && h.stoppingAt.IsZero()
}

// inTouch reports whether the host has run undisturbed for contactTime.
func (h *host) inTouch(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running && h.stoppingAt.IsZero() && at.Sub(h.startedAt) > contactTime
}

// signal sends a signal to the process if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running {
		_ = h.command.Process.Signal(s)
	}
}

// stop sends SIGTERM, and SIGKILL after the grace period.
func (h *host) stop(ctx context.Context) error {
	h.mu.Lock()
	h.stoppingAt = time.Now()
	h.mu.Unlock()
	h.d.record.add("host %s gets SIGTERM", h.name)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
		return nil
	case <-time.After(graceTime):
		h.kill()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// kill ends the process if it runs.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}
