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

// fleet is some registries over one store whose deltas reach each other.
type fleet struct {
	t     *testing.T
	store *lavfake.Store
	hosts []*lavmember.Registry
	stops []context.CancelFunc
	ended []chan struct{}
}

func member(i int, life string) lavmember.Member {
	name := fmt.Sprintf("entry-%03d", i)
	return lavmember.Member{
		Incarnation: name + "-" + life, Host: name, FailureDomain: "north",
		Mesh: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81),
	}
}

func (f *fleet) join(i int, life string) *lavmember.Registry {
	r := lavmember.New(f.store, member(i, life))
	ctx, cancel := context.WithCancel(context.WithoutCancel(f.t.Context()))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Serve(ctx)
	}()
	f.hosts, f.stops, f.ended = append(f.hosts, r), append(f.stops, cancel), append(f.ended, ended)
	return r
}

// withFleet runs body with n members that have settled. Every 100 ms the
// pending deltas of each reach all, as over the mesh.
func withFleet(t *testing.T, n int, body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, store: lavfake.NewStore()}
		for i := range n {
			f.join(i, "a")
		}
		defer func() {
			for i := range f.stops {
				f.stops[i]()
				<-f.ended[i]
			}
		}()
		f.settle(time.Minute)
		body(t, f)
	})
}

// settle lets time go by while deltas are told.
func (f *fleet) settle(d time.Duration) {
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

// assertViews checks the number of members that each of the hosts sees.
func (f *fleet) assertViews(hosts []*lavmember.Registry, want int) {
	f.t.Helper()
	for _, r := range hosts {
		lavassert.Equal(f.t, "members seen by "+r.Self().Host, len(r.View().Members), want)
	}
}

func TestRegistry(t *testing.T) {
	t.Run("a leaving host is seen to leave, and goes", func(t *testing.T) {
		withFleet(t, 6, func(t *testing.T, f *fleet) {
			f.assertViews(f.hosts, 6)
			f.hosts[2].Leave()
			f.settle(time.Second)
			for _, r := range f.hosts {
				m, ok := r.View().Member(member(2, "a").Incarnation)
				lavassert.True(t, "it leaves", ok && m.Leaving)
			}
			f.stops[2]()
			f.settle(2 * time.Second)
			f.assertViews(append(f.hosts[:2:2], f.hosts[3:]...), 5)
		})
	})
	t.Run("a host that dies goes with its lease", func(t *testing.T) {
		withFleet(t, 2, func(t *testing.T, f *fleet) {
			lease, err := f.store.Grant(t.Context(), lavmember.LeaseTTL)
			lavassert.NoError(t, err)
			_, err = f.store.CompareAndSwap(t.Context(), "member/x", 0, []byte(`{"Incarnation":"x"}`), lease)
			lavassert.NoError(t, err)
			f.settle(time.Second)
			f.assertViews(f.hosts, 3)
			f.settle(lavmember.LeaseTTL + time.Second)
			f.assertViews(f.hosts, 2)
		})
	})
	t.Run("of many hosts a few watch, and all hear", func(t *testing.T) {
		withFleet(t, 40, func(_ *testing.T, f *fleet) {
			f.assertViews(f.hosts, 40)
			reads, _ := f.store.Calls()
			f.settle(20 * time.Second)
			again, _ := f.store.Calls()
			// Eight watches, each once in 25 s, and a listing a minute from
			// each of the others.
			lavassert.AtMost(f.t, "reads in 20 s", again-reads, 30)
			f.join(40, "a")
			f.settle(2 * time.Second)
			f.assertViews(f.hosts, 41)
		})
	})
	t.Run("the last view holds while the store is down", func(t *testing.T) {
		withFleet(t, 6, func(_ *testing.T, f *fleet) {
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			f.settle(5 * time.Minute)
			f.assertViews(f.hosts, 6)
		})
	})
	t.Run("while it is down who can't be reached is left out, until he is met", func(t *testing.T) {
		withFleet(t, 6, func(_ *testing.T, f *fleet) {
			gone := member(2, "a")
			fail := func(seconds int) {
				for range seconds {
					f.hosts[0].Unreachable(gone.Incarnation)
					f.settle(time.Second)
				}
			}
			fail(20)
			f.assertViews(f.hosts[:1], 6)
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			fail(25)
			f.assertViews(f.hosts[:1], 5)
			f.hosts[0].Met(gone)
			f.assertViews(f.hosts[:1], 6)
		})
	})
	t.Run("while it is down a host that restarts takes its former place", func(t *testing.T) {
		withFleet(t, 6, func(t *testing.T, f *fleet) {
			f.store.SetFaults(lavfake.StoreFaults{Down: true})
			f.settle(time.Minute)
			next := f.join(2, "b")
			f.hosts[0].Met(member(2, "b"))
			f.assertViews(f.hosts[:1], 6)
			_, old := f.hosts[0].View().Member(member(2, "a").Incarnation)
			lavassert.True(t, "the former life is gone", !old)
			next.Met(member(0, "a"))
			next.MergeMembers(f.hosts[0].View().Members)
			f.assertViews([]*lavmember.Registry{next}, 6)
			f.store.SetFaults(lavfake.StoreFaults{})
			f.settle(time.Minute)
			f.assertViews(append(f.hosts[:2:2], next), 7)
		})
	})
	t.Run("a lost reply doesn't join twice", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{t: t, store: lavfake.NewStore()}
			f.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			f.join(0, "a")
			f.settle(10 * time.Second)
			f.store.SetFaults(lavfake.StoreFaults{})
			f.settle(time.Minute)
			entries, _, err := f.store.List(t.Context(), "member/")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "entries", len(entries), 1)
			lavassert.True(t, "bound to a lease", entries[0].Lease != lavstore.LeaseID(""))
			f.stops[0]()
			<-f.ended[0]
		})
	})
}
