package lavretry

import (
	"context"
	"slices"
	"time"
)

// Replicas are the hosts that keep a fingerprint. Two do, so that what is known of
// it outlasts the loss of one of them, and the arrival of one that knows nothing
// yet: a run begins only if none of those that answer forbids it.
type Replicas struct {
	// Peers are those beside this host.
	Peers []string
	// Self is true if this host is one of them.
	Self bool
}

// answer is what one keeper says of a run.
type answer struct {
	verdict Verdict
	err     error
}

// forbids reports whether a run may not begin now.
func (a Action) forbids() bool { return a == ActionWait || a == ActionRefuse }

// decide joins this host's own verdict and the keepers' answers; the strictest
// holds. A host that is no keeper and reaches none may know of one death and not
// of another, so that a suspect must wait there.
func (k Replicas) decide(own Verdict, answers []answer) Verdict {
	verdict, reached := own, k.Self
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		reached = true
		if a.verdict.Action > verdict.Action {
			verdict = a.verdict
		}
	}
	if !reached && verdict.Action == ActionAlone {
		return Verdict{Action: ActionWait}
	}
	return verdict
}

// askAll asks the keepers at the same time whether a run may begin. It waits for
// longer while none of them, this host included, has said a word. A keeper that
// it no longer waits for goes on to be asked, so that it knows of the run.
func (s *Suspects) askAll(ctx context.Context, k Replicas, r Run) []answer {
	answers := make(chan answer, len(k.Peers))
	for _, peer := range k.Peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), longAskTimeout)
			defer cancel()
			verdict, err := s.peers.Begin(ctx, peer, r)
			answers <- answer{verdict: verdict, err: err}
		}()
	}
	patience := time.NewTimer(askTimeout)
	defer patience.Stop()
	var all []answer
	reached, late := k.Self, false
	for len(all) < len(k.Peers) && (!reached || !late) {
		select {
		case a := <-answers:
			all = append(all, a)
			reached = reached || a.err == nil
		case <-patience.C:
			late = true
		case <-ctx.Done():
			return all
		}
	}
	return all
}

// asked are the peers that were asked about a run.
type asked struct {
	peers []string
	until time.Time
}

func (s *Suspects) noteAsked(r Run, peers []string) {
	if len(peers) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[r.ID] = asked{peers: peers, until: r.Until}
}

// whoKnows takes the peers that were asked about a run, and those that keep its
// fingerprint by now.
func (s *Suspects) whoKnows(r Run) []string {
	now := s.peers.Replicas(r.Fingerprint).Peers
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := slices.Clone(s.asked[r.ID].peers)
	delete(s.asked, r.ID)
	for _, peer := range now {
		if !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// forgetAsked drops runs that nobody has ended in their time.
func (s *Suspects) forgetAsked() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, a := range s.asked {
		if now.After(a.until) {
			delete(s.asked, id)
		}
	}
}
