package lavmember_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavstore"
)

// fleet is a set of registries that share one store and exchange their deltas.
type fleet struct {
	t     *testing.T
	store *lavfake.Store
	hosts []*lavmember.Registry
	stops []context.CancelFunc
	ended []chan struct{}
}

func member(i int, suffix string) lavmember.Member {
	name := fmt.Sprintf("entry-%03d", i)
	return lavmember.Member{
		Incarnation: name + "-" + suffix, Host: name, FailureDomain: "north",
		Mesh: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81),
	}
}

func (f *fleet) startHost(i int, suffix string) *lavmember.Registry {
	r := lavmember.New(f.store, member(i, suffix))
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.t.Context()))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Serve(ctx)
	}()
	f.hosts, f.stops, f.ended = append(f.hosts, r), append(f.stops, cancel), append(f.ended, ended)
	return r
}

// withFleet runs body with n members after their views have converged.
func withFleet(t *testing.T, n int, body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, store: lavfake.NewStore()}
		for i := range n {
			f.startHost(i, "a")
		}
		defer func() {
			for i := range f.stops {
				f.stops[i]()
				<-f.ended[i]
			}
		}()
		f.advance(time.Minute)
		body(t, f)
	})
}

// advance lets d pass in virtual time. Every 100 ms, the pending deltas of each
// registry are delivered to all others, as the mesh would do.
func (f *fleet) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, from := range f.hosts {
			for _, delta := range from.TakePendingDeltas() {
				for _, to := range f.hosts {
					if to != from {
						to.ApplyDelta(delta)
					}
				}
			}
		}
	}
}

// assertViews checks the number of members in each host's view.
func (f *fleet) assertViews(hosts []*lavmember.Registry, want int) {
	f.t.Helper()
	for _, r := range hosts {
		lavassert.Equal(f.t, "members seen by "+r.Self().Host, len(r.View().Members), want)
	}
}

func TestRegistry(t *testing.T) {
	t.Run("a leaving host is marked as leaving, and removed once it has stopped", func(t *testing.T) {
		withFleet(t, 6, func(t *testing.T, f *fleet) {
			f.assertViews(f.hosts, 6)
			f.hosts[2].Leave()
			f.advance(time.Second)
			for _, r := range f.hosts {
				m, ok := r.View().Member(member(2, "a").Incarnation)
				lavassert.True(t, "the member is marked as leaving", ok && m.Leaving)
			}
			f.stops[2]()
			f.advance(2 * time.Second)
			f.assertViews(append(f.hosts[:2:2], f.hosts[3:]...), 5)
		})
	})
	t.Run("a dead host is removed when its lease expires", func(t *testing.T) {
		withFleet(t, 2, func(t *testing.T, f *fleet) {
			lease, err := f.store.Grant(t.Context(), lavmember.LeaseTTL)
			lavassert.NoError(t, err)
			_, err = f.store.CompareAndSwap(t.Context(), "member/x", 0, []byte(`{"Incarnation":"x"}`), lease)
			lavassert.NoError(t, err)
			f.advance(time.Second)
			f.assertViews(f.hosts, 3)
			f.advance(lavmember.LeaseTTL + time.Second)
			f.assertViews(f.hosts, 2)
		})
	})
	t.Run("in a large fleet a few hosts watch and all get the changes", func(t *testing.T) {
		withFleet(t, 40, func(_ *testing.T, f *fleet) {
			f.assertViews(f.hosts, 40)
			readsBefore, _ := f.store.Calls()
			f.advance(20 * time.Second)
			readsAfter, _ := f.store.Calls()
			// Eight hosts watch, each with one read in 25 s, and each of the other
			// hosts lists the members once a minute.
			lavassert.AtMost(f.t, "store reads in 20 s", readsAfter-readsBefore, 30)
			f.startHost(40, "a")
			f.advance(2 * time.Second)
			f.assertViews(f.hosts, 41)
		})
	})
	t.Run("the last view stays in effect while the store is down", func(t *testing.T) {
		withFleet(t, 6, func(_ *testing.T, f *fleet) {
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			f.advance(5 * time.Minute)
			f.assertViews(f.hosts, 6)
		})
	})
	t.Run("while the store is down, an unreachable member is left out until the mesh has a link to it again", func(t *testing.T) {
		withFleet(t, 6, func(_ *testing.T, f *fleet) {
			unreachable := member(2, "a")
			reportFailures := func(seconds int) {
				for range seconds {
					f.hosts[0].PeerUnreachable(unreachable.Incarnation)
					f.advance(time.Second)
				}
			}
			reportFailures(20)
			f.assertViews(f.hosts[:1], 6)
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			reportFailures(25)
			f.assertViews(f.hosts[:1], 5)
			f.hosts[0].PeerConnected(unreachable)
			f.assertViews(f.hosts[:1], 6)
		})
	})
	t.Run("while the store is down, a restarted host replaces its former incarnation", func(t *testing.T) {
		withFleet(t, 6, func(t *testing.T, f *fleet) {
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			f.advance(time.Minute)
			restarted := f.startHost(2, "b")
			f.hosts[0].PeerConnected(member(2, "b"))
			f.assertViews(f.hosts[:1], 6)
			_, found := f.hosts[0].View().Member(member(2, "a").Incarnation)
			lavassert.True(t, "the former incarnation is not in the view", !found)
			restarted.PeerConnected(member(0, "a"))
			restarted.MergeMembers(f.hosts[0].View().Members)
			f.assertViews([]*lavmember.Registry{restarted}, 6)
			f.store.SetFaults(lavfake.StoreFaults{})
			f.advance(time.Minute)
			f.assertViews(append(f.hosts[:2:2], restarted), 7)
		})
	})
	t.Run("a lost reply doesn't make a host join twice", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{t: t, store: lavfake.NewStore()}
			f.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			f.startHost(0, "a")
			f.advance(10 * time.Second)
			f.store.SetFaults(lavfake.StoreFaults{})
			f.advance(time.Minute)
			entries, _, err := f.store.List(t.Context(), "member/")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "entries", len(entries), 1)
			lavassert.True(t, "the entry is bound to a lease", entries[0].Lease != lavstore.LeaseID(""))
			f.stops[0]()
			<-f.ended[0]
		})
	})
}
