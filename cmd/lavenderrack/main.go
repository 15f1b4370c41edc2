// Command lavenderrack runs an entry host and provides commands for operators.
//
// Every subcommand exits with one of these codes: 0 for success, 1 for a failure, 2
// for invalid flags or an invalid file, 3 for a release note that conflicts with
// another release, 4 if it is unknown whether a release note was published.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"lavenderrack.example/lavenderrack/lavreload"

	"github.com/google/subcommands"
)

// Exit codes in addition to those of the subcommands library.
const (
	exitConflict subcommands.ExitStatus = 3
	exitUnknown  subcommands.ExitStatus = 4
)

const helpText = `lavenderrack runs an entry host of a serving layer and has commands for operators.

  lavenderrack serve -settings FILE                   run an entry host
  lavenderrack entry                                  run an entry host on the platform
  lavenderrack check -settings FILE                   check settings
  lavenderrack check -note FILE -store URL            check a release note
  lavenderrack check -platform FILE                   check settings on the platform
  lavenderrack check -deploy FILE                     check the platform's deploy file
  lavenderrack publish -note FILE -store URL          publish a release note
  lavenderrack status -store URL -admin ADDR,ADDR     show which hosts have the newest release
  lavenderrack burn -admin ADDR                       show the use of the error budgets
  lavenderrack fleet ADDR...                          show what each host on the platform is running
  lavenderrack causes FILE...                         show why requests were late, refused or failed
  lavenderrack version                                print the program's version
  lavenderrack help COMMAND                           show the flags of a command

Exit codes: 0 success, 1 failure, 2 invalid flags or file, 3 a note conflicts with
another release (Conflict), 4 unknown whether a note was published (Unknown).
`

func main() { os.Exit(run(os.Args, os.Stdout, os.Stderr)) }

// run runs the program with the given arguments and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(filepath.Base(args[0]), flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, flags.Name())
	commander.Output, commander.Error = stdout, stderr
	commander.Explain = func(w io.Writer) { _, _ = fmt.Fprint(w, helpText) }
	flags.Usage = func() { _, _ = fmt.Fprint(stderr, helpText) }
	output := output{stdout: stdout, stderr: stderr}
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&serveCommand{output: output}, "")
	commander.Register(&entryCommand{output: output}, "")
	commander.Register(&checkCommand{output: output}, "")
	commander.Register(&publishCommand{output: output}, "")
	commander.Register(&fleetCommand{output: output}, "")
	commander.Register(&causesCommand{output: output, stdin: os.Stdin}, "")
	commander.Register(&statusCommand{output: output}, "")
	commander.Register(&burnCommand{output: output}, "")
	commander.Register(&versionCommand{output: output}, "")
	if err := flags.Parse(args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	if flags.Arg(0) != entryName {
		// The other commands have no settings to read again.
		lavreload.Stop()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}
