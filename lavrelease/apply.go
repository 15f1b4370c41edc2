package lavrelease

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// recentNotes is how many earlier notes a state remembers, so that a note
// published again after a lost reply is known.
const recentNotes = 256

// Apply returns the state that follows s by note n. It doesn't look at n.Base.
// It is deterministic, so that every host that applies the same notes has the
// same state, byte for byte.
func Apply(s *State, n *Note) (*State, error) {
	p := &problems{}
	next := apply(p, s, n)
	if len(p.list) > 0 {
		return nil, errors.Newf("%s", p.list[0].String())
	}
	return next, nil
}

func apply(p *problems, s *State, n *Note) *State {
	next := &State{Version: s.Version + 1, NoteID: n.ID, Recent: remember(s)}
	next.Models = edit(p, SectionModels, s.Models, n.Add.Models, n.Change.Models, n.Withdraw.Models, modelName)
	next.Adapters = edit(p, SectionAdapters, s.Adapters, n.Add.Adapters, n.Change.Adapters, n.Withdraw.Adapters, adapterName)
	next.Endpoints = edit(p, SectionEndpoints, s.Endpoints, n.Add.Endpoints, n.Change.Endpoints, n.Withdraw.Endpoints, endpointName)
	next.Services = edit(p, SectionServices, s.Services, n.Add.Services, n.Change.Services, n.Withdraw.Services, serviceName)
	next.Customers = edit(p, SectionCustomers, s.Customers, n.Add.Customers, n.Change.Customers, n.Withdraw.Customers, customerName)
	next.Objectives = edit(p, SectionObjectives, s.Objectives, n.Add.Objectives, n.Change.Objectives, n.Withdraw.Objectives, objectiveName)
	next.Hosts, next.Out.Hosts = editOut(p, SectionHosts, s.Hosts, s.Out.Hosts, n.Add.Hosts, n.Change.Hosts, n.Withdraw.Hosts, hostName)
	next.FailureDomains, next.Out.FailureDomains = editOut(p, SectionFailureDomains, s.FailureDomains, s.Out.FailureDomains, n.Add.FailureDomains, n.Change.FailureDomains, n.Withdraw.FailureDomains, domainName)
	return next
}

func remember(s *State) []HistoryEntry {
	if s.NoteID == "" {
		return nil
	}
	recent := append([]HistoryEntry{{Version: s.Version, ID: s.NoteID}}, s.Recent...)
	return recent[:min(len(recent), recentNotes)]
}

// edit returns have with the additions, changes and withdrawals made.
func edit[T any](p *problems, s Section, have, add, change []T, withdraw []string, name func(T) string) []T {
	items := slices.Clone(have)
	place := make(map[string]int, len(have)+len(add))
	for i, v := range items {
		place[name(v)] = i
	}
	for i, v := range add {
		if _, ok := place[name(v)]; ok {
			p.add(at(ActionAdd, s, i), "%q exists already; list it under Change", name(v))
			continue
		}
		place[name(v)] = len(items)
		items = append(items, v)
	}
	for i, v := range change {
		j, ok := place[name(v)]
		if !ok {
			p.add(at(ActionChange, s, i), "%q doesn't exist; list it under Add", name(v))
			continue
		}
		items[j] = v
	}
	gone := make(map[string]bool, len(withdraw))
	for i, v := range withdraw {
		if _, ok := place[v]; !ok || gone[v] {
			p.add(at(ActionWithdraw, s, i), "%q doesn't exist", v)
			continue
		}
		gone[v] = true
	}
	if len(gone) == 0 {
		return items
	}
	return slices.DeleteFunc(items, func(v T) bool { return gone[name(v)] })
}

// editOut edits items that stay known while they are out of service: to
// withdraw one marks it as out, and to add it again takes the mark away.
func editOut[T any](p *problems, s Section, have []T, out []string, add, change []T, withdraw []string, name func(T) string) ([]T, []string) {
	out = slices.Clone(out)
	items := slices.Clone(have)
	find := func(want string) int {
		return slices.IndexFunc(items, func(v T) bool { return name(v) == want })
	}
	for i, v := range add {
		j, marked := find(name(v)), slices.Index(out, name(v))
		switch {
		case j >= 0 && marked < 0:
			p.add(at(ActionAdd, s, i), "%q exists already; list it under Change", name(v))
		case j >= 0:
			items[j] = v
			out = slices.Delete(out, marked, marked+1)
		default:
			items = append(items, v)
		}
	}
	for i, v := range change {
		j := find(name(v))
		if j < 0 {
			p.add(at(ActionChange, s, i), "%q doesn't exist; list it under Add", name(v))
			continue
		}
		items[j] = v
	}
	for i, v := range withdraw {
		switch {
		case find(v) < 0:
			p.add(at(ActionWithdraw, s, i), "%q doesn't exist", v)
		case slices.Contains(out, v):
			p.add(at(ActionWithdraw, s, i), "%q is withdrawn already", v)
		default:
			out = append(out, v)
		}
	}
	return items, out
}
