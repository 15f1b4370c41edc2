package lavroute

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cespare/xxhash/v2"
)

// Ask is a request to be placed, with what binds its place.
type Ask struct {
	Request *lavrequest.Request
	// Lane is the lane in which the request waits. Its borders move, so that
	// it may differ from the request's length class.
	Lane lavrequest.LengthClass
	// Avoid names endpoints that have failed this request.
	Avoid []string
	// Alone asks for an endpoint that runs no other request of this kind, and
	// few others: this one may kill it.
	Alone bool
	// Hold names the endpoint that is kept for this request.
	Hold string
	// AnyRoom leaves the credits out of account: it asks where the request
	// would go if there were room.
	AnyRoom bool
}

// Own is what this host knows of its own work at one endpoint.
type Own struct {
	// Requests and Tokens are the work begun and not ended.
	Requests int
	Tokens   int
	// SinceRequests and SinceUnread are the part that the endpoint's last
	// report can't show: requests begun since then, and their prompt tokens
	// that are not yet read.
	SinceRequests int
	SinceUnread   int
	// Unread are the prompt tokens without a first answer token, by lane.
	Unread [lavrequest.ClassCount]int
	// Alone counts the requests that may kill the endpoint.
	Alone int
	// Room is the tokens of credit that this host has left there.
	Room int
	// Held marks an endpoint that is kept for a long request which has waited
	// long; only the shortest lane may still go there.
	Held bool
}

// Policy picks an endpoint for a request.
type Policy interface {
	// Pick returns the index of an endpoint in the board's snapshot, or -1 if
	// none can take the request now. own stands beside the snapshot.
	Pick(now time.Time, b *Board, own []Own, a *Ask) int
	// Priority returns the priority for the endpoint; lower goes first.
	Priority(now time.Time, a *Ask) int
}

// query is an ask with what each candidate is compared with worked out once.
type query struct {
	ask   *Ask
	board *Board
	// tokens is the room that the request needs.
	tokens int
	// plain is true if only the room decides, as it mostly does.
	plain bool
}

func newQuery(b *Board, a *Ask) query {
	q := query{ask: a, board: b, tokens: a.Request.TotalTokens()}
	if a.AnyRoom {
		q.tokens = 0
	}
	q.plain = a.Request.Adapter == "" && len(a.Avoid) == 0 && !a.Alone
	return q
}

// open reports whether an endpoint that serves the model may take the request
// now.
func (q *query) open(i int32, own *Own) bool {
	if own.Room < q.tokens && !q.ask.AnyRoom {
		return false
	}
	if q.plain && !own.Held {
		return true
	}
	return q.allowed(i, own)
}

// allowed looks at all but the room.
func (q *query) allowed(i int32, own *Own) bool {
	a, e := q.ask, &q.board.Snapshot.Endpoints[i]
	if own.Held && a.Lane != lavrequest.ClassShort && !a.AnyRoom && a.Hold != e.Name {
		return false
	}
	if a.Alone && own.Alone > 0 {
		return false
	}
	if a.Request.Adapter != "" && !slices.Contains(e.Report.Adapters, a.Request.Adapter) {
		return false
	}
	return !slices.Contains(a.Avoid, e.Name)
}

// requestHash spreads requests that are otherwise alike.
func requestHash(a *Ask) uint64 { return xxhash.Sum64String(string(a.Request.ID)) }

// mix joins two hashes into one that is spread evenly.
func mix(x, y uint64) uint64 {
	x ^= y
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
