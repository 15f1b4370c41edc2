package lavhost

import (
	"fmt"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"

	"github.com/cespare/xxhash/v2"
)

// maxCellEndpoints is the largest number of endpoints on which one scheduler places prompts. It
// bounds the processor time that a decision takes.
const maxCellEndpoints = 128

// cellID identifies the endpoints of a service on which one scheduler places prompts. The endpoints
// are divided into cells by the hashes of their IDs.
type cellID struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Cell    int
	Cells   int
}

// countCells returns the number of cells of a service with a number of endpoints.
func countCells(endpoints int) int {
	return max((endpoints+maxCellEndpoints-1)/maxCellEndpoints, 1)
}

// ownerKey is the name by which the scheduler of a cell is chosen. All hosts of a fleet must use the
// same text.
func (c cellID) ownerKey() string {
	return fmt.Sprintf("scheduler %s %d/%d", c.Service, c.Cell, c.Cells)
}

func (c cellID) hash() nameHash { return hashName(c.ownerKey()) }

// contains reports whether an endpoint of the service is in the cell.
func (c cellID) contains(endpoint lavconfig.Incarnation) bool {
	return c.Cells <= 1 || xxhash.Sum64String(endpoint.ID)%uint64(c.Cells) == uint64(c.Cell)
}

// scheduleRequest asks the scheduler of a cell where a prompt should run. Times are durations, since
// the clocks of hosts differ.
type scheduleRequest struct {
	// Number identifies the question, and Host, an incarnation, its sender.
	Number uint64      `cbor:"1,keyasint"`
	Host   string      `cbor:"2,keyasint"`
	Cell   cellID      `cbor:"3,keyasint"`
	Prompt askedPrompt `cbor:"4,keyasint"`
	// Age is the time since the prompt arrived, and Left the time until its host gives up.
	Age  time.Duration `cbor:"5,keyasint"`
	Left time.Duration `cbor:"6,keyasint"`
	// Excluded are the endpoints of the cell that the sender may not use now.
	Excluded []nameHash `cbor:"7,keyasint,omitempty"`
}

// askedPrompt is the encoding of a lavplan.Prompt. It has the same fields, so that the compiler
// finds one that is missing.
type askedPrompt struct {
	Tokens          int           `cbor:"1,keyasint,omitempty"`
	MaxOutputTokens int           `cbor:"2,keyasint,omitempty"`
	HintTokens      int           `cbor:"8,keyasint,omitempty"`
	Objective       time.Duration `cbor:"3,keyasint,omitempty"`
	PauseObjective  time.Duration `cbor:"4,keyasint,omitempty"`
	Retried         bool          `cbor:"5,keyasint,omitempty"`
	Rank            int           `cbor:"6,keyasint,omitempty"`
	Ranks           int           `cbor:"7,keyasint,omitempty"`
}

func (r scheduleRequest) askID() lavplan.AskID { return lavplan.AskID{Host: r.Host, Number: r.Number} }

// ask returns the question for a scheduler that knows the endpoints by their hashes.
func (r scheduleRequest) ask(now time.Time, endpoints map[nameHash]lavconfig.Incarnation) lavplan.Ask {
	a := lavplan.Ask{ID: r.askID(), Prompt: lavplan.Prompt(r.Prompt), Arrived: now.Add(-max(r.Age, 0)), GiveUp: now.Add(r.Left)}
	for _, hash := range r.Excluded {
		if a.Excluded == nil {
			a.Excluded = make(map[lavconfig.Incarnation]bool, len(r.Excluded))
		}
		a.Excluded[endpoints[hash]] = true
	}
	return a
}

