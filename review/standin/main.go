//go:build review

// Command standin runs one case of the review: it starts a small deployment on loopback, with
// stand-ins for the store, the servers and the consumers and with real entry hosts, disturbs it,
// and checks one rule by what consumers and servers have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseTimeout ends a case that takes too long.
const caseTimeout = 115 * time.Second

// scenario runs a case and returns how often the rule was broken, as a text for each time.
type scenario func(ctx context.Context, d *deployment, trouble bool) (broken []string, err error)

// scenarios are the cases by their names.
var scenarios = map[string]scenario{
	"unstamped": unstampedSuccess,
	"restart":   restartAfterBlock,
	"drill":     drillWhileDraining,
	"sameid":    restartUnderSameID,
	"silence":   silenceDuringStop,
}

func main() {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/lavenderrack", "program of the entry hosts")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether there is the disruption")
	keep := flag.String("logs", "", "directory in which the hosts' logs are kept")
	flag.Parse()
	os.Exit(run(*name, *binary, *recordPath, *keep, *trouble))
}

func run(name, binary, recordPath, logs string, trouble bool) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitCannotRun
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer r.close()
	// A signal ends the case, so that the hosts' processes are ended, too.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	r.add("case %s, disruption: %v", name, trouble)
	d, err := newDeployment(ctx, binary, logs, r)
	if err != nil {
		r.add("could not run: %v", err)
		return exitCannotRun
	}
	defer d.close()
	broken, err := play(ctx, d, trouble)
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		return exitCannotRun
	case len(broken) > 0:
		for _, text := range broken {
			r.add("BROKEN %s", text)
		}
		fmt.Printf("rule broken, %d times\n", len(broken))
		return exitBroken
	default:
		r.add("the rule held")
		fmt.Println("rule held")
		return exitHeld
	}
}
