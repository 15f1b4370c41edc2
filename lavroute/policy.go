package lavroute

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cespare/xxhash/v2"
)

// PlacementRequest is a request that needs an endpoint, with the constraints on
// the choice.
type PlacementRequest struct {
	Request *lavrequest.Request
	// Lane is the lane in which the request is queued. It may differ from the
	// length class of the request because the lane boundaries change with the
	// load.
	Lane lavrequest.LengthClass
	// Avoid names endpoints on which this request has failed.
	Avoid []string
	// Alone marks a request that is suspected of crashing endpoints. It must
	// not run on an endpoint with another such request, and prefers endpoints
	// with few running requests.
	Alone bool
	// HeldEndpoint names the endpoint that is held for this request; empty if
	// there is none.
	HeldEndpoint string
	// IgnoreCapacity ignores credits, holds and load limits. It serves to find
	// the endpoint that the request would use if it had capacity.
	IgnoreCapacity bool
}

// LocalLoad describes, for one endpoint, the unfinished work and the remaining
// credit of this host, and whether the endpoint is held.
type LocalLoad struct {
	// Requests and Tokens count the unfinished work.
	Requests int
	Tokens   int
	// RequestsSinceReport and PendingPrefillSinceReport count the work that the
	// endpoint's last load report cannot include: requests dispatched after it
	// was taken, and those of their prompt tokens whose prefill is not
	// finished.
	RequestsSinceReport       int
	PendingPrefillSinceReport int
	// PendingPrefill is, by lane, the prompt tokens of requests that have not
	// yet produced a first token.
	PendingPrefill [lavrequest.ClassCount]int
	// Alone counts the requests suspected of crashing the endpoint.
	Alone int
	// AvailableCredit is the tokens of credit that this host has left at the
	// endpoint.
	AvailableCredit int
	// Held is true while the endpoint is held for a long request that has
	// waited for capacity. Apart from that request, only requests in the
	// shortest lane may use a held endpoint.
	Held bool
}

// Policy picks an endpoint for a request.
type Policy interface {
	// Pick returns the index of an endpoint in the table's snapshot, or -1 if
	// no endpoint can take the request now. local has one element per endpoint
	// of the snapshot, in the same order.
	Pick(now time.Time, table *RoutingTable, local []LocalLoad, pr *PlacementRequest) int
	// Priority returns the scheduling priority of the request at the endpoint;
	// lower values are scheduled first.
	Priority(now time.Time, pr *PlacementRequest) int
}

// query is a placement request with values that are computed once and compared
// with every candidate.
type query struct {
	placement *PlacementRequest
	table     *RoutingTable
	// requiredCredit is the tokens of credit that the request needs.
	requiredCredit int
	// creditOnly is true if the request has no constraints besides credit,
	// which is the common case.
	creditOnly bool
}

func newQuery(table *RoutingTable, pr *PlacementRequest) query {
	q := query{placement: pr, table: table, requiredCredit: pr.Request.TotalTokens()}
	if pr.IgnoreCapacity {
		q.requiredCredit = 0
	}
	q.creditOnly = pr.Request.Adapter == "" && len(pr.Avoid) == 0 && !pr.Alone
	return q
}

// accepts reports whether an endpoint that serves the model may take the
// request now.
func (q *query) accepts(i int32, local *LocalLoad) bool {
	if local.AvailableCredit < q.requiredCredit && !q.placement.IgnoreCapacity {
		return false
	}
	if q.creditOnly && !local.Held {
		return true
	}
	return q.meetsConstraints(i, local)
}

// meetsConstraints checks every constraint except credit.
func (q *query) meetsConstraints(i int32, local *LocalLoad) bool {
	pr, e := q.placement, &q.table.Snapshot.Endpoints[i]
	if local.Held && pr.Lane != lavrequest.ClassShort && !pr.IgnoreCapacity && pr.HeldEndpoint != e.Name {
		return false
	}
	if pr.Alone && local.Alone > 0 {
		return false
	}
	if pr.Request.Adapter != "" && !slices.Contains(e.Report.Adapters, pr.Request.Adapter) {
		return false
	}
	return !slices.Contains(pr.Avoid, e.Name)
}

// requestHash returns a hash that distributes otherwise identical requests over
// endpoints.
func requestHash(pr *PlacementRequest) uint64 { return xxhash.Sum64String(string(pr.Request.ID)) }

// mixHashes combines two hashes into a uniformly distributed one.
func mixHashes(x, y uint64) uint64 {
	x ^= y
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
