package lavretry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"
)

// Intervals and limits of sharing.
const (
	// otherAnswersTimeout bounds the wait for the second replica's answer, and
	// firstAnswerTimeout the wait for the first. If no replica answers in time, the
	// host decides by what it knows itself.
	otherAnswersTimeout = 150 * time.Millisecond
	firstAnswerTimeout  = 500 * time.Millisecond
	flushInterval       = 200 * time.Millisecond
	readInterval        = 30 * time.Second
	// maxUnwrittenDeaths is the number of deaths that may wait to be written to
	// the store.
	maxUnwrittenDeaths = 4096
	deathKeyPrefix     = "suspect/"
)

// Peers sends messages to the Suspects of other hosts.
type Peers interface {
	// Replicas returns the hosts that decide on a fingerprint.
	Replicas(fingerprint uint64) Replicas
	// Begin asks a peer whether a run may begin.
	Begin(ctx context.Context, peer string, r Run) (Verdict, error)
	// End notifies a peer of the end of a run.
	End(peer string, r Run, finished bool)
	// ReportDeath notifies a peer of a death and then of the end of its run.
	ReportDeath(peer string, r Run, d Death)
	// BroadcastDeath notifies all peers of a death.
	BroadcastDeath(d Death)
	// BroadcastCompletion notifies all peers that a run with some traits has finished.
	BroadcastCompletion(traits []lavcrash.Trait)
	// SendRecords hands this host's records of fingerprints over to a peer.
	SendRecords(peer string, records []FingerprintRecord)
}

// NoPeers implements Peers for a host without peers.
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

// BroadcastCompletion implements Peers.
func (NoPeers) BroadcastCompletion([]lavcrash.Trait) {}

// SendRecords implements Peers.
func (NoPeers) SendRecords(string, []FingerprintRecord) {}

// Suspects shares the state of one host's Guard with the other hosts. It is safe
// for concurrent use.
type Suspects struct {
	peers Peers
	store lavstore.Store

	mu    sync.Mutex
	guard *Guard
	// attribution finds out what different requests share that kills endpoints.
	attribution *lavcrash.Attribution
	unwritten   []Death
	unresolved  []unresolvedRun
	// askedByRun maps the ID of each run that this host has begun to the peers that
	// were asked about it.
	askedByRun map[string]askedPeers
}

// NewSuspects returns the Suspects of a host.
func NewSuspects(store lavstore.Store, peers Peers) *Suspects {
	return &Suspects{peers: peers, store: store, guard: NewGuard(), attribution: lavcrash.NewAttribution(), askedByRun: make(map[string]askedPeers)}
}

// Check returns this host's own verdict on a request, without asking peers.
func (s *Suspects) Check(r *lavrequest.Request) Verdict {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.checkTraits(now, TraitsOf(r)); v.Action == ActionRefuse {
		return v
	}
	return s.guard.Check(now, r.Fingerprint)
}

// Begin decides whether a run may begin. It asks this host's own guard first, and
// then the replicas of the fingerprint.
func (s *Suspects) Begin(ctx context.Context, r Run) Verdict {
	if lavstep.Failpoint(ctx, lavstep.SuspectBegin, r.Endpoint) != nil {
		return Verdict{Action: ActionWait}
	}
	s.resolve(ctx, func(u unresolvedRun) bool { return u.run.Fingerprint == r.Fingerprint })
	own := s.BeginLocal(r)
	if own.Action.forbids() {
		return own
	}
	replicas := s.peers.Replicas(r.Fingerprint)
	s.storeAskedPeers(r, replicas.Peers)
	verdict := replicas.combine(own, s.askReplicas(ctx, replicas, r))
	if verdict.Action == ActionRefuse {
		s.quarantine(r.Fingerprint, verdict.Until)
	}
	if verdict.Action.forbids() {
		s.End(r, false)
	}
	return verdict
}

// quarantine copies a replica's quarantine to this host's guard, so that it also
// applies here while no replica can be reached.
func (s *Suspects) quarantine(fingerprint uint64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Quarantine(time.Now(), fingerprint, until)
}

// BeginLocal asks this host's own guard whether a run of this host or of a peer
// may begin.
func (s *Suspects) BeginLocal(r Run) Verdict {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.checkTraits(now, r.Traits); v.Action == ActionRefuse {
		return v
	}
	return s.guard.Begin(now, r)
}

// End ends a run that was allowed to begin, and notifies the peers that know of
// it.
func (s *Suspects) End(r Run, finished bool) {
	s.EndLocal(r, finished)
	if finished {
		s.recordCompletion(r)
	}
	for _, peer := range s.peersToNotify(r) {
		s.peers.End(peer, r, finished)
	}
}

// EndLocal ends a run in this host's own guard.
func (s *Suspects) EndLocal(r Run, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.End(time.Now(), r, finished)
}

// RecordDeath ends a run whose endpoint died, and notifies all hosts of the death.
func (s *Suspects) RecordDeath(ctx context.Context, r Run, d Death) {
	d.Traits = r.Traits
	s.mu.Lock()
	s.recordCrash(d)
	d.Count = s.guard.RecordDeath(time.Now(), d)
	if len(s.unwritten) < maxUnwrittenDeaths {
		s.unwritten = append(s.unwritten, d)
	}
	s.mu.Unlock()
	if lavstep.Failpoint(ctx, lavstep.SuspectDeath, d.Endpoint) == nil {
		s.peers.BroadcastDeath(d)
	}
	// The death must be recorded before the run ends. Otherwise another run of the
	// fingerprint could begin in between.
	s.EndLocal(r, false)
	for _, peer := range s.peersToNotify(r) {
		s.peers.ReportDeath(peer, r, d)
	}
}

// RecordReportedDeath records a death that a peer reports.
func (s *Suspects) RecordReportedDeath(d Death) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCrash(d)
	s.guard.RecordReportedDeath(time.Now(), d)
}

// Serve writes this host's deaths to the store and reads those of other hosts
// until the context ends. It also resolves unresolved runs.
func (s *Suspects) Serve(ctx context.Context) error {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	read := time.NewTicker(readInterval)
	defer read.Stop()
	s.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-flush.C:
			s.resolve(ctx, func(unresolvedRun) bool { return true })
			s.flush(ctx)
		case <-read.C:
			s.dropExpiredAskedPeers()
			s.read(ctx)
		}
	}
}

// flush writes the deaths since the last flush to the store as one value.
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
		// If the reply to a write is lost, the deaths are written again under
		// another key. Guards count a repeated death once.
		_, err = s.store.CompareAndSwap(ctx, deathKeyPrefix+rand.Text(), 0, value, "")
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unwritten = append(deaths, s.unwritten...)
	}
}

// read records the deaths in the store, and deletes entries whose deaths are all
// older than QuarantineDuration.
func (s *Suspects) read(ctx context.Context) {
	entries, _, err := s.store.List(ctx, deathKeyPrefix)
	if err != nil {
		return
	}
	for _, e := range entries {
		var deaths []Death
		if json.Unmarshal(e.Value, &deaths) != nil {
			continue
		}
		expired := true
		for _, d := range deaths {
			expired = expired && time.Since(d.At) > QuarantineDuration
			s.restoreDeath(d)
		}
		if expired {
			// Another host may have deleted the entry first.
			_ = s.store.Delete(ctx, e.Key, e.Revision)
		}
	}
}

func (s *Suspects) restoreDeath(d Death) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(d.At) < lavcrash.SegmentBlockDuration {
		s.recordCrash(d)
	}
	s.guard.RestoreDeath(time.Now(), d)
}
