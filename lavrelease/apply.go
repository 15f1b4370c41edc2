package lavrelease

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// historyLength is the maximum number of earlier notes that a state records. The
// record makes it possible to recognize a note that is published again after a
// lost reply.
const historyLength = 256

// Apply returns the state that results from applying note n to s. It does not
// check n.Base. It is deterministic: all hosts that apply the same notes obtain
// byte-for-byte identical states.
func Apply(s *State, n *Note) (*State, error) {
	p := &problems{}
	next := apply(p, s, n)
	if len(p.list) > 0 {
		return nil, errors.Newf("%s", p.list[0].String())
	}
	return next, nil
}

func apply(p *problems, s *State, n *Note) *State {
	next := &State{Version: s.Version + 1, NoteID: n.ID, Recent: extendHistory(s)}
	next.Models = editItems(p, SectionModels, s.Models, n.Add.Models, n.Change.Models, n.Withdraw.Models, modelName)
	next.Adapters = editItems(p, SectionAdapters, s.Adapters, n.Add.Adapters, n.Change.Adapters, n.Withdraw.Adapters, adapterName)
	next.Endpoints = editItems(p, SectionEndpoints, s.Endpoints, n.Add.Endpoints, n.Change.Endpoints, n.Withdraw.Endpoints, endpointName)
	next.Services = editItems(p, SectionServices, s.Services, n.Add.Services, n.Change.Services, n.Withdraw.Services, serviceName)
	next.Customers = editItems(p, SectionCustomers, s.Customers, n.Add.Customers, n.Change.Customers, n.Withdraw.Customers, customerName)
	next.Objectives = editItems(p, SectionObjectives, s.Objectives, n.Add.Objectives, n.Change.Objectives, n.Withdraw.Objectives, objectiveName)
	next.Hosts, next.Out.Hosts = editWithdrawable(p, SectionHosts, s.Hosts, s.Out.Hosts, n.Add.Hosts, n.Change.Hosts, n.Withdraw.Hosts, hostName)
	next.FailureDomains, next.Out.FailureDomains = editWithdrawable(p, SectionFailureDomains, s.FailureDomains, s.Out.FailureDomains, n.Add.FailureDomains, n.Change.FailureDomains, n.Withdraw.FailureDomains, domainName)
	return next
}

func extendHistory(s *State) []HistoryEntry {
	if s.NoteID == "" {
		return nil
	}
	recent := append([]HistoryEntry{{Version: s.Version, ID: s.NoteID}}, s.Recent...)
	return recent[:min(len(recent), historyLength)]
}

// editItems returns current with the additions, changes and withdrawals applied.
func editItems[T any](p *problems, s Section, current, add, change []T, withdraw []string, name func(T) string) []T {
	items := slices.Clone(current)
	position := make(map[string]int, len(current)+len(add))
	for i, v := range items {
		position[name(v)] = i
	}
	for i, v := range add {
		if _, ok := position[name(v)]; ok {
			p.add(itemPath(ActionAdd, s, i), "%q already exists; list it under Change", name(v))
			continue
		}
		position[name(v)] = len(items)
		items = append(items, v)
	}
	for i, v := range change {
		j, ok := position[name(v)]
		if !ok {
			p.add(itemPath(ActionChange, s, i), "%q doesn't exist; list it under Add", name(v))
			continue
		}
		items[j] = v
	}
	removed := make(map[string]bool, len(withdraw))
	for i, v := range withdraw {
		if _, ok := position[v]; !ok || removed[v] {
			p.add(itemPath(ActionWithdraw, s, i), "%q doesn't exist", v)
			continue
		}
		removed[v] = true
	}
	if len(removed) == 0 {
		return items
	}
	return slices.DeleteFunc(items, func(v T) bool { return removed[name(v)] })
}

// editWithdrawable edits items that stay listed while they are out of service:
// withdrawing an item adds its name to out, and adding the item again removes
// the name from out.
func editWithdrawable[T any](p *problems, s Section, current []T, out []string, add, change []T, withdraw []string, name func(T) string) ([]T, []string) {
	out = slices.Clone(out)
	items := slices.Clone(current)
	find := func(want string) int {
		return slices.IndexFunc(items, func(v T) bool { return name(v) == want })
	}
	for i, v := range add {
		j, outIndex := find(name(v)), slices.Index(out, name(v))
		switch {
		case j >= 0 && outIndex < 0:
			p.add(itemPath(ActionAdd, s, i), "%q already exists; list it under Change", name(v))
		case j >= 0:
			items[j] = v
			out = slices.Delete(out, outIndex, outIndex+1)
		default:
			items = append(items, v)
		}
	}
	for i, v := range change {
		j := find(name(v))
		if j < 0 {
			p.add(itemPath(ActionChange, s, i), "%q doesn't exist; list it under Add", name(v))
			continue
		}
		items[j] = v
	}
	for i, v := range withdraw {
		switch {
		case find(v) < 0:
			p.add(itemPath(ActionWithdraw, s, i), "%q doesn't exist", v)
		case slices.Contains(out, v):
			p.add(itemPath(ActionWithdraw, s, i), "%q is already withdrawn", v)
		default:
			out = append(out, v)
		}
	}
	return items, out
}
