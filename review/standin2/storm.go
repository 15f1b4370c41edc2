//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Figures of the case storm.
const (
	// idleRoutes are those of the site, and twice the most that one change adds.
	idleRoutes = 110 + 2*1600
	// stormVersions desired states follow each other at stormInterval.
	stormVersions = 25
	stormInterval = 60 * time.Millisecond
	// applyTime is config_apply_ms of the settings.
	applyTime = 2 * time.Second
	// revokedTime is how long the consumers go on after the last version. The store drops no history
	// meanwhile.
	revokedTime = 15 * time.Second
	revokedKey  = "key-2"
)

// storm changes a large desired state in quick succession. The last version takes a key away. It judges
// whether requests with that key run that were sent later than config_apply_ms after the ack of that version.
func storm(w *world) error {
	c := newConfig()
	c.add(service{Name: "glyph", Channels: plainChannels}, plainRoute("/look/", kindSafe, 2))
	c.Keys = []string{apiKey, revokedKey}
	c.Idle = idleRouteText("glyph")
	if err := w.startOneService(c); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	kept := &consumers{world: w, method: http.MethodGet, target: "/look/1", limit: 1500 * time.Millisecond}
	revoked := &consumers{world: w, method: http.MethodGet, target: "/look/2", limit: 1500 * time.Millisecond, key: revokedKey}
	groups := []interface{ Wait() }{kept.run(ctx, 30, 30), revoked.run(ctx, 30, 30)}
	time.Sleep(5 * time.Second)
	if w.trouble {
		for range stormVersions - 1 {
			next := time.After(stormInterval)
			w.configure(c)
			<-next
		}
	}
	c.Keys = []string{apiKey}
	w.configure(c)
	acked := time.Now()
	w.record.printf("the last version has no key %s", revokedKey)
	time.Sleep(revokedTime)
	end := time.Now()
	stop()
	for _, g := range groups {
		g.Wait()
	}
	w.reportShare("with the key that was kept", kept, acked, end)
	return w.judgeRevoked(revoked, acked.Add(applyTime))
}

// startOneService starts an installation with one service.
func (w *world) startOneService(c config) error {
	w.configure(c)
	for _, zone := range zones {
		if err := w.addServer("glyph-"+zone, "glyph", zone, 6, answerAfter(60*time.Millisecond)); err != nil {
			return err
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

// idleRoute is a route without requests.
type idleRoute struct{ Name, Host, Path, Service string }

// idleRouteText returns the text of idleRoutes routes to a service.
func idleRouteText(service string) string {
	draw := rand.New(rand.NewPCG(1, 2))
	word := func() string { return fmt.Sprintf("%08x", draw.Uint32()) }
	routes := make([]idleRoute, idleRoutes)
	for i := range routes {
		routes[i] = idleRoute{Name: word(), Host: word(), Path: word(), Service: service}
	}
	return fill("idle.json.tmpl", routes)
}

// judgeRevoked judges CONFIG: requests ran with a key that no desired state in force has, although they were
// sent after a time.
func (w *world) judgeRevoked(c *consumers, after time.Time) error {
	late := 0
	var last time.Duration
	for _, s := range w.servers {
		for _, a := range s.taken() {
			if sent := c.attempt(a.id).at; sent.After(after) {
				late++
				last = max(last, sent.Sub(after))
			}
		}
	}
	w.say("%d requests with the revoked key ran that were sent later than config_apply_ms after the ack, the last one %v later", late, last)
	if late > 0 {
		return errBroken
	}
	return nil
}
