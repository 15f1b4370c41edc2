package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavscenario"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// loadCommand sends the requests of a scenario file to a running system and reports
// the results.
type loadCommand struct {
	scenario string
	entries  string
	tokens   string
	store    string
	service  string
	seed     uint64
	report   string
	plots    string
	format   string
	standins bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send the load of a scenario file to a running system" }

func (*loadCommand) Usage() string {
	return `load -scenario FILE -entries ADDR,ADDR... -tokens FILE [flags]
  Send the requests of a scenario to a running system at the scheduled times and
  report their results. If -store is given, the faults of the scenario are injected:
  release notes take failure domains out of service, and stand-ins crash or slow
  down. Exits with 1 if an answer was late, incomplete or that of another request.

`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", "", "scenario `FILE`, JSON with comments")
	f.StringVar(&c.entries, "entries", "", "comma-separated `ADDRESSES` of entry hosts to contact first")
	f.StringVar(&c.tokens, "tokens", "", "`FILE` that maps customer names to bearer tokens, JSON with comments")
	f.StringVar(&c.store, "store", "", "base `URL` of the key-value service, for injecting faults")
	f.StringVar(&c.service, "service", "orders", "`NAME` of the plain service that receives orders and lookups")
	f.Uint64Var(&c.seed, "seed", 1, "random seed `N` for the arrivals")
	f.StringVar(&c.report, "report", "", "write the report as JSON to this `FILE`")
	f.StringVar(&c.plots, "plots", "", "write plots as SVG files to this `FOLDER`")
	f.StringVar(&c.format, "format", "text", "output `FORMAT`: text or json")
	f.BoolVar(&c.standins, "standins", false, "compare each answer with the one that a stand-in engine generates")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.format != "text" && c.format != "json" {
		fmt.Fprintln(os.Stderr, "load: want flags only, and -format text or json")
		return subcommands.ExitUsageError
	}
	options, err := c.options()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	report, err := lavload.Run(ctx, options)
	if err == nil {
		err = c.writeReport(report)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if report.Violations() > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// options converts the flags into options of a load run.
func (c *loadCommand) options() (lavload.Options, error) {
	options := lavload.Options{Seed: c.seed, Service: c.service, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var err error
	if options.Scenario, err = lavscenario.Load(c.scenario); err != nil {
		return options, err
	}
	if options.Tokens, err = c.readTokens(); err != nil {
		return options, err
	}
	for text := range strings.SplitSeq(c.entries, ",") {
		entry, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return options, errors.Newf(`load: -entries %q: want addresses with ports, such as "10.0.0.1:8080"`, c.entries)
		}
		options.Entries = append(options.Entries, entry)
	}
	if c.store != "" {
		options.Faults = lavload.NewStandinFaults(&http.Client{Timeout: 10 * time.Second}, c.store)
	}
	if c.standins {
		options.Want = func(p *lavclient.Prompt) string { return lavfake.AnswerText(p.Text, 0, p.MaxTokens) }
	}
	options.Progress = func(at time.Duration, sent, answered int) {
		fmt.Fprintf(os.Stderr, "%6.1f s  sent %d, answered %d\n", at.Seconds(), sent, answered)
	}
	return options, nil
}

// readTokens reads the bearer tokens by customer name.
func (c *loadCommand) readTokens() (map[string]string, error) {
	text, err := os.ReadFile(c.tokens)
	if err != nil {
		return nil, err
	}
	tokens := make(map[string]string)
	return tokens, lavjson.Decode(c.tokens, text, &tokens)
}

// writeReport writes the plots and the report to the files given by flags, and prints
// the report in the chosen format.
func (c *loadCommand) writeReport(report *lavload.Report) error {
	if c.plots != "" {
		if err := report.WritePlots(c.plots); err != nil {
			return err
		}
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if c.report != "" {
		if err := os.WriteFile(c.report, data, 0o644); err != nil {
			return err
		}
	}
	if c.format == "json" {
		_, err := os.Stdout.Write(data)
		return err
	}
	return report.WriteTable(os.Stdout)
}
