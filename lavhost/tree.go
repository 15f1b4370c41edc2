package lavhost

import (
	"slices"

	"lavenderrack.example/lavenderrack/lavmember"
)

// Shape of the trees in which load totals are distributed.
const (
	// fanOut is how many hosts of its own failure domain each host sends totals
	// to.
	fanOut = 16
	// relaysPerDomain is how many hosts of each other failure domain the
	// aggregator sends totals to. All relays of a domain send to the same
	// hosts, so that every live host receives the totals if one relay fails.
	relaysPerDomain = 2
)

// nextHops returns the members to which a host sends the totals of an
// aggregator. Each failure domain has its own tree, which keeps the traffic
// between domains low: the aggregator is the root of the tree in its own domain
// and sends to the relays of the others.
func nextHops(v *lavmember.View, aggregator, self string) []lavmember.Member {
	from, ok := v.Member(aggregator)
	if !ok {
		return nil
	}
	if self == aggregator {
		return append(localChildren(v, from), remoteRelays(v, from)...)
	}
	own, ok := v.Member(self)
	if !ok {
		return nil
	}
	relays, rest := domainTree(v, from, own.FailureDomain)
	if containsIncarnation(relays, self) {
		return children(rest, 0)
	}
	position := slices.IndexFunc(rest, func(m lavmember.Member) bool { return m.Incarnation == self })
	return children(rest, position+1)
}

// localChildren returns the members to which an aggregator sends in its own
// domain.
func localChildren(v *lavmember.View, aggregator lavmember.Member) []lavmember.Member {
	_, rest := domainTree(v, aggregator, aggregator.FailureDomain)
	return slices.Clone(children(rest, 0))
}

// remoteRelays returns the relays of all domains but the aggregator's.
func remoteRelays(v *lavmember.View, aggregator lavmember.Member) []lavmember.Member {
	perDomain := make(map[string]int)
	var relays []lavmember.Member
	for _, m := range v.Members {
		if m.FailureDomain != aggregator.FailureDomain && perDomain[m.FailureDomain] < relaysPerDomain {
			perDomain[m.FailureDomain]++
			relays = append(relays, m)
		}
	}
	return relays
}

// domainTree returns the relays of a domain, none for the aggregator's own, and
// the domain's other members, in the order of the view. The aggregator is in
// neither list.
func domainTree(v *lavmember.View, aggregator lavmember.Member, domain string) (relays, rest []lavmember.Member) {
	for _, m := range v.Members {
		if m.FailureDomain == domain && m.Incarnation != aggregator.Incarnation {
			rest = append(rest, m)
		}
	}
	if domain == aggregator.FailureDomain {
		return nil, rest
	}
	n := min(relaysPerDomain, len(rest))
	return rest[:n], rest[n:]
}

// children returns the members below a position in a tree. The root is position
// 0.
func children(tree []lavmember.Member, position int) []lavmember.Member {
	from := min(position*fanOut, len(tree))
	return tree[from:min(from+fanOut, len(tree))]
}

func containsIncarnation(members []lavmember.Member, incarnation string) bool {
	return slices.ContainsFunc(members, func(m lavmember.Member) bool { return m.Incarnation == incarnation })
}
