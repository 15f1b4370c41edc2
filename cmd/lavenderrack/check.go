package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavsettings"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// checkCommand validates a settings file, a release note or a deploy file. It starts
// and publishes nothing.
type checkCommand struct {
	output
	settings string
	note     string
	store    string
	platform string
	deploy   string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check settings, a release note or a deploy file" }
func (*checkCommand) Usage() string {
	return `check -settings FILE | -note FILE [-store URL] | -platform FILE | -deploy FILE
  Check a file without starting or publishing anything. Each error is printed on
  one line with the file, line, column and the expected value. A release note is
  checked against the release in the store, or against an empty release if no
  store is given.

`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings `FILE`, JSON with comments")
	f.StringVar(&c.note, "note", "", "release note `FILE`, JSON with comments")
	f.StringVar(&c.store, "store", "", "base `URL` of the key-value service")
	f.StringVar(&c.platform, "platform", "", "settings `FILE` of a host on the platform, TOML")
	f.StringVar(&c.deploy, "deploy", "", "deploy `FILE` of the platform, TOML")
	c.formatFlag(f)
}

// checkResult is the JSON output of check.
type checkResult struct {
	OK     bool
	Faults []lavjson.Fault
}

func (c *checkCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.usageError("check: %v", err)
	}
	if c.fileCount() != 1 {
		return c.usageError("check: want one of -settings FILE, -note FILE, -platform FILE or -deploy FILE")
	}
	err := c.checkFile(ctx)
	var faults lavjson.Faults
	switch {
	case err == nil:
		return c.printResult(checkResult{OK: true, Faults: []lavjson.Fault{}})
	case errors.As(err, &faults):
		return c.printResult(checkResult{Faults: faults})
	default:
		return c.fail(err, subcommands.ExitFailure)
	}
}

// fileCount returns the number of files given by flags.
func (c *checkCommand) fileCount() int {
	count := 0
	for _, name := range []string{c.settings, c.note, c.platform, c.deploy} {
		if name != "" {
			count++
		}
	}
	return count
}

func (c *checkCommand) checkFile(ctx context.Context) error {
	switch {
	case c.settings != "":
		_, err := lavsettings.Load(c.settings)
		return err
	case c.platform != "":
		_, err := platform.LoadSettings(c.platform)
		return err
	case c.deploy != "":
		_, err := platform.LoadDeployment(c.deploy)
		return err
	default:
		return c.checkNote(ctx)
	}
}

func (c *checkCommand) checkNote(ctx context.Context) error {
	n, err := readNote(c.note)
	if err != nil {
		return err
	}
	base, err := c.baseState(ctx)
	if err != nil {
		return err
	}
	if problems := lavrelease.Check(base, &n.note); len(problems) > 0 {
		return n.faults(problems)
	}
	return nil
}

// baseState returns the release state that the note is checked against.
func (c *checkCommand) baseState(ctx context.Context) (*lavrelease.State, error) {
	if c.store == "" {
		return &lavrelease.State{}, nil
	}
	return lavrelease.Load(ctx, lavstore.NewHTTP(newClient(), c.store))
}

// printResult prints the result and returns the exit status. Faults are printed on
// standard error in text format and on standard output in JSON format.
func (c *checkCommand) printResult(result checkResult) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	output := c.output
	if !result.OK {
		status = subcommands.ExitUsageError
		if c.format != "json" {
			output.stdout = c.stderr
		}
	}
	err := output.print(result, func(w io.Writer) error {
		if result.OK {
			_, err := fmt.Fprintln(w, "ok")
			return err
		}
		_, err := fmt.Fprintln(w, lavjson.Faults(result.Faults).Error())
		return err
	})
	if err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	return status
}
