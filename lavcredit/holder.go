package lavcredit

import (
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
)

// Holder tracks a host's own allowances and the credits taken from them. It does
// no I/O and is not safe for concurrent use.
type Holder struct {
	allowances map[string]*allowance
}

// allowance is what the host may run at one incarnation of one endpoint.
type allowance struct {
	incarnation lavengine.Incarnation
	tokens      int
	cold        bool
	fence       uint64
	// expires is when no more work may begin under the allowance.
	expires time.Time
	// used is the number of tokens of work that runs at this incarnation.
	used int
	// wantTokens is what the largest waiting request needs, and wantedAt is when
	// Want was last called.
	wantTokens int
	wantedAt   time.Time
	// lastActive is when a credit was last taken or wanted.
	lastActive time.Time
	// suspendedAt is when the endpoint was last suspected of a restart.
	suspendedAt time.Time
	// unsentWant is true if wantTokens has increased since the last ask.
	unsentWant bool
}

// Timeouts of the holder.
const (
	// wantTTL is how long a want counts after the last call of Want.
	wantTTL = time.Second
	// renewIdleTimeout is how long the holder keeps renewing the allowance of an
	// endpoint that it doesn't use.
	renewIdleTimeout = 30 * time.Second
)

// longRequestDivisor divides an endpoint's limit. A request for more tokens than
// the result counts as long: the other holders' allowances are reduced until
// there is enough free memory for it.
const longRequestDivisor = 16

// NewHolder returns a holder without allowances.
func NewHolder() *Holder { return &Holder{allowances: make(map[string]*allowance)} }

// allowanceFor returns the allowance for an endpoint. It resets the allowance
// when the incarnation changes, since work at the earlier incarnation ended with
// it.
func (h *Holder) allowanceFor(now time.Time, e *lavendpoint.Endpoint) *allowance {
	a := h.allowances[e.Name]
	if a == nil {
		a = &allowance{lastActive: now}
		h.allowances[e.Name] = a
	}
	if a.incarnation != e.Report.Incarnation {
		*a = allowance{incarnation: e.Report.Incarnation, lastActive: now, suspendedAt: a.suspendedAt}
	}
	return a
}

// Available returns the number of tokens that Take can give a credit for. If a
// warm endpoint's owner doesn't answer, the endpoint's limit is shared equally
// among hostCount hosts.
func (h *Holder) Available(now time.Time, e *lavendpoint.Endpoint, hostCount int) int {
	a := h.allowanceFor(now, e)
	if !e.Heard.After(a.suspendedAt) || !e.Phase.TakesWork() {
		return 0
	}
	limit, cold := tokenLimit(e)
	valid := now.Before(a.expires)
	switch {
	case cold && !a.cold:
		return 0
	case cold && !valid:
		return 0
	case valid:
		return a.tokens - a.used
	default:
		return limit/max(hostCount, 1) - a.used
	}
}

// Take returns a credit for a number of tokens, or false if fewer are available.
func (h *Holder) Take(now time.Time, e *lavendpoint.Endpoint, tokens, hostCount int) (Credit, bool) {
	if tokens > h.Available(now, e, hostCount) {
		return Credit{}, false
	}
	a := h.allowances[e.Name]
	a.used += tokens
	a.lastActive = now
	expires := a.expires
	if !now.Before(expires) {
		expires = now.Add(RenewInterval)
	}
	_, cold := tokenLimit(e)
	return Credit{Endpoint: e.Name, Incarnation: a.incarnation, Tokens: tokens, Cold: cold, Expires: expires}, true
}

// Return gives a credit back when its work ends.
func (h *Holder) Return(c Credit) {
	if a := h.allowances[c.Endpoint]; a != nil && a.incarnation == c.Incarnation {
		a.used -= c.Tokens
	}
}

// Want records that a waiting request needs a number of tokens. It reports
// whether that is more than before, so that the owner should be asked at once.
func (h *Holder) Want(now time.Time, e *lavendpoint.Endpoint, tokens int) bool {
	a := h.allowanceFor(now, e)
	if now.Sub(a.wantedAt) > wantTTL {
		a.wantTokens = 0
	}
	increased := tokens > a.wantTokens
	a.wantTokens = max(a.wantTokens, tokens)
	a.wantedAt, a.lastActive = now, now
	if increased {
		a.unsentWant = true
	}
	return increased
}

// Suspend stops giving credits for an endpoint that may have restarted, until
// this host receives a load report after now.
func (h *Holder) Suspend(now time.Time, endpoint string) {
	if a := h.allowances[endpoint]; a != nil {
		a.suspendedAt = now
	}
}

// Ask returns the ask to send to an endpoint's owner, or false if the holder
// needs no allowance there.
func (h *Holder) Ask(now time.Time, e *lavendpoint.Endpoint) (Ask, bool) {
	a := h.allowanceFor(now, e)
	if e.Service != "" || a.incarnation == "" || !e.Phase.TakesWork() {
		return Ask{}, false
	}
	if a.used == 0 && now.Sub(a.lastActive) > renewIdleTimeout {
		return Ask{}, false
	}
	if now.Sub(a.wantedAt) > wantTTL {
		a.wantTokens = 0
	}
	a.unsentWant = false
	limit, cold := tokenLimit(e)
	ask := Ask{Endpoint: e.Name, Incarnation: a.incarnation, Have: a.unexpired(now), Used: a.used, Want: a.used + a.wantTokens}
	if !cold && a.wantTokens > limit/longRequestDivisor {
		ask.Big = a.wantTokens
	}
	return ask, true
}

// unexpired returns the tokens of the allowance, or 0 if it has expired.
func (a *allowance) unexpired(now time.Time) int {
	if !now.Before(a.expires) {
		return 0
	}
	return a.tokens
}

// HasUnsentWant reports whether the tokens wanted at an endpoint have increased
// since the last ask.
func (h *Holder) HasUnsentWant(endpoint string) bool {
	a := h.allowances[endpoint]
	return a != nil && a.unsentWant
}

// ApplyGrant replaces an allowance by the granted one, which expires GrantTTL
// after the ask was sent. A grant for another incarnation, or under an older
// claim, is dropped.
func (h *Holder) ApplyGrant(sent time.Time, g Grant) {
	a := h.allowances[g.Endpoint]
	if a == nil || a.incarnation != g.Incarnation || g.Cold && g.Fence < a.fence {
		return
	}
	a.tokens, a.cold = g.Tokens, g.Cold
	a.fence = max(a.fence, g.Fence)
	a.expires = sent.Add(GrantTTL)
}

// DropUnknown drops the allowances of endpoints that are no longer known and
// where none of the host's work runs.
func (h *Holder) DropUnknown(known func(endpoint string) bool) {
	for name, a := range h.allowances {
		if a.used == 0 && !known(name) {
			delete(h.allowances, name)
		}
	}
}
