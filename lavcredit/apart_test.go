package lavcredit_test

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavmember"
)

// apartHost is a host that sees only some of the members while the store is away.
type apartHost struct {
	*host
	view, full *lavmember.View
}

func (h apartHost) View() *lavmember.View     { return h.view }
func (h apartHost) FullView() *lavmember.View { return h.full }

// TestSharesOfHostsThatAreApart guards against hosts that divide an endpoint by the members that they
// can reach, while its owner doesn't answer.
func TestSharesOfHostsThatAreApart(t *testing.T) {
	const limit = 1200
	names := []string{"a", "b", "c", "d"}
	h := apartHost{&host{name: "a"}, viewOf("a", "b"), viewOf(names...)}
	x := lavcredit.NewExchange(lavcredit.Dependencies{Members: h, Mesh: h})
	now := time.Unix(1000, 0)
	e := &lavendpoint.Endpoint{
		Name: engineName, Phase: lavendpoint.PhaseReady, Heard: now,
		Report: lavengine.LoadReport{Incarnation: "e1", MemoryTokens: limit},
	}
	lavassert.Equal(t, "share of one of four hosts", x.Available(now, e), limit/len(names))
}
