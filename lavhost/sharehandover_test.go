package lavhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/platform"
)

// TestHandoverIsTakenOnce guards against shares that two processes of a host take up one after the other.
func TestHandoverIsTakenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 1)
		defer f.end(t)
		time.Sleep(2 * shareSettle)
		f.leave(2)
		store := f.hosts[0].deps.Store
		listed := func() []lavmirror.Entry {
			entries, _, err := store.List(context.Background(), platform.PrefixShares)
			lavassert.NoError(t, err)
			return entries
		}
		left := listed()
		lavassert.Equal(t, "handovers in the store", len(left), 1)
		f.startLater()
		time.Sleep(2 * time.Second)
		lavassert.Equal(t, "handovers in the store once it was taken up", len(listed()), 0)
		taken, err := store.Take(context.Background(), left[0].Key, left[0].Revision)
		lavassert.True(t, "it is not taken again", !taken && err != nil)
	})
}
