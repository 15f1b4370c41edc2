//go:build review

package main

import (
	"context"
	"net/http"
	"strings"
	"time"
)

// Figures of the cases with entries of another writer.
const (
	foreignWrites   = 5
	foreignInterval = time.Second
)

// foreignRoute lets another writer write to the entry of a server of one service. The entry lacks two fields
// and says that the server belongs to another service. It names no server to use. It judges whether the
// server runs requests of that other service.
func foreignRoute(w *world) error {
	if err := w.startTwoServices(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	pay := &consumers{world: w, method: http.MethodPost, target: "/pay/1", limit: 1500 * time.Millisecond}
	look := &consumers{world: w, method: http.MethodGet, target: "/look/1", limit: 1500 * time.Millisecond}
	groups := []interface{ Wait() }{pay.run(ctx, 20, 20), look.run(ctx, 20, 20)}
	victim := w.servers[0]
	time.Sleep(5 * time.Second)
	for range foreignWrites {
		if w.trouble {
			w.writeForeign(victim, "shop")
		}
		time.Sleep(foreignInterval)
	}
	time.Sleep(2 * time.Second)
	stop()
	for _, g := range groups {
		g.Wait()
	}
	return w.judgeRoute()
}

// startTwoServices starts an installation with two services.
func (w *world) startTwoServices() error {
	c := newConfig()
	c.add(service{Name: "glyph", Channels: plainChannels}, plainRoute("/look/", kindSafe, 2))
	c.add(service{Name: "shop", Channels: plainChannels}, plainRoute("/pay/", kindUnsafe, 1))
	w.configure(c)
	for _, name := range []string{"glyph", "shop"} {
		for _, zone := range zones {
			if err := w.addServer(name+"-"+zone, name, zone, 6, answerAfter(60*time.Millisecond)); err != nil {
				return err
			}
		}
	}
	if err := w.addHosts(6); err != nil {
		return err
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// writeForeign writes to the entry of a server as another writer, without two of the fields: that the server is
// ready, and of a service.
func (w *world) writeForeign(s *server, of string) {
	e := entry{Service: of, Address: s.addr, Zone: s.zone, State: "ready", Slots: s.slots, Seq: 1}
	w.store.Put(wire.PrefixServers+s.id, e.encode())
	w.record.printf("another writer has written the entry of %s: %s", s.id, e.encode())
}

// judgeRoute judges ROUTE: a request was run by a service to which no desired state allows it to go.
func (w *world) judgeRoute() error {
	allowed := map[string]string{"/look/": "glyph", "/pay/": "shop"}
	wrong := 0
	for _, s := range w.servers {
		for _, a := range s.taken() {
			for prefix, name := range allowed {
				if strings.HasPrefix(a.target, prefix) && a.service != name {
					wrong++
				}
			}
		}
	}
	w.say("%d requests were run by the service of another route", wrong)
	if wrong > 0 {
		return errBroken
	}
	return nil
}

// Times of the case foreignDrain.
const (
	drainTime = 2 * time.Second
	// servesOn is how long the server goes on after drain_ms, "at times many seconds".
	servesOn = 8 * time.Second
)

// foreignDrain lets a server say that it is draining. Later another writer writes to its entry, without two
// fields, that it is ready. It judges whether the server gets requests later than drain_ms after the store
// has acknowledged that it is draining.
func foreignDrain(w *world) error {
	if err := w.startTwoServices(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	look := &consumers{world: w, method: http.MethodGet, target: "/look/1", limit: 1500 * time.Millisecond}
	group := look.run(ctx, 20, 20)
	s := w.servers[0]
	time.Sleep(5 * time.Second)
	s.setState("draining")
	drained := time.Now()
	time.Sleep(drainTime + time.Second)
	for range foreignWrites {
		if w.trouble {
			w.writeForeign(s, s.service)
		}
		time.Sleep(foreignInterval)
	}
	time.Sleep(servesOn - foreignWrites*foreignInterval)
	stop()
	group.Wait()
	return w.judgeDrain(s, drained, look, nil)
}
