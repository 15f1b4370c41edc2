//go:build review

package main

import (
	"context"
	"slices"
	"time"
)

// Figures of case 15.
const (
	// rollbackUsual is the usual traffic, in requests a second. In the burst it is burstFactor times as much.
	rollbackUsual = 16
	// rollbackSettle is the time before the burst. It is longer than a host withholds its part of the retry burst.
	rollbackSettle = 20 * time.Second
	// movedAfter is how long after the beginning of the burst the operator moves the route to another service, and
	// movedFor how long it stays there.
	movedAfter, movedFor = 4 * time.Second, 2 * time.Second
	// otherService is the service to which the route is moved by mistake. It has no servers.
	otherService = "shop-api-next"
)

// playRollback moves a route to another service and back while the servers of the first one are full.
func playRollback(ctx context.Context, r *record, trouble bool) (bool, error) {
	w, err := newWorld(ctx, r)
	if err != nil {
		return false, err
	}
	defer w.close()
	lookup := route{name: "r-lookup", prefix: "/lookup/", kind: "safe", timeoutMS: 4000, goalMS: 300, attempts: 3}
	if err := w.configure(1, 0, 0, lookup); err != nil {
		return false, err
	}
	for i := range 3 {
		if err := w.startServer(i, 6, 2, 900*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	if err := w.startHosts(retryHosts, usualBounds()); err != nil {
		return false, err
	}
	if err := w.awaitReady(ctx); err != nil {
		return false, err
	}
	start := time.Now()
	rate := func(since time.Duration) float64 {
		if since >= rollbackSettle && since < rollbackSettle+burstTime {
			return rollbackUsual * burstFactor
		}
		return rollbackUsual
	}
	moves := make(chan error, 1)
	go func() { moves <- w.moveAndBack(start.Add(rollbackSettle+movedAfter), lookup, trouble) }()
	calls := w.pressServers(ctx, rate, rollbackSettle+burstTime+2*time.Second)
	if err := <-moves; err != nil {
		return false, err
	}
	return w.judgeRetries(w.callsFor(calls, trouble), usualBounds(), start), ctx.Err()
}

// moveAndBack moves a route to another service at a time, and back.
func (w *world) moveAndBack(at time.Time, r route, trouble bool) error {
	time.Sleep(time.Until(at))
	if !trouble {
		return nil
	}
	if err := w.configureFor(otherService, 2, 0, 0, r); err != nil {
		return err
	}
	w.movedAt = time.Now()
	time.Sleep(movedFor)
	w.backAt = time.Now()
	return w.configure(3, 0, 0, r)
}

// callsFor returns the calls that were sent while their route led to the service. Those of the moments in which either
// version may be in force are among them.
func (w *world) callsFor(calls []call, trouble bool) []call {
	if !trouble {
		return calls
	}
	const inForceWithin = 2 * time.Second
	return slices.DeleteFunc(calls, func(c call) bool {
		return c.sentAt.After(w.movedAt.Add(inForceWithin)) && c.sentAt.Before(w.backAt)
	})
}
