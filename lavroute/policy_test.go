package lavroute_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// spreadOf counts where n requests go that differ only by name.
func spreadOf(p lavroute.Policy, b *lavroute.Board, own []lavroute.Own, n, prompt int, prefixes ...lavrequest.PrefixHash) map[int]int {
	counts := make(map[int]int)
	for i := range n {
		counts[p.Pick(began, b, own, ask(fmt.Sprint(i), prompt, prefixes...))]++
	}
	return counts
}

// TestEveryPolicy holds each policy to what binds all of them.
func TestEveryPolicy(t *testing.T) {
	for _, name := range lavroute.Names() {
		t.Run(name.String(), func(t *testing.T) {
			p := lavroute.ByName(name, lavroute.NewCacheIndex())
			all := endpoints(6)
			all[0].Phase = lavendpoint.PhaseOut
			all[1].Phase = lavendpoint.PhaseLeaving
			all[2].Report.Models = []string{"other"}
			b, own := lay(all)
			own[3].Room = 100
			lavassert.Equal(t, "endpoints picked", len(spreadOf(p, b, own, 64, 1000)), 2)

			a := ask("x", 1000)
			a.Avoid = []string{"engine-4"}
			lavassert.Equal(t, "with one avoided", p.Pick(began, b, own, a), 5)
			a.Avoid = []string{"engine-4", "engine-5"}
			lavassert.Equal(t, "with all avoided", p.Pick(began, b, own, a), -1)
			a.AnyRoom = true
			lavassert.Equal(t, "with any room", p.Pick(began, b, own, a), 3)

			alone := ask("y", 1000)
			alone.Alone = true
			own[4].Alone = 1
			lavassert.Equal(t, "one that may kill", p.Pick(began, b, own, alone), 5)
			a = ask("z", 1000)
			a.Request.Adapter = "none"
			lavassert.Equal(t, "an adapter nobody holds", p.Pick(began, b, own, a), -1)
		})
	}
	_, known := lavroute.ParseName("NoSuch")
	lavassert.True(t, "an unknown name is refused", !known)
}

func TestBalanced(t *testing.T) {
	p := lavroute.NewBalanced(nil)
	t.Run("stays in its failure domain while that is no slower", func(t *testing.T) {
		b, own := lay(endpoints(6))
		counts := spreadOf(p, b, own, 100, 1000)
		lavassert.Equal(t, "in the own domain", counts[0]+counts[3], 100)
		own[0].Unread[0], own[3].Unread[0] = 4000, 4000
		counts = spreadOf(p, b, own, 100, 1000)
		lavassert.Equal(t, "in the own domain, loaded", counts[0]+counts[3], 0)
	})
	t.Run("adds own work to a report that lags", func(t *testing.T) {
		all := endpoints(2)
		all[1].FailureDomain = "north"
		all[0].Report.WaitingTokens = 50_000
		b, own := lay(all)
		lavassert.Equal(t, "by the report", p.Pick(began, b, own, ask("x", 20_000)), 1)
		own[1].SinceUnread = 200_000
		lavassert.Equal(t, "with own work since", p.Pick(began, b, own, ask("x", 20_000)), 0)
		later := began.Add(10 * time.Second)
		own[1].SinceUnread = 0
		counts := make(map[int]int)
		for i := range 100 {
			counts[p.Pick(later, b, own, ask(fmt.Sprint(i), 20_000))]++
		}
		lavassert.AtLeast(t, "picks of what has been read since the report", counts[0], 20)
	})
	t.Run("queues no long prompt behind much work", func(t *testing.T) {
		all := endpoints(1)
		all[0].Report.WaitingTokens = 100_000
		b, own := lay(all)
		lavassert.Equal(t, "a huge prompt", p.Pick(began, b, own, ask("x", 200_000)), -1)
		lavassert.Equal(t, "a short prompt", p.Pick(began, b, own, ask("x", 1000)), 0)
	})
	t.Run("all others leave memory to short prompts", func(t *testing.T) {
		b, own := lay(endpoints(1))
		own[0].Room, own[0].Requests = 210_000, 1
		lavassert.Equal(t, "a huge prompt", p.Pick(began, b, own, ask("x", 200_000)), -1)
		own[0].Room = 40_000
		lavassert.Equal(t, "a medium prompt", p.Pick(began, b, own, ask("x", 30_000)), -1)
		lavassert.Equal(t, "a short prompt", p.Pick(began, b, own, ask("x", 3000)), 0)
	})
	t.Run("a cold endpoint comes after warm ones, and before none", func(t *testing.T) {
		all := endpoints(2)
		all[0].Phase, all[1].FailureDomain = lavendpoint.PhaseCold, "south"
		b, own := lay(all)
		lavassert.Equal(t, "with a warm one", p.Pick(began, b, own, ask("x", 1000)), 1)
		own[1].Room = 0
		lavassert.Equal(t, "with a full one", p.Pick(began, b, own, ask("x", 1000)), 0)
	})
	t.Run("an endpoint that is held takes short prompts and its own", func(t *testing.T) {
		b, own := lay(endpoints(1))
		own[0].Held = true
		lavassert.Equal(t, "short", p.Pick(began, b, own, ask("x", 1000)), 0)
		lavassert.Equal(t, "medium", p.Pick(began, b, own, ask("x", 10_000)), -1)
		a := ask("x", 150_000)
		a.Hold = "engine-0"
		lavassert.Equal(t, "its own", p.Pick(began, b, own, a), 0)
	})
	t.Run("priority falls with length and rises as time grows short", func(t *testing.T) {
		short, huge := ask("x", 1000), ask("y", 200_000)
		lavassert.True(t, "short first", p.Priority(began, short) < p.Priority(began, huge))
		aged := p.Priority(huge.Request.Deadline.Add(-time.Second), huge)
		lavassert.True(t, "aged before medium", aged < p.Priority(began, ask("z", 10_000)))
		lavassert.True(t, "never before short", aged > p.Priority(began, short))
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 1100} {
		for _, name := range lavroute.Names() {
			b.Run(fmt.Sprintf("%v/%d", name, n), func(b *testing.B) {
				caches := lavroute.NewCacheIndex()
				prefixes := make([]lavrequest.PrefixHash, 32)
				for i := range prefixes {
					prefixes[i] = lavrequest.PrefixHash(i + 1)
				}
				for i := 0; i < n; i += max(n/40, 1) {
					caches.Expect(fmt.Sprintf("engine-%d", i), "a", prefixes)
				}
				p := lavroute.ByName(name, caches)
				board, own := lay(endpoints(n))
				a := ask("x", 12_000, prefixes...)
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(began, board, own, a)
				}
			})
		}
	}
}

// BenchmarkPickLoaded has the near endpoints loaded, so that none ends the
// search early.
func BenchmarkPickLoaded(b *testing.B) {
	p := lavroute.NewBalanced(nil)
	board, own := lay(endpoints(1100))
	for i := range own {
		own[i].SinceUnread, own[i].Unread[1] = 500_000+i, 500_000+i
	}
	a := ask("x", 12_000)
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(began, board, own, a)
	}
}

func BenchmarkNewBoard(b *testing.B) {
	snapshot := lavendpoint.NewSnapshot(1, endpoints(1100))
	b.ReportAllocs()
	for b.Loop() {
		lavroute.NewRoutingTable(began, snapshot, lavroute.Locality{FailureDomain: "north"}, lavroute.DefaultBacklogFractions())
	}
}
