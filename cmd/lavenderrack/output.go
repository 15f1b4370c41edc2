package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// callTimeout is the timeout of each HTTP call that a command makes.
const callTimeout = 10 * time.Second

// output writes the results and errors of a command. Each command embeds it.
type output struct {
	stdout io.Writer
	stderr io.Writer
	// format is the output format of results: text or json.
	format string
}

// formatFlag adds the -format flag.
func (o *output) formatFlag(f *flag.FlagSet) {
	f.StringVar(&o.format, "format", "text", "output `FORMAT`: text or json")
}

// usageError prints an error about the flags and returns the exit status for it.
func (o *output) usageError(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(o.stderr, format+"\n", args...)
	return subcommands.ExitUsageError
}

// fail prints an error and returns status.
func (o *output) fail(err error, status subcommands.ExitStatus) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(o.stderr, err)
	return status
}

// checkFlags returns an error for arguments that are not flags and for unknown
// output formats.
func (o *output) checkFlags(f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return errors.Newf("unexpected argument %q: want flags only", f.Arg(0))
	}
	if o.format != "" && o.format != "text" && o.format != "json" {
		return errors.Newf("-format %s: want text or json", o.format)
	}
	return nil
}

// print writes v as JSON if that is the output format. Otherwise it calls writeText.
func (o *output) print(v any, writeText func(io.Writer) error) error {
	if o.format != "json" {
		return writeText(o.stdout)
	}
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func newClient() *http.Client { return &http.Client{Timeout: callTimeout} }

// addresses parses the comma-separated list of addresses given by the flag name.
func addresses(name, list string) ([]netip.AddrPort, error) {
	var parsed []netip.AddrPort
	for text := range strings.SplitSeq(list, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, errors.Newf(`-%s %q: want addresses with ports, such as "10.0.0.1:8082,10.0.0.2:8082"`, name, list)
		}
		parsed = append(parsed, addr)
	}
	return parsed, nil
}