// scheduleCancel takes a question back.
type scheduleCancel struct {
	Number uint64 `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Cell   cellID `cbor:"3,keyasint"`
}

//go:generate stringer -type=scheduleVerdict -trimprefix=verdict -output=scheduleverdict_string.go

// scheduleVerdict is what a scheduler says about a prompt.
type scheduleVerdict int

// The verdicts.
const (
	// verdictDeclined means that the host is not the scheduler, or doesn't know the loads.
	verdictDeclined scheduleVerdict = iota
	// verdictWaiting means that the prompt waits. The scheduler repeats that while it does.
	verdictWaiting
	verdictRefused
	verdictPlaced
)

// scheduleResponse answers the question with the same number.
type scheduleResponse struct {
	Number  uint64          `cbor:"1,keyasint"`
	Verdict scheduleVerdict `cbor:"2,keyasint"`
	// Account is the scheduler's account, and Grant the number of the placement in it.
	Account accountID     `cbor:"3,keyasint"`
	Grant   uint64        `cbor:"4,keyasint,omitempty"`
	Primary nameHash      `cbor:"5,keyasint,omitempty"`
	Helpers []nameHash    `cbor:"6,keyasint,omitempty"`
	Prefill time.Duration `cbor:"7,keyasint,omitempty"`
	// Expected is the estimated time to the first event, and Reserve the KV cache space to reserve at
	// the helpers, in tokens.
	Expected   time.Duration `cbor:"8,keyasint,omitempty"`
	Reserve    []int         `cbor:"9,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"10,keyasint,omitempty"`
}

// accountID identifies the grants of one scheduler for one cell, which are numbered for each host. It
// names the incarnation of the scheduler, so that the numbers of another one mean nothing.
type accountID struct {
	_         struct{} `cbor:",toarray"`
	Scheduler nameHash
	Cell      nameHash
}

func newScheduleResponse(d lavplan.Decision, account accountID) scheduleResponse {
	r := scheduleResponse{Number: d.ID.Number, Verdict: verdictRefused, Account: account, RetryAfter: d.RetryAfter}
	if d.Grant == 0 {
		return r
	}
	r.Verdict, r.Grant = verdictPlaced, d.Grant
	r.Primary = hashIncarnation(d.Primary)
	for _, h := range d.Helpers {
		r.Helpers = append(r.Helpers, hashIncarnation(h))
	}
	r.Prefill, r.Expected, r.Reserve = d.Plan.Prefill, d.Plan.Expected, d.Plan.Reserve
	return r
}

// decision returns the decision for a host that knows some endpoints. An endpoint that it doesn't
// know is the zero value. The plan refers to the helpers of the decision.
func (r scheduleResponse) decision(known []lavconfig.Incarnation) lavplan.Decision {
	d := lavplan.Decision{Grant: r.Grant, RetryAfter: r.RetryAfter}
	d.Helpers = make([]lavconfig.Incarnation, len(r.Helpers))
	d.Plan = lavplan.Plan{Prefill: r.Prefill, Expected: r.Expected, Reserve: r.Reserve[:min(len(r.Reserve), len(r.Helpers))]}
	for i := range r.Helpers {
		d.Plan.Helpers = append(d.Plan.Helpers, i)
	}
	for _, life := range known {
		hash := hashIncarnation(life)
		if hash == r.Primary {
			d.Primary = life
		}
		if i := slices.Index(r.Helpers, hash); i >= 0 {
			d.Helpers[i] = life
		}
	}
	return d
}

// countedGrant says that the report of a host contains its placements up to a grant.
type countedGrant struct {
	_       struct{} `cbor:",toarray"`
	Account accountID
	Grant   uint64
}

// grantTotals tells a scheduler which of its placements the totals with the number contain.
type grantTotals struct {
	Aggregator string         `cbor:"1,keyasint"`
	Number     uint64         `cbor:"2,keyasint"`
	Settled    []settledGrant `cbor:"3,keyasint"`
}

// settledGrant is the highest grant of a host in a cell.
type settledGrant struct {
	_     struct{} `cbor:",toarray"`
	Cell  nameHash
	Host  nameHash
	Grant uint64
}
