package lavhost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavplan"
)

// Sizes of the largest fleet to support.
const (
	targetHosts     = 430
	targetEndpoints = 1100
	targetDomains   = 6
)

func testView(hosts, domains int) *lavmember.View {
	v := &lavmember.View{}
	for i := range hosts {
		v.Members = append(v.Members, lavmember.Member{
			Incarnation:   fmt.Sprintf("host-%04d", i),
			FailureDomain: fmt.Sprint("domain-", i%domains),
		})
	}
	return v
}

// deliver distributes totals through the whole fleet except for one dead host.
// It returns the hosts that receive them and how many messages pass between
// domains.
func deliver(v *lavmember.View, aggregator, dead string) (reached map[string]bool, crossed int) {
	reached = map[string]bool{aggregator: true}
	queue := []string{aggregator}
	for len(queue) > 0 {
		from, _ := v.Member(queue[0])
		queue = queue[1:]
		for _, to := range nextHops(v, aggregator, from.Incarnation) {
			if to.FailureDomain != from.FailureDomain {
				crossed++
			}
			if to.Incarnation != dead && !reached[to.Incarnation] {
				reached[to.Incarnation] = true
				queue = append(queue, to.Incarnation)
			}
		}
	}
	return reached, crossed
}

func TestNextHops(t *testing.T) {
	for _, c := range []struct{ hosts, domains int }{{17, 1}, {17, 4}, {68, 3}, {83, 4}, {targetHosts, targetDomains}} {
		t.Run(fmt.Sprint(c.hosts, " hosts, domains: ", c.domains), func(t *testing.T) {
			v := testView(c.hosts, c.domains)
			aggregator := v.Members[c.hosts/2].Incarnation
			reached, crossed := deliver(v, aggregator, "")
			lavassert.Equal(t, "hosts reached", len(reached), c.hosts)
			lavassert.AtMost(t, "messages between domains", crossed, relaysPerDomain*(c.domains-1))
			for _, relay := range remoteRelays(v, v.Members[c.hosts/2]) {
				reached, _ := deliver(v, aggregator, relay.Incarnation)
				lavassert.Equal(t, "hosts reached despite a dead relay", len(reached), c.hosts-1)
			}
		})
	}
}

// TestTotalsFitADatagram checks that the totals of a fleet of the largest size
// fit in one datagram.
func TestTotalsFitADatagram(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	sum := loadTotals{Aggregator: "front-somewhere-a-120-f1e2d3c4b5a69788", Number: 1 << 20}
	for i := range targetEndpoints {
		incarnation := lavconfig.Incarnation{ID: fmt.Sprint("i-", i), StartedAt: int64(i)}
		load := lavplan.Load{Requests: 16, Strict: 12, Medium: 2, Late: 3, Prefill: time.Duration(rng.Int64N(int64(3 * time.Second))), KVTokens: 400_000}
		sum.Loads = append(sum.Loads, newEndpointLoad(hashIncarnation(incarnation), load))
	}
	for i := range targetHosts {
		sum.CountedReports = append(sum.CountedReports, countedReport{Host: hashName(fmt.Sprint("host-", i)), Number: 1 << 20})
	}
	data, err := lavdatagram.Encode(lavdatagram.KindTotals, sum)
	lavassert.NoError(t, err)
	lavassert.AtMost(t, "bytes of the encoded totals", len(data), lavdatagram.MaxBytes)
}

func TestEndpointLoad(t *testing.T) {
	load := lavplan.Load{Requests: 3, Strict: 2, Medium: 1, Late: 1, Prefill: 1234 * time.Millisecond, KVTokens: 64 * 700}
	lavassert.Equal(t, "load after encoding and decoding", newEndpointLoad(1, load).toLoad(), load)
}
