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

// callTimeout bounds each call that a command makes.
const callTimeout = 10 * time.Second

// streams are where a command writes.
type streams struct {
	out  io.Writer
	errs io.Writer
	// format is text or json.
	format string
}

// formatFlag adds the flag that chooses the format.
func (s *streams) formatFlag(f *flag.FlagSet) {
	f.StringVar(&s.format, "format", "text", "print `text` or json")
}

// usage reports wrong flags in one line.
func (s *streams) usage(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(s.errs, format+"\n", args...)
	return subcommands.ExitUsageError
}

// fail reports an error and returns the status.
func (s *streams) fail(err error, status subcommands.ExitStatus) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(s.errs, err)
	return status
}

// checkFlags refuses arguments beside the flags and unknown formats.
func (s *streams) checkFlags(f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return errors.Newf("unexpected argument %q: want flags only", f.Arg(0))
	}
	if s.format != "" && s.format != "text" && s.format != "json" {
		return errors.Newf("-format %s: want text or json", s.format)
	}
	return nil
}

// print writes v as JSON, or as text does.
func (s *streams) print(v any, text func(io.Writer) error) error {
	if s.format != "json" {
		return text(s.out)
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func newClient() *http.Client { return &http.Client{Timeout: callTimeout} }

// addresses reads a list of addresses with commas between.
func addresses(name, list string) ([]netip.AddrPort, error) {
	var found []netip.AddrPort
	for text := range strings.SplitSeq(list, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, errors.Newf(`-%s %q: want addresses with ports, such as "10.0.0.1:8082,10.0.0.2:8082"`, name, list)
		}
		found = append(found, addr)
	}
	return found, nil
}
