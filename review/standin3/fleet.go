//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// hostCount is the number of entry hosts of a small deployment.
	hostCount = 6
	// settleTime is how long the hosts run before a disruption, so that all are in touch.
	settleTime = 6 * time.Second
)

// fleet is all parts of a drill.
type fleet struct {
	trouble   bool
	dir       string
	record    *record
	store     *store
	hosts     []*host
	endpoints []*endpoint
	callers   []*caller
	callersUp sync.WaitGroup
	stop      context.CancelFunc
	version   int
}

func newFleet(ctx context.Context, recordPath string, trouble bool) (*fleet, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{trouble: trouble, dir: dir, record: r, store: newStore(), stop: func() {}}
	f.hosts, err = newHosts(ctx, dir, hostCount, f.store)
	return f, err
}

// publish writes a new version of the desired state, and returns when the store acknowledged it.
func (f *fleet) publish(s state) (time.Time, error) {
	f.version++
	value, err := s.encode(f.version)
	if err != nil {
		return time.Time{}, err
	}
	at := f.store.put(wire.KeyState, value)
	f.record.say("operator writes version %d of %d bytes, keys %v", f.version, len(value), s.keys)
	return at, nil
}

// start starts the endpoints and the hosts, and waits until all are in touch.
func (f *fleet) start(ctx context.Context, endpoints int) error {
	for i := range endpoints {
		e, err := startEndpoint(ctx, fmt.Sprintf("e%d", i+1), service, string(rune('a'+i%3)), f.store, f.record)
		if err != nil {
			return err
		}
		f.endpoints = append(f.endpoints, e)
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return err
		}
	}
	f.record.say("%d hosts are ready", len(f.hosts))
	return nil
}

// call starts callers.
func (f *fleet) call(ctx context.Context, callers ...*caller) {
	ctx, stop := context.WithCancel(ctx)
	before := f.stop
	f.stop = func() { stop(); before() }
	f.callers = append(f.callers, callers...)
	for _, c := range callers {
		f.callersUp.Go(func() { c.run(ctx) })
	}
}

// stopCallers ends all callers.
func (f *fleet) stopCallers() {
	f.stop()
	f.callersUp.Wait()
}

// close ends all that the drill has started. With KEEP set it keeps the logs of the hosts.
func (f *fleet) close() {
	f.stopCallers()
	for _, h := range f.hosts {
		h.kill()
	}
	for _, e := range f.endpoints {
		e.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
