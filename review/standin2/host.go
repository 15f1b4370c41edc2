//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of an entry host. Each host has an address of its own, since all serve metrics at one port.
const (
	portCallers   = 8227
	portReady     = 8220
	portPeers     = 8229
	portDirectory = 8224
)

// host is an entry host, which is a process.
type host struct {
	name, zone, address string
	world               *world
	command             *exec.Cmd
	exited              chan struct{}
	// storeAddr is where the host reaches the store, and watches counts its watches there.
	storeAddr string
	watches   atomic.Int64
}

// writeSettings writes the settings file of the host, with the figures of the sheet of the sticker shop.
func (h *host) writeSettings(seeds []string) error {
	text := fill("settings.toml.tmpl", struct {
		Name, Address, Zone, Front, Ready, Control, Directory, Store string
		Seeds                                                        []string
	}{
		h.name, h.address, h.zone, h.front(), h.ready(), h.at(portPeers), h.at(portDirectory), h.storeAddr, seeds,
	})
	return os.WriteFile(h.settingsPath(), []byte(text), 0o600)
}

func (h *host) settingsPath() string { return filepath.Join(h.world.dir, h.name+".toml") }

func (h *host) at(port int) string { return fmt.Sprintf("%s:%d", h.address, port) }
func (h *host) front() string      { return h.at(portCallers) }
func (h *host) directory() string  { return "http://" + h.at(portDirectory) }
func (h *host) ready() string      { return h.at(portReady) }

// start starts the process as the deploy file says.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.command = exec.CommandContext(context.Background(), h.world.program, "entry", "-metrics", "9464")
	h.command.Env = []string{wire.SettingsVariable + "=" + h.settingsPath()}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.world.record.printf("host %s starts", h.name)
	exited, command := make(chan struct{}), h.command
	h.exited = exited
	go func() {
		err := command.Wait()
		h.world.record.printf("host %s has ended: %v", h.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.world.record.printf("host %s gets %v", h.name, s)
	_ = h.command.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// runs reports whether the process still runs.
func (h *host) runs() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		if status, err := get("http://" + h.ready() + wire.PathReady); err == nil && status == 200 {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("host %s is not ready within %v", h.name, within)
}
