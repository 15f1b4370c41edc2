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

// Sizes of the users' target.
const (
	targetHosts     = 430
	targetEndpoints = 1100
	targetDomains   = 6
)

func fleetOf(hosts, domains int) *lavmember.View {
	v := &lavmember.View{}
	for i := range hosts {
		v.Members = append(v.Members, lavmember.Member{
			Incarnation:   fmt.Sprintf("host-%04d", i),
			FailureDomain: fmt.Sprint("domain-", i%domains),
		})
	}
	return v
}

// passAll passes totals on through the whole fleet but for one dead host, and
// returns who heard and how many messages crossed domains.
func passAll(v *lavmember.View, keeper, dead string) (heard map[string]bool, crossed int) {
	heard = map[string]bool{keeper: true}
	queue := []string{keeper}
	for len(queue) > 0 {
		from, _ := v.Member(queue[0])
		queue = queue[1:]
		for _, to := range passOn(v, keeper, from.Incarnation) {
			if to.FailureDomain != from.FailureDomain {
				crossed++
			}
			if to.Incarnation != dead && !heard[to.Incarnation] {
				heard[to.Incarnation] = true
				queue = append(queue, to.Incarnation)
			}
		}
	}
	return heard, crossed
}

func TestPassOn(t *testing.T) {
	for _, c := range []struct{ hosts, domains int }{{17, 1}, {17, 4}, {68, 3}, {83, 4}, {targetHosts, targetDomains}} {
		t.Run(fmt.Sprint(c.hosts, " hosts in ", c.domains), func(t *testing.T) {
			v := fleetOf(c.hosts, c.domains)
			keeper := v.Members[c.hosts/2].Incarnation
			heard, crossed := passAll(v, keeper, "")
			lavassert.Equal(t, "hosts that hear", len(heard), c.hosts)
			lavassert.AtMost(t, "messages between domains", crossed, relays*(c.domains-1))
			for _, relay := range foreignRelays(v, v.Members[c.hosts/2]) {
				heard, _ := passAll(v, keeper, relay.Incarnation)
				lavassert.Equal(t, "hosts that hear as a relay is dead", len(heard), c.hosts-1)
			}
		})
	}
}

// TestTotalsFitADatagram adds up the work of a fleet of the target's size.
func TestTotalsFitADatagram(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	sum := totals{Keeper: "front-somewhere-a-120-f1e2d3c4b5a69788", Number: 1 << 20}
	for i := range targetEndpoints {
		life := lavconfig.Incarnation{ID: fmt.Sprint("i-", i), StartedAt: int64(i)}
		load := lavplan.Load{Requests: 16, Strict: 12, Medium: 2, Late: 3, Reading: time.Duration(draw.Int64N(int64(3 * time.Second))), Memory: 400_000}
		sum.Loads = append(sum.Loads, newEndpointLoad(shortLife(life), load))
	}
	for i := range targetHosts {
		sum.Counted = append(sum.Counted, counted{Host: shortNameOf(fmt.Sprint("host-", i)), Number: 1 << 20})
	}
	data, err := lavdatagram.Encode(lavdatagram.KindTotals, sum)
	lavassert.NoError(t, err)
	lavassert.AtMost(t, "bytes", len(data), lavdatagram.MaxBytes)
}

func TestEndpointLoad(t *testing.T) {
	load := lavplan.Load{Requests: 3, Strict: 2, Medium: 1, Late: 1, Reading: 1234 * time.Millisecond, Memory: 64 * 700}
	lavassert.Equal(t, "load that was told", newEndpointLoad(1, load).load(), load)
}
