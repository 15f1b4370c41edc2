package lavretry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"
)

// Times and bounds of sharing.
const (
	// askTimeout bounds the wait for the second of a fingerprint's keepers, and
	// longAskTimeout that for the first; past it the host decides by what it
	// knows itself.
	askTimeout     = 150 * time.Millisecond
	longAskTimeout = 500 * time.Millisecond
	flushEvery     = 200 * time.Millisecond
	readEvery      = 30 * time.Second
	// maxUnwritten bounds the deaths that wait for the store.
	maxUnwritten = 4096
	keyPrefix    = "suspect/"
)

// Peers reaches the suspects of other hosts.
type Peers interface {
	// Replicas returns the hosts that decide on a fingerprint.
	Replicas(fingerprint uint64) Replicas
	// Begin asks a peer whether a run may begin.
	Begin(ctx context.Context, peer string, r Run) (Verdict, error)
	// End tells a peer that a run has ended.
	End(peer string, r Run, finished bool)
	// ReportDeath tells a peer of a death, and then that its run has ended.
	ReportDeath(peer string, r Run, d Death)
	// BroadcastDeath tells every peer of a death.
	BroadcastDeath(d Death)
	// SendRecords hands a peer what this host knows.
	SendRecords(peer string, known []FingerprintRecord)
}

// NoPeers is the Peers of a host without others.
type NoPeers struct{}

// Replicas implements Peers.
func (NoPeers) Replicas(uint64) Replicas { return Replicas{Self: true} }

// Begin implements Peers.
func (NoPeers) Begin(context.Context, string, Run) (Verdict, error) { return Verdict{}, nil }

// End implements Peers.
func (NoPeers) End(string, Run, bool) {}

// ReportDeath implements Peers.
func (NoPeers) ReportDeath(string, Run, Death) {}

// BroadcastDeath implements Peers.
func (NoPeers) BroadcastDeath(Death) {}

// SendRecords implements Peers.
func (NoPeers) SendRecords(string, []FingerprintRecord) {}

// Suspects shares a Guard among hosts.
type Suspects struct {
	peers Peers
	store lavstore.Store

	mu        sync.Mutex
	guard     *Guard
	unwritten []Death
	doubts    []doubt
	// asked are the peers that know of each run which this host has begun.
	asked map[string]asked
}

// NewSuspects returns the suspects of a host.
func NewSuspects(store lavstore.Store, peers Peers) *Suspects {
	return &Suspects{peers: peers, store: store, guard: NewGuard(), asked: make(map[string]asked)}
}

// Check returns the verdict on a fingerprint as far as this host knows.
func (s *Suspects) Check(fingerprint uint64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Check(time.Now(), fingerprint)
}

// Begin asks whether a run may begin: first this host's own guard, then the
// keepers of the fingerprint.
func (s *Suspects) Begin(ctx context.Context, r Run) Verdict {
	if lavstep.Reach(ctx, lavstep.SuspectBegin, r.Endpoint) != nil {
		return Verdict{Action: ActionWait}
	}
	s.settle(ctx, func(d doubt) bool { return d.run.Fingerprint == r.Fingerprint })
	own := s.BeginLocal(r)
	if own.Action.forbids() {
		return own
	}
	keepers := s.peers.Replicas(r.Fingerprint)
	s.noteAsked(r, keepers.Peers)
	verdict := keepers.decide(own, s.askAll(ctx, keepers, r))
	if verdict.Action == ActionRefuse {
		s.quarantine(r.Fingerprint, verdict.Until)
	}
	if verdict.Action.forbids() {
		s.End(r, false)
	}
	return verdict
}

// quarantine takes over a keeper's word, so that it holds here also while no
// keeper can be asked.
func (s *Suspects) quarantine(fingerprint uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Quarantine(time.Now(), fingerprint, until)
}

// BeginLocal asks this host's own guard, for itself or a peer.
func (s *Suspects) BeginLocal(r Run) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Begin(time.Now(), r)
}

// End ends a run that was allowed to begin.
func (s *Suspects) End(r Run, finished bool) {
	s.EndLocal(r, finished)
	for _, peer := range s.whoKnows(r) {
		s.peers.End(peer, r, finished)
	}
}

// EndLocal ends a run at this host's own guard.
func (s *Suspects) EndLocal(r Run, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.End(time.Now(), r, finished)
}

// RecordDeath ends a run whose endpoint died, and tells every host.
func (s *Suspects) RecordDeath(ctx context.Context, r Run, d Death) {
	s.mu.Lock()
	d.Count = s.guard.RecordDeath(time.Now(), d)
	if len(s.unwritten) < maxUnwritten {
		s.unwritten = append(s.unwritten, d)
	}
	s.mu.Unlock()
	if lavstep.Reach(ctx, lavstep.SuspectDeath, d.Endpoint) == nil {
		s.peers.BroadcastDeath(d)
	}
	// The death is known before the run ends, so that no other run of the
	// fingerprint takes the free place.
	s.EndLocal(r, false)
	for _, peer := range s.whoKnows(r) {
		s.peers.ReportDeath(peer, r, d)
	}
}

// RecordReportedDeath takes in a death that a peer tells of.
func (s *Suspects) RecordReportedDeath(d Death) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Hear(time.Now(), d)
}

// Serve writes deaths to the store and reads those of others until the context
// ends.
func (s *Suspects) Serve(ctx context.Context) error {
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	read := time.NewTicker(readEvery)
	defer read.Stop()
	s.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-flush.C:
			s.settle(ctx, func(doubt) bool { return true })
			s.flush(ctx)
		case <-read.C:
			s.forgetAsked()
			s.read(ctx)
		}
	}
}

// flush writes the deaths since the last flush as one value.
func (s *Suspects) flush(ctx context.Context) {
	s.mu.Lock()
	deaths := s.unwritten
	s.unwritten = nil
	s.mu.Unlock()
	if len(deaths) == 0 {
		return
	}
	value, err := json.Marshal(deaths)
	if err == nil {
		// A write whose reply was lost is written again under another key;
		// a death told twice counts once.
		_, err = s.store.CompareAndSwap(ctx, keyPrefix+rand.Text(), 0, value, "")
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unwritten = append(deaths, s.unwritten...)
	}
}

// read takes in the deaths in the store and removes those that are over.
func (s *Suspects) read(ctx context.Context) {
	entries, _, err := s.store.List(ctx, keyPrefix)
	if err != nil {
		return
	}
	for _, e := range entries {
		var deaths []Death
		if json.Unmarshal(e.Value, &deaths) != nil {
			continue
		}
		over := true
		for _, d := range deaths {
			over = over && time.Since(d.At) > QuarantineTime
			s.remember(d)
		}
		if over {
			// Another host may have removed it first.
			_ = s.store.Delete(ctx, e.Key, e.Revision)
		}
	}
}

func (s *Suspects) remember(d Death) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Remember(time.Now(), d)
}
