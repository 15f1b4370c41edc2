//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	portRange     = 7340
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

// writeSettings writes the settings file of the host.
func (h *host) writeSettings(seeds []string) error {
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front","directory","control"]
ip = %q
zone = %q
region = "r"
port_range = [%d,%d]
seeds = ["%s"]
bootstrap = true
heartbeat_ms = 1200
policies = [%s]
[zones]
a = "r"
b = "r"
c = "r"
[bind]
front_http = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
directory = "%s:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
skew_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_burst = 100
cold_over = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
ttl_max_s = 5
[provider]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, h.name, h.address, h.zone, portRange, portRange+15, strings.Join(seeds, `","`), policies,
		h.address, portCallers, h.address, portReady, h.address, portPeers, h.address, portDirectory, h.storeAddr)
	return os.WriteFile(h.settingsPath(), []byte(text), 0o600)
}

// policies are those of the sheet of the sticker shop.
const policies = `"base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"`

func (h *host) settingsPath() string { return filepath.Join(h.world.dir, h.name+".toml") }

func (h *host) front() string     { return fmt.Sprintf("%s:%d", h.address, portCallers) }
func (h *host) directory() string { return fmt.Sprintf("http://%s:%d", h.address, portDirectory) }
func (h *host) ready() string     { return fmt.Sprintf("%s:%d", h.address, portReady) }

// start starts the process as the deploy file says.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.command = exec.CommandContext(context.Background(), h.world.program, "entry", "-metrics", "9464")
	h.command.Env = []string{"LAVENDERRACK_BOOT=" + h.settingsPath()}
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
		if status, err := get("http://" + h.ready() + "/-/ready"); err == nil && status == 200 {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("host %s is not ready within %v", h.name, within)
}
