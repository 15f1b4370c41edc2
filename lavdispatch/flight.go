package lavdispatch

import (
	"time"

	"lavenderrack.example/lavenderrack/lavcredit"
	"lavenderrack.example/lavenderrack/lavroute"
)

// flight is this host's own work at the endpoints: the assignments that run,
// and their sums beside the board's snapshot.
type flight struct {
	running map[*Assignment]struct{}
	board   *lavroute.Board
	own     []lavroute.Own
}

func newFlight() *flight {
	return &flight{running: make(map[*Assignment]struct{})}
}

// lay sums up the running work beside a new board.
func (f *flight) lay(b *lavroute.Board) {
	f.board = b
	n := len(b.Snapshot.Endpoints)
	if cap(f.own) < n {
		f.own = make([]lavroute.Own, n)
	}
	f.own = f.own[:n]
	clear(f.own)
	for a := range f.running {
		f.add(a, 1)
	}
}

// rooms asks for the credit that is left at each endpoint.
func (f *flight) rooms(now time.Time, credits lavcredit.Source) {
	endpoints := f.board.Snapshot.Endpoints
	for i := range endpoints {
		if endpoints[i].Service == "" {
			f.own[i].Room = credits.Available(now, &endpoints[i])
		}
	}
}

// room asks for the credit that is left at one endpoint.
func (f *flight) room(now time.Time, credits lavcredit.Source, endpoint string) {
	if i := f.board.Index(endpoint); i >= 0 {
		f.own[i].Room = credits.Available(now, &f.board.Snapshot.Endpoints[i])
	}
}

// add counts an assignment in, or out if sign is -1. Work of an earlier life
// of an endpoint died with it.
func (f *flight) add(a *Assignment, sign int) {
	i := f.board.Index(a.Endpoint.Name)
	if i < 0 {
		return
	}
	report := &f.board.Snapshot.Endpoints[i].Report
	if report.Incarnation != a.Endpoint.Report.Incarnation {
		return
	}
	own := &f.own[i]
	own.Requests += sign
	own.Tokens += sign * a.Request().TotalTokens()
	since := a.began.After(report.Taken)
	if since {
		own.SinceRequests += sign
	}
	if a.ask.Alone {
		own.Alone += sign
	}
	if !a.first.IsZero() {
		return
	}
	own.Unread[a.ask.Lane] += sign * a.Request().PromptTokens
	if since {
		own.SinceUnread += sign * a.Request().PromptTokens
	}
}

func (f *flight) begin(a *Assignment) {
	f.running[a] = struct{}{}
	f.add(a, 1)
	if i := f.board.Index(a.Endpoint.Name); i >= 0 {
		f.own[i].Room -= a.Request().TotalTokens()
	}
}

func (f *flight) end(a *Assignment) {
	if _, ok := f.running[a]; !ok {
		return
	}
	f.add(a, -1)
	delete(f.running, a)
}

// read notes that an assignment's prompt has been read.
func (f *flight) read(a *Assignment, now time.Time) {
	f.add(a, -1)
	a.first = now
	f.add(a, 1)
}
