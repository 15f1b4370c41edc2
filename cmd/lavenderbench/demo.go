package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"lavenderrack.example/lavenderrack/lavdemo"

	"github.com/google/subcommands"
)

// demoCommand runs a complete system on loopback addresses, injects faults and
// reports how callers were affected.
type demoCommand struct {
	seed     uint64
	duration time.Duration
	json     bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a complete system on loopback and inject faults" }

func (*demoCommand) Usage() string {
	return `demo [-seed N] [-duration D] [-json]
  Start 6 entry hosts, 16 engines, 3 order servers and stand-ins for the platform's
  services on loopback, send mixed load, inject faults, and report the results that
  callers got. Ends within a minute. Exits with 1 if a guarantee was violated.

`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "random seed `N` for the load and the faults")
	f.DurationVar(&c.duration, "duration", lavdemo.DefaultDuration, "duration `D` of the load phase")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object on standard output")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.duration < lavdemo.MinDuration || c.duration > lavdemo.MaxDuration {
		fmt.Fprintf(os.Stderr, "-duration %v: want from %v to %v\n", c.duration, lavdemo.MinDuration, lavdemo.MaxDuration)
		return subcommands.ExitUsageError
	}
	report, err := lavdemo.Run(ctx, lavdemo.Options{Seed: c.seed, Duration: c.duration, Progress: os.Stderr})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := c.printReport(report); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if len(report.Broken) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) printReport(report *lavdemo.Report) error {
	if !c.json {
		return report.WriteTable(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
