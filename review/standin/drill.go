//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/platform/standin"
)

// Timing of the drill.
const (
	// beforeDrain is the time between the copy and the report of the server that it drains.
	beforeDrain = 300 * time.Millisecond
	// drainingTime is how long the server has drained when the store goes away. It exceeds
	// drainTime.
	drainingTime = 3 * time.Second
	// awayTime is how long the store refuses calls.
	awayTime = 300 * time.Millisecond
	// afterDrill is how long the case goes on after the store has come back.
	afterDrill = 4 * time.Second
)

// lookupsPerSecond is the traffic of the drill.
const lookupsPerSecond = 12

// drillRounds is how many servers leave, one after the other, each with a drill of its own. The case
// ends with the first round in which the rule is broken.
const drillRounds = 8

// drillWhileDraining lets the store come back from a copy that is older than a server's report that
// it drains. The server writes its entry again with its next heartbeat.
func drillWhileDraining(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	if err := d.prepare(ctx, 4, func(*server) {}); err != nil {
		return nil, err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	sending := d.traffic(trafficCtx, lookupsPerSecond, pathLookup, nil)
	defer sending.Wait()
	defer stop()
	for round := range drillRounds {
		d.record.add("round %d", round+1)
		broken, err := d.drillRound(ctx, d.servers[round], trouble)
		if len(broken) > 0 || err != nil {
			return broken, err
		}
	}
	return nil, nil
}

// drillRound lets one server leave. Another one takes its place.
func (d *deployment) drillRound(ctx context.Context, leaving *server, trouble bool) ([]string, error) {
	leaving.awaitHeartbeat(ctx)
	older := d.copyStore()
	if err := pause(ctx, beforeDrain); err != nil {
		return nil, err
	}
	acked := leaving.drain()
	if err := pause(ctx, drainingTime); err != nil {
		return nil, err
	}
	leaving.awaitHeartbeat(ctx)
	if trouble {
		d.drill(older)
	}
	if err := pause(ctx, afterDrill); err != nil {
		return nil, err
	}
	broken := d.checkDraining(leaving, acked)
	leaving.shut()
	d.unregister(leaving.id)
	if _, err := d.newServer(ctx, leaving.zone); err != nil {
		return nil, err
	}
	return broken, pause(ctx, contactTime)
}

// storeCopy is a copy of the store and of what the servers had written then.
type storeCopy struct {
	store   *standin.StoreCopy
	entries map[string]string
}

func (d *deployment) copyStore() storeCopy {
	d.mu.Lock()
	defer d.mu.Unlock()
	entries := make(map[string]string, len(d.entries))
	for id, entry := range d.entries {
		entries[id] = entry
	}
	d.record.add("the store is copied")
	return storeCopy{store: d.store.Copy(), entries: entries}
}

// drill makes the store refuse calls for awayTime and come back from a copy. The desired state is in
// the copy. The servers write what is lost with their next heartbeats.
func (d *deployment) drill(older storeCopy) {
	d.record.add("the store goes away")
	d.store.SetMode(standin.ModeBusy)
	d.setAway(true)
	time.Sleep(awayTime)
	d.mu.Lock()
	d.store.Restore(older.store)
	d.entries = older.entries
	d.mu.Unlock()
	d.record.add("the store comes back from the copy")
	d.setAway(false)
	d.store.SetMode(standin.ModeUp)
}

// checkDraining returns the requests that have reached a draining server from hosts that have read
// that it drains, later than drainTime after that.
func (d *deployment) checkDraining(s *server, acked time.Time) []string {
	var broken []string
	for _, a := range d.runs() {
		if a.server != s.id || a.at.Before(acked.Add(drainTime)) {
			continue
		}
		text := fmt.Sprintf("at %s request %s reached server %s from host %s; the store had acknowledged at %s that the server drains",
			d.record.at(a.at), a.id, a.server, a.via, d.record.at(acked))
		read, known := d.hostNamed(a.via).readDrainingAt(s.id)
		if !known || a.at.Before(read.Add(drainTime)) {
			d.record.add("not counted, as the host has not read it itself: %s", text)
			continue
		}
		broken = append(broken, "DRAIN: "+text+", and the host had read it at "+d.record.at(read))
	}
	return broken
}

func (d *deployment) hostNamed(name string) *host {
	for _, h := range d.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}
