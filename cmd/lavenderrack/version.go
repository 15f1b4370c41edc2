package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"
)

// versionCommand prints the version of the program.
type versionCommand struct{ output }

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the program's version" }
func (*versionCommand) Usage() string {
	return "version\n  Print the versions of the program and of Go.\n\n"
}
func (c *versionCommand) SetFlags(f *flag.FlagSet) { c.formatFlag(f) }

// versionResult is the JSON output of version.
type versionResult struct {
	Version  string
	Revision string
	Go       string
}

func (c *versionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.usageError("version: %v", err)
	}
	result := versionOf()
	err := c.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, "lavenderrack", result.Version, result.Revision, result.Go)
		return err
	})
	if err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	return subcommands.ExitSuccess
}

func versionOf() versionResult {
	result := versionResult{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return result
	}
	result.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == settingRevision {
			result.Revision = s.Value
		}
	}
	return result
}
