package lavretry

import (
	"slices"
	"time"
)

// FingerprintRecord lists the deaths of one fingerprint and its runs, each of
// which may cause another death.
type FingerprintRecord struct {
	Fingerprint uint64
	Runs        []Run   `json:",omitempty"`
	Deaths      []Death `json:",omitempty"`
}

// Records returns the records of all fingerprints with runs or deaths.
func (g *Guard) Records(now time.Time) []FingerprintRecord {
	var all []FingerprintRecord
	for fingerprint, s := range g.states {
		s.expire(now)
		if len(s.runs)+len(s.deaths) == 0 {
			continue
		}
		all = append(all, FingerprintRecord{Fingerprint: fingerprint, Runs: slices.Clone(s.runs), Deaths: slices.Clone(s.deaths)})
	}
	return all
}

// Merge adds the record of another host. It ignores deaths from before the
// fingerprint was cleared, all runs of a cleared fingerprint, and runs that the
// guard already has.
func (g *Guard) Merge(now time.Time, record FingerprintRecord) {
	for _, d := range record.Deaths {
		g.RestoreDeath(now, d)
	}
	s := g.state(now, record.Fingerprint)
	if now.Before(s.clearedUntil) {
		return
	}
	for _, r := range record.Runs {
		if !s.hasRun(r.ID) {
			s.runs = append(s.runs, r)
		}
	}
	s.expire(now)
}

// maxRecordsPerMessage is the number of fingerprint records in one message.
const maxRecordsPerMessage = 256

// HandOver sends this host's records of fingerprints to the hosts that have become
// replicas of them. gained returns those hosts for a fingerprint, or none if this
// host was not a replica of the fingerprint before.
func (s *Suspects) HandOver(gained func(fingerprint uint64) []string) {
	byPeer := make(map[string][]FingerprintRecord)
	s.mu.Lock()
	records := s.guard.Records(time.Now())
	s.mu.Unlock()
	for _, record := range records {
		for _, peer := range gained(record.Fingerprint) {
			byPeer[peer] = append(byPeer[peer], record)
		}
	}
	for peer, all := range byPeer {
		for chunk := range slices.Chunk(all, maxRecordsPerMessage) {
			s.peers.SendRecords(peer, chunk)
		}
	}
}

// Merge adds the records that a peer hands over.
func (s *Suspects) Merge(records []FingerprintRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		s.guard.Merge(time.Now(), record)
	}
}
