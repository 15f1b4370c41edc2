package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"lavenderrack.example/lavenderrack/lavresponse"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

const (
	// fleetTimeout bounds the call to each host. All hosts are asked side by side.
	fleetTimeout = 1500 * time.Millisecond
	// maxMetricsBytes bounds the metrics of one host.
	maxMetricsBytes = 4 << 20
	metricsPath     = "/metrics"
)

// fleetCommand shows what each entry host on the platform is running.
type fleetCommand struct {
	output
}

func (*fleetCommand) Name() string     { return "fleet" }
func (*fleetCommand) Synopsis() string { return "show what each host on the platform is running" }
func (*fleetCommand) Usage() string {
	return `fleet [-format FORMAT] ADDRESS...
  Ask the metrics addresses of entry hosts which settings and which version of the
  desired state they have in force, and group the hosts by the answers. Exits with 1
  if hosts differ, don't answer, or can't read their settings file.

`
}

func (c *fleetCommand) SetFlags(f *flag.FlagSet) { c.formatFlag(f) }

// runningState is what a host is running.
type runningState struct {
	// Settings is the digest of the settings in force.
	Settings string
	// Version is the version of the desired state in force, 0 before the first one.
	Version uint64
	// Confirmed is true if the host acts on its state, and Draining if it is leaving.
	Confirmed bool
	Draining  bool
	// RestartNeeded is the number of changed settings that wait for the next start.
	RestartNeeded int
	// Unreadable is true if the host can't read its settings file.
	Unreadable bool
}

// hostGroup is a group of hosts that run the same.
type hostGroup struct {
	runningState
	Hosts []netip.AddrPort
}

// unreachableHost is a host that has not answered.
type unreachableHost struct {
	Host  netip.AddrPort
	Error string
}

// fleetResult is the JSON output of fleet.
type fleetResult struct {
	// Agree is true if all hosts answer and run the same, and all settings files can be
	// read.
	Agree bool
	// Groups begins with the largest group.
	Groups      []hostGroup
	Unreachable []unreachableHost `json:",omitempty"`
}

func (c *fleetCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.usageError("fleet: want the metrics address of at least one host")
	}
	hosts, err := addresses("ADDRESS", strings.Join(f.Args(), ","))
	if err != nil {
		return c.usageError("fleet: %v", err)
	}
	result := fetchFleet(ctx, hosts)
	if err := c.print(result, result.writeText); err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	if !result.Agree {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// fetchFleet asks all hosts side by side and groups them.
func fetchFleet(ctx context.Context, hosts []netip.AddrPort) *fleetResult {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	states, failures := make([]runningState, len(hosts)), make([]error, len(hosts))
	var calls sync.WaitGroup
	for i, host := range hosts {
		calls.Go(func() { states[i], failures[i] = fetchRunningState(ctx, host) })
	}
	calls.Wait()
	return groupHosts(hosts, states, failures)
}

// groupHosts groups the hosts that answered by what they run.
func groupHosts(hosts []netip.AddrPort, states []runningState, failures []error) *fleetResult {
	result := &fleetResult{}
	for i, host := range hosts {
		if failures[i] != nil {
			result.Unreachable = append(result.Unreachable, unreachableHost{Host: host, Error: failures[i].Error()})
			continue
		}
		same := func(g hostGroup) bool { return g.runningState == states[i] }
		at := slices.IndexFunc(result.Groups, same)
		if at < 0 {
			at = len(result.Groups)
			result.Groups = append(result.Groups, hostGroup{runningState: states[i]})
		}
		result.Groups[at].Hosts = append(result.Groups[at].Hosts, host)
	}
	slices.SortStableFunc(result.Groups, func(a, b hostGroup) int { return len(b.Hosts) - len(a.Hosts) })
	result.Agree = len(result.Unreachable) == 0 && len(result.Groups) == 1 && !result.Groups[0].Unreadable
	return result
}

func fetchRunningState(ctx context.Context, host netip.AddrPort) (runningState, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+metricsPath, nil)
	if err != nil {
		return runningState{}, err
	}
	response, err := lavresponse.Checked(http.DefaultClient).Do(request)
	if err != nil {
		return runningState{}, errors.Wrap(err, "fetch metrics")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return runningState{}, errors.Newf("fetch metrics: status %d", response.StatusCode)
	}
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return runningState{}, errors.Wrap(err, "parse metrics")
	}
	return decodeRunningState(families)
}

// decodeRunningState decodes the metrics of a host.
func decodeRunningState(families map[string]*dto.MetricFamily) (runningState, error) {
	gauge := func(name string) float64 {
		if metrics := families["lavenderrack_"+name].GetMetric(); len(metrics) > 0 {
			return metrics[0].GetGauge().GetValue()
		}
		return 0
	}
	s := runningState{
		Version:       uint64(gauge("desired_state_version")),
		Confirmed:     gauge("state_confirmed") > 0,
		Draining:      gauge("draining") > 0,
		RestartNeeded: int(gauge("settings_restart_needed")),
		Unreadable:    gauge("settings_unreadable") > 0,
	}
	for _, m := range families["lavenderrack_settings_in_force"].GetMetric() {
		if m.GetGauge().GetValue() > 0 {
			s.Settings = m.GetLabel()[0].GetValue()
		}
	}
	if s.Settings == "" {
		return s, errors.New("the host doesn't say which settings are in force")
	}
	return s, nil
}

func (r *fleetResult) writeText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Hosts\tSettings\tDesired state\tState\tRestart needed\tSettings file")
	for _, g := range r.Groups {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%d\t%s\n", len(g.Hosts), g.Settings, g.Version, g.state(), g.RestartNeeded, g.file())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i, g := range r.Groups {
		if i > 0 {
			_, _ = fmt.Fprintf(w, "differs, settings %s, desired state %d: %s\n", g.Settings, g.Version, joinAddresses(g.Hosts))
		}
	}
	for _, u := range r.Unreachable {
		if _, err := fmt.Fprintf(w, "no answer: %v: %s\n", u.Host, u.Error); err != nil {
			return err
		}
	}
	return nil
}

func (s runningState) state() string {
	switch {
	case s.Draining:
		return "draining"
	case !s.Confirmed || s.Version == 0:
		return "starting"
	default:
		return "serving"
	}
}

func (s runningState) file() string {
	if s.Unreadable {
		return "unreadable"
	}
	return "read"
}

func joinAddresses(hosts []netip.AddrPort) string {
	texts := make([]string, 0, len(hosts))
	for _, h := range hosts {
		texts = append(texts, h.String())
	}
	return strings.Join(texts, " ")
}
