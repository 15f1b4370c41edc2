package main

import (
	"context"
	"flag"
	"io"
	"os"

	"lavenderrack.example/lavenderrack/lavcause"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// standardInput is the name that stands for standard input in place of a file.
const standardInput = "-"

// causesCommand shows by route what requests missed, and why.
type causesCommand struct {
	output
	stdin io.Reader
}

func (*causesCommand) Name() string     { return "causes" }
func (*causesCommand) Synopsis() string { return "show why requests were late, refused or failed" }
func (*causesCommand) Usage() string {
	return `causes [-format FORMAT] FILE...
  Read the log lines of hosts and show by route how many requests were in time, late,
  refused or failed, where the time went, and how late they were. - is standard input.
  Lines that are not of a request are skipped; those of older hosts count as unknown.

`
}

func (c *causesCommand) SetFlags(f *flag.FlagSet) { c.formatFlag(f) }

func (c *causesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.usageError("causes: want at least one file with the lines of hosts, or - for standard input")
	}
	var table lavcause.Table
	for _, name := range f.Args() {
		if err := c.readFile(name, &table); err != nil {
			return c.fail(errors.Wrap(err, name), subcommands.ExitFailure)
		}
	}
	if err := c.print(table.Rows(), table.WriteText); err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	return subcommands.ExitSuccess
}

// readFile adds the lines of a file to a table.
func (c *causesCommand) readFile(name string, table *lavcause.Table) error {
	if name == standardInput {
		return lavcause.ReadLines(c.stdin, table.Add)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return lavcause.ReadLines(file, table.Add)
}
