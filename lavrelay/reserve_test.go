package lavrelay

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// freeTime is how long after the end of its request KV cache may stay reserved.
const freeTime = 4 * time.Second

// endpointAt returns the address of an endpoint of a fixture, the first of which has the number 1.
func endpointAt(number uint16) netip.AddrPort {
	return netip.AddrPortFrom(firstEndpoint.Addr(), number)
}

// reserveFor reserves KV cache at the second endpoint of a fixture for a call at the first one.
func reserveFor(ctx context.Context, t *testing.T, b *fixture) *reservationSet {
	t.Helper()
	snapshot, _ := b.fleet.Snapshot("s", func(lavconfig.Incarnation) bool { return false })
	c := &placement{endpoint: snapshot.Endpoints[0], helpers: snapshot.Endpoints[1:], plan: lavplan.Plan{Reserve: []int{1000}}}
	reservations, err := (&task{relay: b.relay, call: b.call(lavconfig.KindStreaming)}).reserve(ctx, c)
	lavassert.NoError(t, err)
	return reservations
}

// assertFreedAfter checks that no reservation outlasts the end of its request by more than freeTime.
func assertFreedAfter(t *testing.T, reserved []standin.ReserveOrder, end time.Time) {
	t.Helper()
	for _, r := range reserved {
		lavassert.AtMost(t, "reserved after the end of the request", r.Received.Add(r.Hold).Sub(end), freeTime)
	}
}

// assertHeld checks that a reservation lasts from its first order until a time without a gap.
func assertHeld(t *testing.T, reserved []standin.ReserveOrder, until time.Time) {
	t.Helper()
	held := reserved[0].Received
	for _, r := range reserved {
		lavassert.True(t, "renewed in time", !r.Received.After(held) || held.Equal(reserved[0].Received))
		held = r.Received.Add(r.Hold)
	}
	lavassert.True(t, "held until the end", !held.Before(until))
}

// TestReservationEndsWithItsRequest guards against KV cache that stays reserved for a request that has ended
// with its endpoint or its host.
func TestReservationEndsWithItsRequest(t *testing.T) {
	t.Run("EndpointIsSilent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const lives = 3300 * time.Millisecond
			b := newFixture(standin.NeverRespond, standin.Reserved)
			b.endpoints.Set(endpointAt(1), standin.DarkAfter(lives))
			end := time.Now().Add(lives)
			reservations := reserveFor(context.Background(), t, b)
			time.Sleep(lives + 10*time.Second)
			assertFreedAfter(t, b.endpoints.Reserved(endpointAt(2)), end)
			reservations.release()
			b.relay.Wait()
			b.closePool()
		})
	})
	t.Run("HostEnds", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.DarkAfter(time.Hour), standin.Reserved)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			reservations := reserveFor(ctx, t, b)
			<-ctx.Done()
			assertFreedAfter(t, b.endpoints.Reserved(endpointAt(2)), time.Now())
			reservations.renewal.Wait()
			b.closePool()
		})
	})
	t.Run("EndpointIsBusy", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(standin.DarkAfter(time.Hour), standin.Reserved)
			reservations := reserveFor(context.Background(), t, b)
			time.Sleep(15 * time.Second)
			assertHeld(t, b.endpoints.Reserved(endpointAt(2)), time.Now())
			reservations.release()
			b.relay.Wait()
			b.closePool()
		})
	})
}

// TestEventsSpareQuestions checks that an endpoint that sends events isn't asked whether it is alive.
func TestEventsSpareQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(standin.DarkAfter(time.Hour), standin.Reserved)
		reservations := reserveFor(context.Background(), t, b)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			reservations.heard.Store(true)
		}
		assertHeld(t, b.endpoints.Reserved(endpointAt(2)), time.Now())
		lavassert.Equal(t, "questions", b.endpoints.Reports(endpointAt(1)), 0)
		reservations.release()
		b.relay.Wait()
		b.closePool()
	})
}

func TestLimitReservationLease(t *testing.T) {
	for _, test := range []struct{ longest, leftover, want time.Duration }{
		{0, 0, reservationLease},
		{time.Second, 0, time.Second},
		{time.Minute, freeTime, reservationLease},
		{time.Minute, 3 * time.Second, 1800 * time.Millisecond},
		{time.Minute, time.Second, renewInterval},
	} {
		b := newFixtureNow()
		b.relay.LimitReservationLease(test.longest, test.leftover)
		lavassert.Equal(t, "lease", time.Duration(b.relay.reservationLease.Load()), test.want)
	}
}
