package lavretry

import (
	"slices"
	"time"
)

// FingerprintRecord is what a host knows of a fingerprint that has killed endpoints, or may.
type FingerprintRecord struct {
	Fingerprint uint64
	Runs        []Run   `json:",omitempty"`
	Deaths      []Death `json:",omitempty"`
}

// Known returns what the guard knows of all fingerprints.
func (g *Guard) Known(now time.Time) []FingerprintRecord {
	var all []FingerprintRecord
	for fingerprint, s := range g.known {
		s.expire(now)
		if len(s.runs)+len(s.deaths) == 0 {
			continue
		}
		all = append(all, FingerprintRecord{Fingerprint: fingerprint, Runs: slices.Clone(s.runs), Deaths: slices.Clone(s.deaths)})
	}
	return all
}

// Take adds what another host knows. Runs that the guard knows itself, and deaths
// before a good end, change nothing.
func (g *Guard) Take(now time.Time, k FingerprintRecord) {
	for _, d := range k.Deaths {
		g.Remember(now, d)
	}
	s := g.suspicion(now, k.Fingerprint)
	if now.Before(s.cleared) {
		return
	}
	for _, r := range k.Runs {
		if !s.has(r.ID) {
			s.runs = append(s.runs, r)
		}
	}
	s.expire(now)
}

// maxTold bounds the fingerprints of one message.
const maxTold = 256

// HandOver tells the hosts that have become keepers of a fingerprint what this
// host knows of it. Gained returns those hosts: none if this host did not keep the
// fingerprint before.
func (s *Suspects) HandOver(gained func(fingerprint uint64) []string) {
	to := make(map[string][]FingerprintRecord)
	s.mu.Lock()
	known := s.guard.Known(time.Now())
	s.mu.Unlock()
	for _, k := range known {
		for _, peer := range gained(k.Fingerprint) {
			to[peer] = append(to[peer], k)
		}
	}
	for peer, all := range to {
		for part := range slices.Chunk(all, maxTold) {
			s.peers.SendRecords(peer, part)
		}
	}
}

// Merge adds what a peer hands over.
func (s *Suspects) Merge(known []FingerprintRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range known {
		s.guard.Take(time.Now(), k)
	}
}
