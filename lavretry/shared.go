package lavretry

import (
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// The guard recognizes a request by its fingerprint. What different requests share, such as a
// prefix of their prompts, is recognized by the traits of the runs that were lost.

const hexBase = 16

// TraitsOf returns the traits of a request: the whole of it, and each prefix of its prompt that
// other prompts may share.
func TraitsOf(r *lavrequest.Request) []lavcrash.Trait {
	prefixes := make([]string, len(r.Prefixes))
	for i, p := range r.Prefixes {
		prefixes[i] = strconv.FormatUint(uint64(p), hexBase)
	}
	return lavcrash.NewTraits(r.Model, r.Fingerprint, prefixes)
}

// checkTraits returns the verdict on what a request shares with others. The caller holds the
// lock.
func (s *Suspects) checkTraits(now time.Time, traits []lavcrash.Trait) Verdict {
	b, blocked := s.attribution.Blocked(now, traits)
	if !blocked {
		return Verdict{Action: ActionGo}
	}
	return Verdict{Action: ActionRefuse, Until: b.Until}
}

// recordCrash records the traits of a run whose endpoint died. The caller holds the lock.
func (s *Suspects) recordCrash(d Death) {
	if len(d.Traits) == 0 {
		return
	}
	life := lavconfig.Incarnation{ID: d.Endpoint + " " + string(d.Incarnation)}
	s.attribution.RecordCrash(time.Now(), lavcrash.Report{Endpoint: life, Traits: d.Traits})
}

// recordCompletion records that a run has finished, and notifies all hosts if its traits were
// suspected of a death.
func (s *Suspects) recordCompletion(r Run) {
	s.mu.Lock()
	cleared := s.attribution.RecordCompletion(time.Now(), r.Traits)
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.peers.BroadcastCompletion(cleared)
	}
}

// RecordReportedCompletion records that a run with some traits has finished at a peer.
func (s *Suspects) RecordReportedCompletion(traits []lavcrash.Trait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attribution.RecordCompletion(time.Now(), traits)
}
