//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"
)

const (
	// command is the command of the deploy file.
	command = "target/lavenderrack entry -metrics 9464"
	// metricsPort is the port that it names.
	metricsPort = 9464
	// portsPerHost is the number of ports that a host uses.
	portsPerHost = 10
	// readyTimeout is how long a host may take until it is ready.
	readyTimeout = 10 * time.Second
)

// host is one entry host: a process of the deploy file's command at a loopback address of its own.
type host struct {
	Name, Domain, IP, Store, Seeds string

	firstPort int
	dir       string
	process   *exec.Cmd
}

// Port returns the port with a number.
func (h *host) Port(number int) int { return h.firstPort + number }

// front returns the address at which the host takes requests.
func (h *host) front() string { return fmt.Sprintf("%s:%d", h.IP, h.Port(0)) }

// newHosts returns hosts on free ports, each in one of three failure domains.
func newHosts(ctx context.Context, dir string, count int, s *store) ([]*host, error) {
	network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
	port := 12000 + rand.IntN(1500)*portsPerHost
	var hosts []*host
	var seeds []string
	for i := range count {
		h := &host{
			Name: fmt.Sprintf("h%d", i+1), Domain: string(rune('a' + i%3)), IP: fmt.Sprintf("%s.%d", network, i+1),
			firstPort: port, dir: dir,
		}
		if err := h.checkPorts(ctx); err != nil {
			return nil, err
		}
		var config net.ListenConfig
		l, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h.Store = l.Addr().String()
		server := &http.Server{Handler: s.handler(h.Name), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(l) }()
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", h.IP, h.Port(2))))
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		h.Seeds = strings.Join(seeds[:min(3, len(seeds))], ",")
	}
	return hosts, nil
}

// checkPorts returns an error if a port is in use.
func (h *host) checkPorts(ctx context.Context) error {
	ports := []int{metricsPort}
	for number := range portsPerHost {
		ports = append(ports, h.Port(number))
	}
	var config net.ListenConfig
	for _, port := range ports {
		l, err := config.Listen(ctx, "tcp4", fmt.Sprintf("%s:%d", h.IP, port))
		if err != nil {
			return err
		}
		_ = l.Close()
	}
	return nil
}

// start writes the settings and starts the process.
func (h *host) start() error {
	path := filepath.Join(h.dir, h.Name+".toml")
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	err = template.Must(template.New("settings").Parse(settingsText)).Execute(file, h)
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(command)
	h.process = exec.CommandContext(context.Background(), words[0], words[1:]...)
	h.process.Env = []string{wire.Settings + "=" + path, "PATH=" + os.Getenv("PATH")}
	h.process.Stdout, h.process.Stderr = log, log
	return errors.Join(h.process.Start(), log.Close())
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	if h.process != nil && h.process.Process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// kill ends the process.
func (h *host) kill() {
	if h.process == nil || h.process.Process == nil {
		return
	}
	_ = h.process.Process.Kill()
	_ = h.process.Wait()
	h.process = nil
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", h.IP, h.Port(1), wire.PathReady), http.NoBody)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("host %s is not ready: %w", h.Name, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}
