// Command lavenderbench runs stand-ins, which simulate external systems such as the
// store and the engines. It also runs a demo and sends load to a running system.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() { os.Exit(run()) }

func run() int {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&standinCommand{}, "")
	subcommands.Register(&demoCommand{}, "")
	subcommands.Register(&loadCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(subcommands.Execute(ctx))
}
