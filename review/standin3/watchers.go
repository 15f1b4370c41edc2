//go:build review

package main

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// drainTime is the rule's bound, drain_ms of the settings.
	drainTime = 2 * time.Second
	// outage is how long the killed hosts are down.
	outage = 3500 * time.Millisecond
	// leaveDelay is the time from the kill to the end of the endpoint's entry.
	leaveDelay = 100 * time.Millisecond
	// lingerTime is how long the endpoint serves after its entry has ended.
	lingerTime = 8 * time.Second
)

// drillWatchers kills half of the hosts, those that wait for changes at the store, and lets an endpoint
// leave that doesn't say so before. It counts the requests that the other hosts send to it later than
// drainTime after the store has acknowledged that it is gone.
func drillWatchers(ctx context.Context, f *fleet) (int, error) {
	if _, err := f.publish(state{idleRoutes: 110, keys: []string{keptKey}}); err != nil {
		return 0, err
	}
	if err := f.start(ctx, 4); err != nil {
		return 0, err
	}
	for _, h := range f.hosts {
		f.call(ctx, newCaller("safe-"+h.Name, http.MethodGet, safePath, keptKey, h, 40*time.Millisecond, f.record),
			newCaller("pay-"+h.Name, http.MethodPost, unsafePath, keptKey, h, 120*time.Millisecond, f.record))
	}
	time.Sleep(settleTime)
	watching := f.store.watchers(time.Now().Add(-2 * time.Second))
	f.record.say("hosts that wait for changes at the store: %v", watching)
	if len(watching) == 0 || len(watching) > hostCount/2 {
		return 0, errors.New("the drill needs hosts that don't watch")
	}
	var others []string
	for _, h := range f.hosts {
		switch {
		case !slices.Contains(watching, h.Name):
			others = append(others, h.Name)
		case f.trouble:
			h.signal(syscall.SIGKILL)
			f.record.say("SIGKILL to host %s", h.Name)
		}
	}
	time.Sleep(leaveDelay)
	leaving := f.endpoints[0]
	ackedAt := leaving.leave()
	f.record.say("endpoint %s leaves: its entry is removed, acknowledged by the store", leaving.id)
	time.Sleep(outage - leaveDelay)
	for _, h := range f.hosts {
		if f.trouble && slices.Contains(watching, h.Name) {
			h.kill()
			if err := h.start(); err != nil {
				return 0, err
			}
			f.record.say("host %s starts again", h.Name)
		}
	}
	time.Sleep(lingerTime - outage)
	f.stopCallers()
	return f.countLate(leaving, ackedAt.Add(drainTime), others), nil
}

// countLate returns how many requests ran at an endpoint after a time that came from some hosts.
func (f *fleet) countLate(e *endpoint, after time.Time, hosts []string) int {
	late := 0
	for _, r := range e.runsAfter(after) {
		if !slices.Contains(hosts, r.host) {
			continue
		}
		late++
		f.record.say("late: %s reached %s %.3f s after the bound, from host %s", r.request, e.id, r.at.Sub(after).Seconds(), r.host)
	}
	return late
}
