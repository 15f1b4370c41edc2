//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// storePort is the port of the store at the address that it has for each host.
const storePort = 8223

// storeItem is an entry as the store sends it.
type storeItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// startStore serves the store at an address for each host, so that the store can tell which host
// reads what.
func (d *deployment) startStore(ctx context.Context, h *host) error {
	var config net.ListenConfig
	h.storeAddr = netip.AddrPortFrom(loopback(200+byte(h.number)), storePort)
	l, err := config.Listen(ctx, "tcp4", h.storeAddr.String())
	if err != nil {
		return err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serveStore(w, r, h) })
	served := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	d.storeServers = append(d.storeServers, served)
	d.background.Go(func() { _ = served.Serve(l) })
	return nil
}

// serveStore answers a call of a host and records which servers the host has read to be draining.
func (d *deployment) serveStore(w http.ResponseWriter, r *http.Request, h *host) {
	copied := &copiedResponse{ResponseWriter: w}
	d.store.ServeHTTP(copied, r)
	if r.Method != http.MethodGet || copied.status != http.StatusOK {
		return
	}
	var body struct{ Events, Items []storeItem }
	if json.Unmarshal(copied.body.Bytes(), &body) != nil {
		return
	}
	for _, i := range append(body.Events, body.Items...) {
		if id, ok := strings.CutPrefix(i.Key, wire.PrefixServers); ok {
			h.recordEntry(id, string(i.Value))
		}
	}
}

// copiedResponse keeps a copy of what is written.
type copiedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (c *copiedResponse) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *copiedResponse) Write(p []byte) (int, error) {
	c.body.Write(p)
	return c.ResponseWriter.Write(p)
}

// recordEntry records that the host has read the entry of a server.
func (h *host) recordEntry(id, entry string) {
	draining := strings.Contains(entry, `"state":"draining"`)
	h.d.record.add("host %s reads from the store: server %s, draining: %v", h.name, id, draining)
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.readDraining[id]; draining && !known {
		h.readDraining[id] = time.Now()
	}
}

// readDrainingAt returns when the host first read that a server is draining.
func (h *host) readDrainingAt(id string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.readDraining[id]
	return at, ok
}
