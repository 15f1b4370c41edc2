//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases are the cases by their names. A case returns errBroken if its rule was broken.
var cases = map[string]func(w *world) error{
	"burst":         burst,
	"recover":       recoverAfterKill,
	"blamed":        blamed,
	"watchers":      watchers,
	"storm":         storm,
	"foreign-route": foreignRoute,
	"foreign-drain": foreignDrain,
}

// Results of a case, which are the exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(play(os.Args[1:])) }

// play runs the case with a name, and writes its record to a file. The program is run from the root of
// the repository.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitNotRun
	}
	if err := playCase(cases[args[0]], args[1]); errors.Is(err, errBroken) {
		fmt.Println(err)
		return exitBroken
	} else if err != nil {
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	fmt.Println("the rule held")
	return exitHeld
}

func playCase(c func(w *world) error, recordPath string) error {
	r, err := newRecord(recordPath)
	if err != nil {
		return err
	}
	defer func() { _ = r.close() }()
	program, err := filepath.Abs("target/lavenderrack")
	if err != nil {
		return err
	}
	dir := os.Getenv("REVIEW_DIR")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	w := newWorld(program, dir, os.Getenv("TROUBLE") != "0", r)
	defer w.close()
	w.closeOnSignal()
	err = c(w)
	if err != nil {
		r.printf("result: %v", err)
	}
	return err
}

// closeOnSignal ends all processes if this one is told to end.
func (w *world) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
}
