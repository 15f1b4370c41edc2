package lavcredit

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// EndpointStatus is what the owner knows of an endpoint from its own snapshot.
type EndpointStatus struct {
	Incarnation lavengine.Incarnation
	// Limit is the number of tokens that may run at the endpoint at a time.
	Limit int
	Cold  bool
	// Running is the number of tokens that were running at Taken, when the
	// endpoint made its last load report.
	Running int
	Taken   time.Time
	// Reserved is true if the load report lists reservations. They use memory
	// that no credit accounts for.
	Reserved bool
	// Holders is the number of hosts that may ask for an allowance.
	Holders int
}

// Claim is an owner's exclusive right to grant allowances for a cold endpoint.
type Claim struct {
	// Fence is the fencing token of the claim.
	Fence uint64
	// Since is when the owner acquired the claim. No other host has granted
	// allowances for the endpoint since then.
	Since time.Time
	// Until is when the claim expires unless it is renewed.
	Until time.Time
}

// Valid reports whether the claim allows the owner to grant at now.
func (c Claim) Valid(now time.Time) bool { return now.Before(c.Until) }

// Allocator divides the capacity of the endpoints that a host owns among the
// holders. It does no I/O and is not safe for concurrent use.
type Allocator struct {
	accounts map[string]*endpointAccount
}

// endpointAccount tracks the allowances granted for one incarnation of one
// endpoint.
type endpointAccount struct {
	incarnation lavengine.Incarnation
	// fence is the fencing token of the claim under which the account was
	// opened, or 0 for a warm endpoint. A cold endpoint's account is void under
	// any other claim.
	fence uint64
	// priorGrantsEnd is when all grants of earlier owners have expired and all
	// requests sent under them have arrived. A load report made after it
	// includes all the work that still runs.
	priorGrantsEnd time.Time
	byHolder       map[string]*holderAccount
	lastAsk        time.Time
	// orphanTokens is an upper bound on the tokens that run at a cold endpoint
	// on behalf of hosts without an allowance. It is valid once orphansKnown is
	// true.
	orphanTokens int
	orphansKnown bool
}

// holderAccount tracks one holder's allowance at one endpoint.
type holderAccount struct {
	// committed is the largest number of tokens that the holder may be running
	// or may still have an allowance for.
	committed int
	// used is the number of tokens that the holder last reported as running.
	used int
	// lapsed is when the holder's membership lapsed, or zero for a member.
	lapsed time.Time
	// longTokens is what one waiting long request of the holder needs, or 0 if
	// none waits, and longSince is when the holder first asked for it.
	longTokens int
	longSince  time.Time
	lastAsk    time.Time
	// notOrphan is true once the holder's running tokens are no longer included
	// in orphanTokens.
	notOrphan bool
}

// NewAllocator returns an allocator without accounts.
func NewAllocator() *Allocator { return &Allocator{accounts: make(map[string]*endpointAccount)} }

// Grant records what a holder asks for and returns its new allowance. The claim
// matters only for a cold endpoint. There the allowance is 0 until the claim is
// valid and a load report shows what still runs under earlier grants.
func (a *Allocator) Grant(now time.Time, holder string, ask Ask, status EndpointStatus, claim Claim) Grant {
	g := Grant{Endpoint: ask.Endpoint, Incarnation: status.Incarnation, Cold: status.Cold}
	if ask.Incarnation != status.Incarnation || status.Incarnation == "" {
		// Either the holder or this owner hasn't yet seen that the endpoint
		// restarted.
		return g
	}
	account := a.accountFor(now, ask.Endpoint, status, claim)
	account.lastAsk = now
	h := account.holder(holder)
	h.lapsed = time.Time{}
	h.recordAsk(now, ask)
	if !status.Cold {
		g.Tokens = h.used + max(min(account.available(holder, status), account.target(now, holder, ask, status)-h.used), 0)
		h.committed = max(ask.Have, g.Tokens)
		return g
	}
	g.Fence = claim.Fence
	account.updateOrphans(status)
	if account.orphansKnown && claim.Valid(now) {
		account.excludeFromOrphans(h)
		g.Tokens = h.used + max(min(account.available(holder, status), ask.Want-h.used), 0)
	}
	h.committed = max(ask.Have, ask.Used, g.Tokens)
	return g
}

// accountFor returns the account of an endpoint, and opens a new one if the
// incarnation has changed or a cold endpoint is held under a new claim. Work
// under the old account has then either died with the endpoint, or is covered
// by waiting for priorGrantsEnd.
func (a *Allocator) accountFor(now time.Time, endpoint string, status EndpointStatus, claim Claim) *endpointAccount {
	fence := uint64(0)
	if status.Cold {
		fence = claim.Fence
	}
	account := a.accounts[endpoint]
	if account != nil && account.incarnation == status.Incarnation && (!status.Cold || account.fence == fence) {
		return account
	}
	account = &endpointAccount{incarnation: status.Incarnation, fence: fence, priorGrantsEnd: now, byHolder: make(map[string]*holderAccount)}
	if status.Cold {
		account.priorGrantsEnd = claim.Since.Add(grantExpiryWait)
	}
	a.accounts[endpoint] = account
	return account
}

func (a *endpointAccount) holder(name string) *holderAccount {
	h := a.byHolder[name]
	if h == nil {
		h = &holderAccount{}
		a.byHolder[name] = h
	}
	return h
}

