//go:build review

package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Figures of the case recover.
const (
	recoverTime = 12 * time.Second
	// restartTime is how long after its end a process is started again.
	restartTime = time.Second
)

// recoverAfterKill kills all hosts at once. When they are back, many users come at once. It judges how many
// requests are served later than recover_s after that.
func recoverAfterKill(w *world) error {
	if err := w.startBurst(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	all := &consumers{world: w, method: http.MethodGet, target: "/later/1", limit: 1500 * time.Millisecond}
	begin := time.Now()
	groups := []interface{ Wait() }{all.run(ctx, 60, laterPerSecond)}
	time.Sleep(10 * time.Second)
	fault := time.Now()
	if w.trouble {
		if err := w.killAll(); err != nil {
			return err
		}
		w.record.printf("burst: %v times the traffic for %v", burstFactor, burstTime)
		burstCtx, end := context.WithTimeout(ctx, burstTime)
		defer end()
		groups = append(groups, all.run(burstCtx, 90, laterPerSecond*(burstFactor-1)))
	}
	back := time.Now()
	time.Sleep(recoverTime + judgedTime)
	end := time.Now()
	stop()
	for _, g := range groups {
		g.Wait()
	}
	w.reportShare("before the fault", all, begin, fault)
	w.reportShare("later than recover_s after the hosts were back", all, back.Add(recoverTime), end)
	return judgeRecovery(all, begin, fault, back.Add(recoverTime), end)
}

// killAll kills all hosts at the same moment, and starts them again.
func (w *world) killAll() error {
	for _, h := range w.hosts {
		go h.kill()
	}
	time.Sleep(restartTime)
	return w.startHosts()
}

// judgeRecovery judges RECOVER: less than a quarter is served, though a quarter or more was before.
func judgeRecovery(c *consumers, begin, fault, from, until time.Time) error {
	allBefore, servedBefore := c.share(begin, fault)
	allAfter, servedAfter := c.share(from, until)
	switch {
	case allAfter == 0 || 4*servedBefore < allBefore:
		return errors.New("too few requests were served before the fault")
	case 4*servedAfter < allAfter:
		return errBroken
	default:
		return nil
	}
}
