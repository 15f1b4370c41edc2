//go:build review

package main

import (
	"context"
	"net/http"
	"strings"
	"time"
)

const (
	// stormRoutes is the number of idle routes: those of a small deployment, and twice the most that
	// one change adds. The desired state is then smaller than a value of the store may be.
	stormRoutes = 110 + 2*1600
	// stormCount versions follow each other at stormInterval.
	stormCount    = 25
	stormInterval = 60 * time.Millisecond
	// applyTime is the rule's bound, config_apply_ms of the settings.
	applyTime = 2 * time.Second
	// observeTime is how long callers send on after the last version.
	observeTime = 15 * time.Second
)

// drillStorm publishes large desired states in quick succession, of which the last one takes a key away.
// It counts the requests with that key that run although they were sent later than applyTime after the
// store has acknowledged the last version.
func drillStorm(ctx context.Context, f *fleet) (int, error) {
	both := state{idleRoutes: stormRoutes, keys: []string{keptKey, revokedKey}}
	if _, err := f.publish(both); err != nil {
		return 0, err
	}
	if err := f.start(ctx, 4); err != nil {
		return 0, err
	}
	for _, h := range f.hosts {
		f.call(ctx, newCaller("kept-"+h.Name, http.MethodGet, safePath, keptKey, h, 100*time.Millisecond, f.record),
			newCaller("gone-"+h.Name, http.MethodGet, safePath, revokedKey, h, 100*time.Millisecond, f.record))
	}
	time.Sleep(settleTime)
	if f.trouble {
		for range stormCount - 1 {
			next := time.After(stormInterval)
			if _, err := f.publish(both); err != nil {
				return 0, err
			}
			<-next
		}
	}
	ackedAt, err := f.publish(state{idleRoutes: stormRoutes, keys: []string{keptKey}})
	if err != nil {
		return 0, err
	}
	f.record.say("the store has acknowledged that the second key is taken away")
	time.Sleep(observeTime)
	f.stopCallers()
	return f.countRevoked(ackedAt.Add(applyTime)), nil
}

// countRevoked returns how many requests with the revoked key ran that were sent after a time.
func (f *fleet) countRevoked(after time.Time) int {
	late := 0
	for _, e := range f.endpoints {
		for _, r := range e.runsAfter(after) {
			if !strings.HasPrefix(r.request, "gone-") || !f.sentAfter(r.request, after) {
				continue
			}
			late++
			f.record.say("late: %s with the key that was taken away ran at %s %.3f s after the bound, from host %s", r.request, e.id, r.at.Sub(after).Seconds(), r.host)
		}
	}
	return late
}

// sentAfter reports whether a request was sent after a time.
func (f *fleet) sentAfter(id string, after time.Time) bool {
	for _, c := range f.callers {
		if at, ok := c.sentTime(id); ok {
			return at.After(after)
		}
	}
	return false
}
