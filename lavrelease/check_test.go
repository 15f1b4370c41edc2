package lavrelease_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// addr returns a different address for each n.
func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8000)
}

func hash(n int) string { return fmt.Sprintf("%064x", n) }

// firstNote adds two failure domains with one engine each, and one server of the
// service "orders".
func firstNote() lavrelease.Note {
	return lavrelease.Note{ID: "first", Add: lavrelease.Items{
		Models:         []lavrelease.Model{{Name: "caption", Version: "1"}},
		Adapters:       []lavrelease.Adapter{{Name: "lacing", Model: "caption"}},
		FailureDomains: []lavrelease.FailureDomain{{Name: "north"}, {Name: "south"}},
		Hosts:          []lavrelease.Host{{Name: "rack-1", FailureDomain: "north"}, {Name: "rack-2", FailureDomain: "south"}},
		Services:       []lavrelease.Service{{Name: "orders", NotRepeatable: []string{"/orders"}}},
		Endpoints: []lavrelease.Endpoint{
			{Name: "engine-1", Host: "rack-1", Addr: addr(1)},
			{Name: "engine-2", Host: "rack-2", Addr: addr(2)},
			{Name: "orders-1", Host: "rack-1", Addr: addr(3), Service: "orders"},
		},
		Customers: []lavrelease.Customer{{Name: "till", Share: 1, Credentials: []string{hash(1)}}},
	}}
}

func firstState(t *testing.T) *lavrelease.State {
	t.Helper()
	n := firstNote()
	s, err := lavrelease.Apply(&lavrelease.State{}, &n)
	lavassert.NoError(t, err)
	return s
}

// assertPaths checks the paths of the problems that Check finds in a note on top
// of the first state.
func assertPaths(t *testing.T, n lavrelease.Note, want ...string) {
	t.Helper()
	var got []string
	for _, p := range lavrelease.Check(firstState(t), &n) {
		got = append(got, p.Path)
	}
	lavassert.Equal(t, "paths", strings.Join(got, " "), strings.Join(want, " "))
}

