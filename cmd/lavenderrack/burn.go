package main

import (
	"context"
	"flag"

	"lavenderrack.example/lavenderrack/lavburn"

	"github.com/google/subcommands"
)

// burnCommand shows the burn report: how fast the error budgets of the service-level
// objectives are used up.
type burnCommand struct {
	output
	admin string
}

func (*burnCommand) Name() string     { return "burn" }
func (*burnCommand) Synopsis() string { return "show the service-level burn of the fleet" }
func (*burnCommand) Usage() string {
	return `burn -admin ADDR
  Show how fast the error budgets of the service-level objectives are used up.
  The host with the given admin address combines the reports of all hosts.
  -format html prints an HTML page.

`
}

func (c *burnCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.admin, "admin", "", "admin `ADDRESS` of any entry host")
	f.StringVar(&c.format, "format", "text", "output `FORMAT`: text, json or html")
}

func (c *burnCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	html := c.format == "html"
	if html {
		c.format = "text"
	}
	if err := c.checkFlags(f); err != nil {
		return c.usageError("burn: %v", err)
	}
	if c.admin == "" {
		return c.usageError("burn: want -admin ADDR")
	}
	admins, err := addresses("admin", c.admin)
	if err != nil || len(admins) != 1 {
		return c.usageError(`burn: -admin %q: want one address with a port, such as "10.0.0.1:8082"`, c.admin)
	}
	report, err := lavburn.Fetch(ctx, newClient(), "http://"+admins[0].String())
	if err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	write := report.WriteText
	if html {
		write = report.WriteHTML
	}
	if err := c.print(report, write); err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	return subcommands.ExitSuccess
}
