//go:build review

package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Figures of the case burst. The sheets' largest bursts are of 2.5 to 2.9 times the usual traffic, for up to
// 9.5 s.
const (
	firstPerSecond = 10
	laterPerSecond = 26
	burstFactor    = 2.5
	burstTime      = 9 * time.Second
	// calmTime is how long after the burst nothing is judged.
	calmTime   = 8 * time.Second
	judgedTime = 20 * time.Second
)

// burst adds a route to a service whose servers are cold after a start, as many of an installation are. Then
// many users come at once to that route, and leave again. It judges how often the route is served in the
// steady state after that, against a route that was there from the beginning.
func burst(w *world) error {
	if err := w.startBurst(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	first := &consumers{world: w, method: http.MethodGet, target: "/first/1", limit: 1500 * time.Millisecond}
	later := &consumers{world: w, method: http.MethodGet, target: "/later/1", limit: 1500 * time.Millisecond}
	begin := time.Now()
	groups := []interface{ Wait() }{first.run(ctx, 20, firstPerSecond), later.run(ctx, 60, laterPerSecond)}
	time.Sleep(10 * time.Second)
	disturbed := time.Now()
	if w.trouble {
		w.record.printf("burst: %v times the traffic of the later route for %v", burstFactor, burstTime)
		burstCtx, end := context.WithTimeout(ctx, burstTime)
		defer end()
		groups = append(groups, later.run(burstCtx, 90, laterPerSecond*(burstFactor-1)))
	}
	time.Sleep(burstTime + calmTime)
	judged := time.Now()
	time.Sleep(judgedTime)
	end := time.Now()
	stop()
	for _, g := range groups {
		g.Wait()
	}
	w.reportShare("first route before", first, begin, disturbed)
	w.reportShare("later route before", later, begin, disturbed)
	w.reportShare("first route afterwards", first, judged, end)
	w.reportShare("later route afterwards", later, judged, end)
	return judgeLaterRoute(first, later, judged, end)
}

// startBurst starts the installation with one route, and adds the other one.
func (w *world) startBurst() error {
	c := newConfig()
	c.add(service{Name: "first", Channels: plainChannels}, plainRoute("/first/", kindSafe, 2))
	w.configure(c)
	for _, zone := range zones {
		for _, name := range []string{"first", "later"} {
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
	c.add(service{Name: "later", Channels: plainChannels, Warmup: warmup, WarmupPerSecond: warmupPerSecond},
		plainRoute("/later/", kindSafe, 2))
	w.configure(c)
	time.Sleep(3 * time.Second)
	return nil
}

// reportShare writes to the record how many of the requests of a span were served.
func (w *world) reportShare(name string, c *consumers, from, until time.Time) {
	all, served := c.share(from, until)
	w.say("%s: %d of %d requests served", name, served, all)
}

// minJudged is how many requests the rule asks for.
const minJudged = 20

// judgeLaterRoute judges CONFIG: a route that was added later is served less than a quarter as often.
func judgeLaterRoute(first, later *consumers, from, until time.Time) error {
	allFirst, servedFirst := first.share(from, until)
	allLater, servedLater := later.share(from, until)
	switch {
	case allFirst == 0 || servedFirst == 0 || allLater < minJudged:
		return errors.New("too few requests to judge by")
	case 4*servedLater*allFirst < servedFirst*allLater:
		return errBroken
	default:
		return nil
	}
}
