//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"lavenderrack.example/lavenderrack/platform/standin"
)

// world is a small installation on loopback addresses: the store, the servers and the entry hosts.
type world struct {
	program, dir string
	// trouble is false if the disruption of the case is left out.
	trouble bool
	record  *record
	store   *standin.Store
	// address is that of the servers.
	address string
	network string
	hosts   []*host
	servers []*server
	version int
}

// newWorld starts the store.
func newWorld(program, dir string, trouble bool, r *record) *world {
	w := &world{program: program, dir: dir, trouble: trouble, record: r, store: standin.NewStore(), address: "127.0.0.1"}
	pid := os.Getpid()
	w.network = fmt.Sprintf("127.%d.%d", 64+pid>>8&0x3f, pid&0xff)
	return w
}

// serveStore serves the store at an address of its own for a host, and counts the host's watches.
func (w *world) serveStore(h *host) error {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.storeAddr = l.Addr().String()
	handler := http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.PathWatch {
			h.watches.Add(1)
		}
		w.store.ServeHTTP(out, r)
	})
	go func() {
		s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
		_ = s.Serve(l)
	}()
	return nil
}

// zones are those of all installations.
var zones = []string{"a", "b", "c"}

// addHosts creates a number of hosts in three zones, without starting them.
func (w *world) addHosts(n int) error {
	for i := range n {
		address := fmt.Sprintf("%s.%d", w.network, 10+i)
		w.hosts = append(w.hosts, &host{name: fmt.Sprintf("front-%d", i), zone: zones[i%len(zones)], address: address, world: w})
	}
	var seeds []string
	for _, h := range w.hosts[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h.address, portPeers))
	}
	for _, h := range w.hosts {
		if err := w.serveStore(h); err != nil {
			return err
		}
		if err := h.writeSettings(seeds); err != nil {
			return err
		}
	}
	return nil
}

// startHosts starts all hosts and waits until they are ready.
func (w *world) startHosts() error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server.
func (w *world) addServer(id, service, zone string, slots int, a answer) error {
	s := &server{id: id, service: service, zone: zone, slots: slots, answer: a, world: w}
	w.servers = append(w.servers, s)
	return s.start()
}

// configure writes a new desired state with the next version.
func (w *world) configure(c config) {
	w.version++
	c.Version = w.version
	w.store.Put(wire.KeyConfig, fill("config.json.tmpl", c))
	w.record.printf("the store has acknowledged version %d of the desired state", c.Version)
}

// say writes a line to the record and to the standard output.
func (w *world) say(format string, args ...any) {
	w.record.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.command != nil && h.runs() {
			h.kill()
		}
	}
}

// errBroken means that the rule of a case was broken.
var errBroken = errors.New("the rule is broken")
