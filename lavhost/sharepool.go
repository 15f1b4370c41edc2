package lavhost

import (
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavdatagram"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavpermit"

	"github.com/uber-go/tally/v4"
)

// sharePool hands out the permits to send requests to endpoints that may be cold, as far as this
// host is their holder. It asks the hosts that own shares to lend them, and lends those of this host.
type sharePool struct {
	exchange *permitExchange
	// handedOut counts the permits that this host handed out, and recalled the shares for which it
	// asked. lent counts the loans of this host.
	handedOut, recalled, lent tally.Counter

	mu    sync.Mutex
	pools map[boundID]*lavpermit.Pool
	// view is that for which the shares were lent.
	view *lavmember.View
	// number is that of the last recall, and sentAt when each was sent whose loans may come.
	number uint64
	sentAt map[uint64]time.Time
}

func newSharePool(e *permitExchange, scope tally.Scope) *sharePool {
	s := &sharePool{
		exchange:  e,
		handedOut: scope.Counter("pooled_handed_out"),
		recalled:  scope.Counter("shares_recalled"),
		lent:      scope.Counter("shares_lent"),
		pools:     make(map[boundID]*lavpermit.Pool),
		sentAt:    make(map[uint64]time.Time),
	}
	handleDatagrams(e.socket, lavdatagram.KindShareRecall, e.logger, s.answerRecall)
	handleDatagrams(e.socket, lavdatagram.KindShareLoan, e.logger, s.acceptLoan)
	return s
}

// grant returns the permits for a request. It leaves out the endpoints whose permits this host
// doesn't hold.
func (s *sharePool) grant(r permitRequest) []grantItem {
	if len(r.Pooled) == 0 {
		return nil
	}
	view, self := s.exchange.peers.View(), s.exchange.peers.Self().Incarnation
	grants, pressed := s.grantPooled(r, view, self)
	s.recall(view, self, pressed)
	return grants
}

// grantPooled returns the permits, and the endpoints whose shares must be recalled.
func (s *sharePool) grantPooled(r permitRequest, view *lavmember.View, self string) (grants []grantItem, pressed []lavconfig.Incarnation) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.useView(view)
	for _, item := range r.Pooled {
		bound := newPooledBoundID(item.life())
		if holder, _ := lavmember.Owner(view, bound.ownerKey()); holder.Incarnation != self {
			continue
		}
		pool := s.pool(now, bound)
		g := pool.Grant(now, lavpermit.Question{Asker: r.Host, Number: r.Number, Held: item.Held, Used: item.Used, Want: item.Permits})
		s.handedOut.Inc(int64(g.Permits))
		grants = append(grants, grantItem{Bound: bound, Permits: g.Permits, AskAfter: g.AskAfter})
		if pool.RecallDue(now) {
			pressed = append(pressed, item.life())
		}
	}
	return grants, pressed
}

// useView drops what was lent if the members have changed, as each may own another share then. The
// caller holds the lock.
func (s *sharePool) useView(view *lavmember.View) {
	if s.view == view {
		return
	}
	s.view = view
	clear(s.sentAt)
	for _, pool := range s.pools {
		pool.DropLoans()
	}
}

// pool returns the pool of a bound, and drops those that are idle when it creates one. The caller
// holds the lock.
func (s *sharePool) pool(now time.Time, bound boundID) *lavpermit.Pool {
	if pool := s.pools[bound]; pool != nil {
		return pool
	}
	for other, pool := range s.pools {
		if pool.Idle(now) {
			delete(s.pools, other)
		}
	}
	s.pools[bound] = lavpermit.NewPool()
	return s.pools[bound]
}

// recall asks the owners of shares of some endpoints to lend them.
func (s *sharePool) recall(view *lavmember.View, self string, lives []lavconfig.Incarnation) {
	if len(lives) == 0 {
		return
	}
	number := s.nextRecall()
	indexes := s.exchange.peers.shareIndexes(view.Members)
	for _, owner := range view.Members {
		index, counted := indexes[owner.Incarnation]
		if !counted {
			continue
		}
		message := shareRecall{Number: number, Host: self}
		for _, life := range lives {
			if s.exchange.fleet.ShareAt(life, index) > 0 {
				message.Lives = append(message.Lives, life)
			}
		}
		s.recalled.Inc(int64(len(message.Lives)))
		switch {
		case len(message.Lives) == 0:
		case owner.Incarnation == self:
			s.acceptLoan(s.lend(message))
		default:
			s.exchange.send(owner, lavdatagram.KindShareRecall, message)
		}
	}
}

// nextRecall returns the number of a recall that is sent now, and forgets those whose loans would
// have ended.
func (s *sharePool) nextRecall() uint64 {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, at := range s.sentAt {
		if now.Sub(at) > lavpermit.LoanTime {
			delete(s.sentAt, number)
		}
	}
	s.number++
	s.sentAt[s.number] = now
	return s.number
}

// answerRecall lends this host's shares to a holder.
func (s *sharePool) answerRecall(r shareRecall) {
	if holder, ok := s.exchange.peers.View().Member(r.Host); ok {
		s.exchange.send(holder, lavdatagram.KindShareLoan, s.lend(r))
	}
}

func (s *sharePool) lend(r shareRecall) shareLoan {
	loan := shareLoan{Number: r.Number, Host: s.exchange.peers.Self().Incarnation}
	for _, life := range r.Lives {
		if l, ok := s.exchange.fleet.LendShare(life, r.Host); ok {
			s.lent.Inc(1)
			loan.Items = append(loan.Items, loanItem{Bound: newPooledBoundID(life), Requests: l.Requests, Quiet: l.Quiet})
		}
	}
	return loan
}

// acceptLoan adds what an owner has lent to the pools.
func (s *sharePool) acceptLoan(l shareLoan) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sentAt, ok := s.sentAt[l.Number]
	if !ok {
		return
	}
	for _, item := range l.Items {
		if pool := s.pools[item.Bound]; pool != nil {
			pool.Lend(now, sentAt, l.Host, lavpermit.Loan{Requests: item.Requests, Quiet: item.Quiet})
		}
	}
}
