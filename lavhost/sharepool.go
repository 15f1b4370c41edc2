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
	// number is that of the last recall, and sent are those whose loans may come.
	number uint64
	sent   map[uint64]sentRecall
}

// sentRecall is a recall that was sent at a time, for some endpoints.
type sentRecall struct {
	at    time.Time
	lives map[boundID]lavconfig.Incarnation
}

func newSharePool(e *permitExchange, scope tally.Scope) *sharePool {
	s := &sharePool{
		exchange:  e,
		handedOut: scope.Counter("pooled_handed_out"),
		recalled:  scope.Counter("shares_recalled"),
		lent:      scope.Counter("shares_lent"),
		pools:     make(map[boundID]*lavpermit.Pool),
		sent:      make(map[uint64]sentRecall),
	}
	handleDatagrams(e.socket, lavdatagram.KindShareRecall, e.logger, s.answerRecall)
	handleDatagrams(e.socket, lavdatagram.KindShareLoan, e.logger, s.acceptLoan)
	handleDatagrams(e.socket, lavdatagram.KindShareReturn, e.logger, s.takeBack)
	return s
}

// grant returns the permits for a request. It leaves out the endpoints whose permits this host
// doesn't hold.
func (s *sharePool) grant(r permitRequest) []grantItem {
	if len(r.Pooled) == 0 {
		return nil
	}
	view, self := s.exchange.peers.View(), s.exchange.peers.Self().Incarnation
	grants, pressed, returns := s.grantPooled(r, view, self)
	s.recall(view, self, pressed)
	s.giveBack(view, self, returns)
	return grants
}

// grantPooled returns the permits, the endpoints whose shares must be recalled, and by owner the shares that are
// given back.
func (s *sharePool) grantPooled(r permitRequest, view *lavmember.View, self string) (grants []grantItem, pressed []lavconfig.Incarnation, returns map[string][]returnItem) {
	now := time.Now()
	returns = make(map[string][]returnItem)
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
		for _, surplus := range pool.Surplus(now) {
			returns[surplus.Owner] = append(returns[surplus.Owner], returnItem{Life: item.life(), Recall: surplus.Recall})
		}
	}
	return grants, pressed, returns
}

// useView drops what was lent if the members have changed, as each may own another share then. The
// caller holds the lock.
func (s *sharePool) useView(view *lavmember.View) {
	if s.view == view {
		return
	}
	s.view = view
	clear(s.sent)
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
	number := s.nextRecall(lives)
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

// giveBack tells the owners of shares that they may use them again.
func (s *sharePool) giveBack(view *lavmember.View, self string, returns map[string][]returnItem) {
	for _, owner := range view.Members {
		items := returns[owner.Incarnation]
		message := shareReturn{Host: self, Items: items}
		switch {
		case len(items) == 0:
		case owner.Incarnation == self:
			s.takeBack(message)
		default:
			s.exchange.send(owner, lavdatagram.KindShareReturn, message)
		}
	}
}

// takeBack ends loans of this host's shares.
func (s *sharePool) takeBack(r shareReturn) {
	for _, item := range r.Items {
		s.exchange.fleet.TakeBackShare(item.Life, r.Host, item.Recall)
	}
}

// nextRecall returns the number of a recall for some endpoints that is sent now, and forgets those whose
// loans would have ended.
func (s *sharePool) nextRecall(lives []lavconfig.Incarnation) uint64 {
	now := time.Now()
	recall := sentRecall{at: now, lives: make(map[boundID]lavconfig.Incarnation, len(lives))}
	for _, life := range lives {
		recall.lives[newPooledBoundID(life)] = life
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, r := range s.sent {
		if now.Sub(r.at) > lavpermit.LoanTime {
			delete(s.sent, number)
		}
	}
	s.number++
	s.sent[s.number] = recall
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
		if l, ok := s.exchange.fleet.LendShare(life, r.Host, r.Number); ok {
			s.lent.Inc(1)
			loan.Items = append(loan.Items, loanItem{Bound: newPooledBoundID(life), Requests: l.Requests, Quiet: l.Quiet})
		}
	}
	return loan
}

// acceptLoan adds what an owner has lent to the pools, and gives back what they don't need any more.
func (s *sharePool) acceptLoan(l shareLoan) {
	if returned := s.addLoan(l); len(returned) > 0 {
		view, self := s.exchange.peers.View(), s.exchange.peers.Self().Incarnation
		s.giveBack(view, self, map[string][]returnItem{l.Host: returned})
	}
}

func (s *sharePool) addLoan(l shareLoan) (returned []returnItem) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, ok := s.sent[l.Number]
	if !ok {
		return nil
	}
	for _, item := range l.Items {
		pool := s.pools[item.Bound]
		loan := lavpermit.Loan{Requests: item.Requests, Quiet: item.Quiet, Recall: l.Number}
		if pool != nil && !pool.Lend(now, sent.at, l.Host, loan) {
			returned = append(returned, returnItem{Life: sent.lives[item.Bound], Recall: l.Number})
		}
	}
	return returned
}