// recordAsk updates the account from the holder's latest ask.
func (h *holderAccount) recordAsk(now time.Time, ask Ask) {
	h.used, h.lastAsk = ask.Used, now
	h.committed = max(ask.Have, ask.Used)
	if ask.Big == 0 {
		h.longTokens = 0
		return
	}
	if h.longTokens == 0 {
		h.longSince = now
	}
	h.longTokens = ask.Big
}

// available returns the number of tokens that a holder may be granted beyond
// those that it uses. It is negative if more is committed than the limit.
func (a *endpointAccount) available(holder string, status EndpointStatus) int {
	committed, unused, used := a.byHolder[holder].used, 0, 0
	for name, h := range a.byHolder {
		used += h.used
		if name != holder {
			committed += h.committed
			unused += h.committed - h.used
		}
	}
	switch {
	case status.Cold:
	case status.Reserved:
		return status.Limit - committed - max(status.Running-used, 0)
	default:
		return status.Limit - committed
	}
	// If the cancellation of a request was lost, the request may still run
	// although its holder counts it as ended. Only the load report includes it.
	return status.Limit - max(a.orphanTokens+committed, status.Running+unused)
}

// updateOrphans updates the bound on orphan tokens from a load report of a cold
// endpoint. The first report made after priorGrantsEnd includes all running
// work, and all of it counts as orphaned at first. No orphaned work begins after
// that, so each later report is an upper bound too.
func (a *endpointAccount) updateOrphans(status EndpointStatus) {
	if !status.Taken.After(a.priorGrantsEnd) {
		return
	}
	if !a.orphansKnown {
		a.orphansKnown, a.orphanTokens = true, status.Running
	}
	for name, h := range a.byHolder {
		if !h.lapsed.IsZero() && status.Taken.After(h.lapsed.Add(grantExpiryWait)) {
			a.orphanTokens += h.committed
			delete(a.byHolder, name)
		}
	}
	a.orphanTokens = min(a.orphanTokens, status.Running)
}

// excludeFromOrphans subtracts a holder's running tokens from the orphan tokens
// on its first ask after those were counted. The holder has begun no work since
// then, so all of its running work was included in the count.
func (a *endpointAccount) excludeFromOrphans(h *holderAccount) {
	if !h.notOrphan {
		h.notOrphan = true
		a.orphanTokens = max(a.orphanTokens-h.used, 0)
	}
}

// Allowances for warm endpoints.
const (
	// baseShareDivisor divides a holder's even share of the limit. The result
	// is the number of tokens that a holder is granted beyond those that it
	// uses, even if it asks for fewer.
	baseShareDivisor = 2
	// reducedShareDivisor replaces baseShareDivisor for the other holders while
	// a long request waits for memory.
	reducedShareDivisor = 8
	// longRequestTimeout is how long after its holder's last ask a long request
	// still reduces the allowances of the other holders.
	longRequestTimeout = 2 * time.Second
)

// target returns the allowance that a holder gets at a warm endpoint if enough
// tokens are available: what it asks for, and at least the base share beyond
// what it uses. While a long request of another holder has waited longer, it
// gets only the reduced share, so that enough memory becomes free for the long
// request.
func (a *endpointAccount) target(now time.Time, holder string, ask Ask, status EndpointStatus) int {
	evenShare := status.Limit / max(status.Holders, 1)
	if first := a.longestWaiting(now); first != "" && first != holder {
		return ask.Used + evenShare/reducedShareDivisor
	}
	return max(ask.Want, ask.Used+evenShare/baseShareDivisor)
}

// longestWaiting returns the holder whose long request has waited longest, or
// the empty string if no long request waits. Ties are broken by name.
func (a *endpointAccount) longestWaiting(now time.Time) string {
	first := ""
	for name, h := range a.byHolder {
		if h.longTokens == 0 || !h.lapsed.IsZero() || now.Sub(h.lastAsk) > longRequestTimeout {
			continue
		}
		if first == "" || h.longSince.Before(a.byHolder[first].longSince) || h.longSince.Equal(a.byHolder[first].longSince) && name < first {
			first = name
		}
	}
	return first
}

// SetMembers updates which holders are members. At a cold endpoint the tokens
// of a holder whose membership has lapsed stay committed until a later load
// report shows what still runs. At a warm endpoint they are freed at once, since
// the endpoint itself refuses requests that exceed its memory.
func (a *Allocator) SetMembers(now time.Time, holders []string) {
	for _, account := range a.accounts {
		for name, h := range account.byHolder {
			switch {
			case slices.Contains(holders, name):
				h.lapsed = time.Time{}
			case account.fence == 0:
				delete(account.byHolder, name)
			case h.lapsed.IsZero():
				h.lapsed = now
			}
		}
	}
}

// DropIdle closes the accounts of endpoints that this host doesn't own and for
// which no holder has asked within idleAccountTTL. Until then the host may become
// the owner again under the same claim, and must still account for its grants.
func (a *Allocator) DropIdle(now time.Time, owned func(endpoint string) bool) {
	for name, account := range a.accounts {
		if !owned(name) && now.Sub(account.lastAsk) > idleAccountTTL {
			delete(a.accounts, name)
		}
	}
}

// idleAccountTTL must exceed claimIdleTimeout, so that an account outlives its
// claim.
const idleAccountTTL = time.Minute
