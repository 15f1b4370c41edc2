//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// workTime is how long an endpoint works on a request.
	workTime = 20 * time.Millisecond
	// slotCount is the number of requests that an endpoint runs at a time.
	slotCount = 16
)

// headerEntryHost is set by the callers of this program. It names the host that got the request.
const headerEntryHost = "Review-Entry-Host"

// run is a request that an endpoint has begun to work on.
type run struct {
	at                             time.Time
	request, host, endpoint, route string
}

// endpoint is a server of one service. It announces itself in the store.
type endpoint struct {
	id, service, domain string
	address             string
	store               *store
	record              *record
	server              *http.Server
	slots               chan struct{}
	startedAt           time.Time

	mu   sync.Mutex
	runs []run
}

func startEndpoint(ctx context.Context, id, service, domain string, s *store, r *record) (*endpoint, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, service: service, domain: domain, address: l.Addr().String(), store: s, record: r,
		slots: make(chan struct{}, slotCount), startedAt: time.Now(),
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(l) }()
	e.announce()
	return e, nil
}

// announce writes the endpoint's entry. A write that changes only its sequence number changes nothing in
// the store, so that one write stands for all heartbeats.
func (e *endpoint) announce() {
	value, err := json.Marshal(map[string]any{
		"backend": e.service, "address": e.address, "zone": e.domain, "version": "v1", "slots": slotCount,
		"state": "ready", wire.WarmUp: 0, "seq": 1, "born": e.startedAt.UnixMilli(),
	})
	if err == nil {
		e.store.put(wire.PrefixEndpoints+e.id, value)
	}
}

// leave removes the entry, and returns when the store acknowledged that. The endpoint serves on.
func (e *endpoint) leave() time.Time {
	return e.store.delete(wire.PrefixEndpoints + e.id)
}

func (e *endpoint) close() { _ = e.server.Close() }

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	if want := r.Header.Get(wire.Expected); want != "" && want != e.id {
		w.Header().Set(wire.NotRun, "1")
		w.Header().Set(wire.FaultyEndpoint, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	e.addRun(run{at: time.Now(), request: id, host: r.Header.Get(headerEntryHost), endpoint: e.id, route: r.URL.Path})
	time.Sleep(workTime)
	w.Header().Set(wire.Stamp, e.id+"."+id)
	w.Header().Set(wire.Load, strconv.Itoa(len(e.slots))+",0,"+strconv.Itoa(slotCount))
	_, _ = fmt.Fprintf(w, "%s ran %s of %d bytes\n", e.id, id, len(body))
}

func (e *endpoint) addRun(r run) {
	e.record.add("run %s at %s, from host %s, path %s", r.request, r.endpoint, r.host, r.route)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, r)
}

// runsAfter returns the runs that began after a time.
func (e *endpoint) runsAfter(at time.Time) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var late []run
	for _, r := range e.runs {
		if r.at.After(at) {
			late = append(late, r)
		}
	}
	return late
}
