//go:build review

// Command standin3 plays the drills of the review: it starts entry hosts as the deploy file does, with a
// store, endpoints and callers of its own on loopback addresses, and judges what they see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the drill couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// drillTimeout ends a drill that hangs.
const drillTimeout = 100 * time.Second

// drills are the drills by name.
var drills = map[string]func(context.Context, *fleet) (broken int, err error){
	"watchers": drillWatchers,
	"storm":    drillStorm,
}

func main() { os.Exit(runDrill()) }

func runDrill() int {
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 DRILL RECORD")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), drillTimeout)
	defer cancel()
	f, err := newFleet(ctx, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	broken, err := drills[os.Args[1]](ctx, f)
	switch {
	case err != nil:
		f.record.say("not run: %v", err)
		return exitNotRun
	case broken > 0:
		f.record.say("BROKEN %d times", broken)
		return exitBroken
	default:
		f.record.say("held")
		return exitHeld
	}
}
