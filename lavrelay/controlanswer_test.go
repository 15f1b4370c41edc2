package lavrelay

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// controlled returns a reservation, and the endpoint that it is at, which has the handler.
func (b *fixture) controlled() (*reservationSet, reservation) {
	snapshot, _ := b.fleet.Snapshot("s", func(lavconfig.Incarnation) bool { return false })
	endpoint := snapshot.Endpoints[0]
	endpoint.StartedAt = time.UnixMilli(standin.ReportedStart)
	orders := &reservationSet{task: &task{relay: b.relay, call: b.call(lavconfig.KindSafe)}}
	return orders, reservation{endpoint: endpoint, ticket: "t", tokens: 1}
}

// TestForeignAnswerGrantsNoReservation guards against an answer that is none to a reservation and counts as its
// success.
func TestForeignAnswerGrantsNoReservation(t *testing.T) {
	assertReservation := func(t *testing.T, granted bool, handler standin.Handler) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(handler)
			orders, at := b.controlled()
			err := orders.reserveOne(context.Background(), at, true)
			lavassert.Equal(t, "granted", err == nil, granted)
			b.closePool()
		})
	}
	t.Run("Reserved", func(t *testing.T) { assertReservation(t, true, standin.Reserved) })
	for name, handler := range standin.NoReservations() {
		t.Run(name, func(t *testing.T) { assertReservation(t, false, handler) })
	}
}

// TestRepeatedAnswerGrantsNoReservation guards against the answer to an earlier order on a kept connection that
// counts as the grant of a new reservation.
func TestRepeatedAnswerGrantsNoReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(standin.AgainOnKept(standin.Reserved))
		orders, at := b.controlled()
		lavassert.NoError(t, orders.reserveOne(context.Background(), at, true))
		err := orders.reserveOne(context.Background(), at, true)
		lavassert.ErrorIs(t, err, errNoKVSpace)
		b.closePool()
	})
}

// TestForeignAnswerIsNoReport guards against an answer that is no report of the endpoint, and whose pace counts.
func TestForeignAnswerIsNoReport(t *testing.T) {
	assertReport := func(t *testing.T, sound bool, handler standin.Handler) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			b := newFixture(handler)
			_, at := b.controlled()
			report, err := b.relay.fetchReport(context.Background(), at.endpoint)
			lavassert.Equal(t, "taken for a report", err == nil, sound)
			if sound {
				lavassert.Equal(t, "pace", report.Pace, standin.ReportedPace)
			}
			b.closePool()
		})
	}
	t.Run("Report", func(t *testing.T) { assertReport(t, true, standin.Report) })
	for name, handler := range standin.NoReports() {
		t.Run(name, func(t *testing.T) { assertReport(t, false, handler) })
	}
}

// TestControlAnswerThatBreaksOffIsNone guards against an answer to an order or a question that breaks off at any byte
// and counts.
func TestControlAnswerThatBreaksOffIsNone(t *testing.T) {
	count := func(handler standin.Handler, ask func(b *fixture) error) (taken int) {
		for length := range standin.ControlBytes {
			synctest.Test(t, func(_ *testing.T) {
				b := newFixture(standin.CutControl(handler, length))
				if ask(b) == nil {
					taken++
				}
				b.closePool()
			})
		}
		return taken
	}
	reserved := func(b *fixture) error {
		orders, at := b.controlled()
		return orders.reserveOne(context.Background(), at, true)
	}
	reported := func(b *fixture) error {
		_, at := b.controlled()
		_, err := b.relay.fetchReport(context.Background(), at.endpoint)
		return err
	}
	// Only a cut at or after the end leaves the answer whole.
	lavassert.Equal(t, "reservations", count(standin.Reserved, reserved), standin.ControlBytes-standin.WrittenBy(standin.Reserved))
	lavassert.Equal(t, "reports", count(standin.Report, reported), standin.ControlBytes-standin.WrittenBy(standin.Report))
}

// TestLateControlAnswerOnSocketIsNone guards against a repeated answer on an idle connection that counts as the report, or as the
// renewal, that is asked for next.
func TestLateControlAnswerOnSocketIsNone(t *testing.T) {
	const latePace = 9
	late := func(first, extra standin.Handler) standin.Handler {
		return func(c net.Conn, r *http.Request) {
			first(c, r)
			time.AfterFunc(lateExtra, func() { extra(c, r) })
		}
	}
	onSocket := func(handler standin.Handler) *fixture {
		b := newFixtureNow(handler)
		b.relay.pool = lavconn.New(b.endpoints.DialSocket, 2)
		return b
	}
	t.Run("Report", func(t *testing.T) {
		b := onSocket(standin.InTurn(late(standin.Report, standin.ReportPacing(latePace)), standin.Report))
		_, at := b.controlled()
		for range 2 {
			report, err := b.relay.fetchReport(context.Background(), at.endpoint)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "pace", report.Pace, standin.ReportedPace)
			time.Sleep(5 * lateExtra)
		}
		b.closePool()
	})
	t.Run("Renewal", func(t *testing.T) {
		refuse := standin.Control(http.StatusConflict, "{}")
		b := onSocket(standin.InTurn(late(standin.Reserved, standin.Reserved), refuse))
		orders, at := b.controlled()
		lavassert.NoError(t, orders.reserveOne(context.Background(), at, true))
		time.Sleep(5 * lateExtra)
		lavassert.ErrorIs(t, orders.reserveOne(context.Background(), at, false), errNoKVSpace)
		b.closePool()
	})
}
