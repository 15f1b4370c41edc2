package lavretry

import (
	"context"
	"slices"
	"time"
)

// Replicas are the two hosts that keep the record of a fingerprint. With two, the
// record survives the loss of either host, and the arrival of a replica that has
// no record yet. A run begins only if no replica that answers forbids it.
type Replicas struct {
	// Peers are the replicas other than this host.
	Peers []string
	// Self is true if this host is a replica.
	Self bool
}

// replicaAnswer is one replica's answer about a run.
type replicaAnswer struct {
	verdict Verdict
	err     error
}

// forbids reports whether a run may not begin now.
func (a Action) forbids() bool { return a == ActionWait || a == ActionRefuse }

// combine returns the strictest of this host's own verdict and the replicas'
// answers. A host that is not a replica and reaches none may know of one death but
// have missed another, so there a suspect must wait.
func (r Replicas) combine(own Verdict, answers []replicaAnswer) Verdict {
	verdict, reached := own, r.Self
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

// askReplicas asks all replicas concurrently whether a run may begin. It waits up
// to otherAnswersTimeout for all answers, and up to firstAnswerTimeout if there is
// no verdict of any replica yet, this host included. Calls whose answers it no
// longer waits for continue, so that those replicas learn of the run.
func (s *Suspects) askReplicas(ctx context.Context, replicas Replicas, r Run) []replicaAnswer {
	answers := make(chan replicaAnswer, len(replicas.Peers))
	for _, peer := range replicas.Peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), firstAnswerTimeout)
			defer cancel()
			verdict, err := s.peers.Begin(ctx, peer, r)
			answers <- replicaAnswer{verdict: verdict, err: err}
		}()
	}
	timer := time.NewTimer(otherAnswersTimeout)
	defer timer.Stop()
	var all []replicaAnswer
	reached, timedOut := replicas.Self, false
	for len(all) < len(replicas.Peers) && (!reached || !timedOut) {
		select {
		case a := <-answers:
			all = append(all, a)
			reached = reached || a.err == nil
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return all
		}
	}
	return all
}

// askedPeers are the peers that were asked about a run and must be notified of
// its end.
type askedPeers struct {
	peers []string
	until time.Time
}

func (s *Suspects) storeAskedPeers(r Run, peers []string) {
	if len(peers) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedByRun[r.ID] = askedPeers{peers: peers, until: r.Until}
}

// peersToNotify returns the peers that must learn of the end of a run: those that
// were asked about it and the fingerprint's current replicas. It drops the list of
// asked peers.
func (s *Suspects) peersToNotify(r Run) []string {
	current := s.peers.Replicas(r.Fingerprint).Peers
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := slices.Clone(s.askedByRun[r.ID].peers)
	delete(s.askedByRun, r.ID)
	for _, peer := range current {
		if !slices.Contains(peers, peer) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// dropExpiredAskedPeers drops the asked peers of runs that were never ended but whose
// time has passed.
func (s *Suspects) dropExpiredAskedPeers() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, a := range s.askedByRun {
		if now.After(a.until) {
			delete(s.askedByRun, id)
		}
	}
}
