package lavhost

import "time"

// grantTTL is how long a host reports its grants after the last one. Schedulers count a placement
// that no host reports for less than that.
const grantTTL = 3 * time.Second

// grantLog records which placements of schedulers the load of this host contains.
type grantLog map[accountID]*accountGrants

// accountGrants are the grants of one account.
type accountGrants struct {
	highest uint64
	// uncounted are the grants that were received but are not in the load yet.
	uncounted map[uint64]bool
	at        time.Time
}

func newGrantLog() grantLog { return make(grantLog) }

// receive records that a grant was received, whose load isn't counted yet.
func (l grantLog) receive(now time.Time, account accountID, grant uint64) {
	a := l[account]
	if a == nil {
		a = &accountGrants{uncounted: make(map[uint64]bool)}
		l[account] = a
	}
	a.highest, a.at = max(a.highest, grant), now
	a.uncounted[grant] = true
}

// count records that the load contains a grant, and returns up to which one it contains all.
func (l grantLog) count(account accountID, grant uint64) uint64 {
	a := l[account]
	if a == nil {
		return 0
	}
	delete(a.uncounted, grant)
	return a.counted()
}

// counted returns the grant up to which the load contains all that were received.
func (a *accountGrants) counted() uint64 {
	counted := a.highest
	for grant := range a.uncounted {
		counted = min(counted, grant-1)
	}
	return counted
}

// counted returns the grants of all accounts for the next report. It drops accounts without recent
// ones.
func (l grantLog) counted(now time.Time) []countedGrant {
	var out []countedGrant
	for account, a := range l {
		if now.Sub(a.at) > grantTTL && len(a.uncounted) == 0 {
			delete(l, account)
			continue
		}
		if counted := a.counted(); counted > 0 {
			out = append(out, countedGrant{Account: account, Grant: counted})
		}
	}
	return out
}