func TestCheck(t *testing.T) {
	type items = lavrelease.Items
	note := func(edit func(n *lavrelease.Note)) lavrelease.Note {
		n := lavrelease.Note{ID: "next", Base: 1}
		edit(&n)
		return n
	}
	for _, c := range []struct {
		name string
		edit func(n *lavrelease.Note)
		want string
	}{
		{"a valid note", func(*lavrelease.Note) {}, ""},
		{"a note without an ID", func(n *lavrelease.Note) { n.ID = "" }, "ID"},
		{"an invalid name", func(n *lavrelease.Note) { n.Add.Models = []lavrelease.Model{{Name: "a b"}} }, "Add.Models[0].Name"},
		{"a duplicate name", func(n *lavrelease.Note) { n.Add.Models = []lavrelease.Model{{Name: "a"}, {Name: "a"}} }, "Add.Models[1] Add.Models[1]"},
		{"an added item that already exists", func(n *lavrelease.Note) { n.Add.Models = []lavrelease.Model{{Name: "caption"}} }, "Add.Models[0]"},
		{"a changed item that does not exist", func(n *lavrelease.Note) { n.Change.Models = []lavrelease.Model{{Name: "a"}} }, "Change.Models[0]"},
		{"a withdrawn item that does not exist", func(n *lavrelease.Note) { n.Withdraw.Hosts = []string{"rack-9"} }, "Withdraw.Hosts[0]"},
		{"an adapter of an unknown model", func(n *lavrelease.Note) { n.Add.Adapters = []lavrelease.Adapter{{Name: "a", Model: "b"}} }, "Add.Adapters[0].Model"},
		{"a withdrawn model that an adapter references", func(n *lavrelease.Note) { n.Withdraw.Models = []string{"caption"} }, "Withdraw.Models[0]"},
		{"a withdrawn service that an endpoint references", func(n *lavrelease.Note) { n.Withdraw.Services = []string{"orders"} }, "Withdraw.Services[0]"},
		{"a host in an unknown failure domain", func(n *lavrelease.Note) { n.Add.Hosts = []lavrelease.Host{{Name: "a", FailureDomain: "b"}} }, "Add.Hosts[0].FailureDomain"},
		{"a host with only one of its two addresses", func(n *lavrelease.Note) {
			n.Add.Hosts = []lavrelease.Host{{Name: "a", FailureDomain: "north", Entry: addr(9)}}
		}, "Add.Hosts[0]"},
		{"an endpoint on an unknown host", func(n *lavrelease.Note) {
			n.Add.Endpoints = []lavrelease.Endpoint{{Name: "e", Host: "x", Addr: addr(9)}}
		}, "Add.Endpoints[0].Host"},
		{"an endpoint of an unknown service", func(n *lavrelease.Note) {
			n.Add.Endpoints = []lavrelease.Endpoint{{Name: "e", Host: "rack-1", Service: "x", Addr: addr(9)}}
		}, "Add.Endpoints[0].Service"},
		{"an endpoint without an address", func(n *lavrelease.Note) { n.Add.Endpoints = []lavrelease.Endpoint{{Name: "e", Host: "rack-1"}} }, "Add.Endpoints[0].Addr"},
		{"an address that is already in use", func(n *lavrelease.Note) {
			n.Add.Endpoints = []lavrelease.Endpoint{{Name: "e", Host: "rack-1", Addr: addr(1)}}
		}, "Add.Endpoints[0].Addr"},
		{"a path without a leading slash", func(n *lavrelease.Note) {
			n.Add.Services = []lavrelease.Service{{Name: "s", NotRepeatable: []string{"pay"}}}
		}, "Add.Services[0].NotRepeatable"},
		{"a customer without a share", func(n *lavrelease.Note) { n.Add.Customers = []lavrelease.Customer{{Name: "c"}} }, "Add.Customers[0].Share"},
		{"a credential that is not a hash", func(n *lavrelease.Note) {
			n.Add.Customers = []lavrelease.Customer{{Name: "c", Share: 1, Credentials: []string{"secret"}}}
		}, "Add.Customers[0].Credentials"},
		{"a credential of another customer", func(n *lavrelease.Note) {
			n.Add.Customers = []lavrelease.Customer{{Name: "c", Share: 1, Credentials: []string{hash(1)}}}
		}, "Add.Customers[0].Credentials"},
		{"an objective with an invalid kind, class and target", func(n *lavrelease.Note) {
			n.Add.Objectives = []lavrelease.Objective{{Name: "o", Kind: "Tea", Class: "Wide", Target: 1}}
		}, "Add.Objectives[0].Kind Add.Objectives[0].Class Add.Objectives[0].Target"},
		{"withdrawal of the last endpoint of a model", func(n *lavrelease.Note) { n.Withdraw.FailureDomains = []string{"north", "south"} }, "Withdraw.FailureDomains[0] Withdraw.FailureDomains[0]"},
		{"withdrawal of the last endpoint of a service", func(n *lavrelease.Note) { n.Withdraw.Endpoints = []string{"orders-1"} }, "Withdraw.Endpoints[0]"},
		{"a note over 1 MB", func(n *lavrelease.Note) { n.Comment = strings.Repeat("x", 1<<20) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := note(c.edit)
			assertPaths(t, n, strings.Fields(c.want)...)
			if c.name != "a valid note" {
				lavassert.AtLeast(t, "problems", len(lavrelease.Check(firstState(t), &n)), 1)
			}
		})
	}
	t.Run("a withdrawn host returns to service when it is added again", func(t *testing.T) {
		s := firstState(t)
		out := lavrelease.Note{ID: "out", Withdraw: lavrelease.Names{Hosts: []string{"rack-2"}}}
		lavassert.Equal(t, "problems", len(lavrelease.Check(s, &out)), 0)
		s, err := lavrelease.Apply(s, &out)
		lavassert.NoError(t, err)
		lavassert.True(t, "the host is out of service", s.HostOutOfService("rack-2"))
		back := lavrelease.Note{ID: "back", Add: items{Hosts: []lavrelease.Host{{Name: "rack-2", FailureDomain: "south"}}}}
		s, err = lavrelease.Apply(s, &back)
		lavassert.NoError(t, err)
		lavassert.True(t, "the host is in service again", !s.HostOutOfService("rack-2"))
	})
}
