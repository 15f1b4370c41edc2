// Package lavreload receives SIGHUP, which asks a host to read its settings again, from as early
// in the process as Go allows.
//
// Without a handler SIGHUP ends a process. The service manager may send it at any time, also while
// the process starts. Most of a start is the initialisation of packages, in the order of their paths
// once what they import is initialised. This package imports nothing but what the handler
// needs, so that it comes before nearly all others.
package lavreload

import (
	"os"
	"os/signal"
	"syscall"
)

// requests has room for one: whoever receives it reads the newest settings.
var requests = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Requests returns the channel that receives SIGHUP.
func Requests() <-chan os.Signal { return requests }

// Stop makes SIGHUP end the process again, as it does by default.
func Stop() { signal.Stop(requests) }
