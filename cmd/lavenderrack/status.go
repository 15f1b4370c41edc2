package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"lavenderrack.example/lavenderrack/lavnode"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/google/subcommands"
)

// statusCommand shows which release is in force at each host.
type statusCommand struct {
	output
	store string
	admin string
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show which release is in force at each host" }
func (*statusCommand) Usage() string {
	return `status [-store URL] [-admin ADDR,ADDR...]
  Show the newest release in the store. For each entry host whose admin address is
  given, show the release in force at the host and the numbers of members and of
  endpoints in each phase that the host knows. Exits with 1 if a host does not
  answer or does not have the newest release.

`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.store, "store", "", "base `URL` of the key-value service")
	f.StringVar(&c.admin, "admin", "", "comma-separated admin `ADDRESSES` of entry hosts")
	c.formatFlag(f)
}

// statusResult is the JSON output of status.
type statusResult struct {
	// Head is the newest release in the store. It is nil if no store was given.
	Head *headStatus `json:",omitempty"`
	// InForce is true if the store, if given, could be read and every given host
	// has the newest release.
	InForce bool
	Hosts   []hostStatus
}

type headStatus struct {
	Version lavrelease.Version
	NoteID  string
	Error   string `json:",omitempty"`
}

// hostStatus is the status of one host, or the error that occurred in fetching it.
type hostStatus struct {
	Admin  netip.AddrPort
	Error  string          `json:",omitempty"`
	Status *lavnode.Status `json:",omitempty"`
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.usageError("status: %v", err)
	}
	if c.store == "" && c.admin == "" {
		return c.usageError("status: want -store URL or -admin ADDR,ADDR...")
	}
	result := &statusResult{Hosts: []hostStatus{}}
	if c.admin != "" {
		admins, err := addresses("admin", c.admin)
		if err != nil {
			return c.usageError("status: %v", err)
		}
		result.Hosts = fetchStatuses(ctx, admins)
	}
	if c.store != "" {
		result.Head = fetchHead(ctx, c.store)
	}
	result.computeInForce()
	if err := c.print(result, result.writeText); err != nil {
		return c.fail(err, subcommands.ExitFailure)
	}
	if !result.InForce {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// fetchStatuses fetches the status of all hosts in parallel.
func fetchStatuses(ctx context.Context, admins []netip.AddrPort) []hostStatus {
	hosts := make([]hostStatus, len(admins))
	client := newClient()
	var wg sync.WaitGroup
	for i, admin := range admins {
		wg.Go(func() {
			hosts[i].Admin = admin
			status, err := lavnode.FetchStatus(ctx, client, admin)
			if err != nil {
				hosts[i].Error = err.Error()
				return
			}
			hosts[i].Status = status
		})
	}
	wg.Wait()
	return hosts
}

// fetchHead reads the newest release from the store.
func fetchHead(ctx context.Context, store string) *headStatus {
	state, err := lavrelease.Load(ctx, lavstore.NewHTTP(newClient(), store))
	if err != nil {
		return &headStatus{Error: err.Error()}
	}
	return &headStatus{Version: state.Version, NoteID: state.NoteID}
}

// computeInForce sets InForce. The newest release is the highest version that the
// store or a host has.
func (r *statusResult) computeInForce() {
	newest := lavrelease.Version(0)
	r.InForce = true
	if r.Head != nil {
		newest = r.Head.Version
		r.InForce = r.Head.Error == ""
	}
	for _, h := range r.Hosts {
		if h.Status != nil {
			newest = max(newest, h.Status.Version)
		}
	}
	for _, h := range r.Hosts {
		r.InForce = r.InForce && h.Status != nil && h.Status.Version == newest
	}
}

func (r *statusResult) writeText(w io.Writer) error {
	if r.Head != nil {
		line := fmt.Sprintf("store: version %d, note %s", r.Head.Version, r.Head.NoteID)
		if r.Head.Error != "" {
			line = "store: " + r.Head.Error
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	if len(r.Hosts) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "Host\tFailure domain\tVersion\tNote\tState\tMembers\tEndpoints")
	for _, h := range r.Hosts {
		if h.Status == nil {
			_, _ = fmt.Fprintf(table, "%v\t\t\t\tno answer: %s\n", h.Admin, h.Error)
			continue
		}
		s := h.Status
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%d\t%s\n", s.Host, s.FailureDomain, s.Version, s.NoteID, hostState(s), len(s.Members), formatPhases(s.Phases))
	}
	return table.Flush()
}

func hostState(s *lavnode.Status) string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Version == 0:
		return "starting"
	default:
		return "serving"
	}
}

// formatPhases formats the number of endpoints in each phase.
func formatPhases(counts map[string]int) string {
	var parts []string
	for _, phase := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[phase], phase))
	}
	return strings.Join(parts, ", ")
}
