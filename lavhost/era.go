package lavhost

import (
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform"
)

// eraTracker tracks how often the store has come back from an older copy. What was written
// since the copy is lost until its writers write it again. Its zero value is ready to use.
type eraTracker struct {
	// revision is the highest revision of an entry so far.
	revision lavstore.Revision
	// since is when the latest era began, zero for the first one.
	since time.Time
}

// record records the revision of an entry. It reports whether the revision begins a new
// era. The first entries of a host begin none.
func (t *eraTracker) record(r lavstore.Revision, now time.Time) bool {
	began := t.revision != 0 && platform.Era(r) > platform.Era(t.revision)
	if began {
		t.since = now
	}
	t.revision = max(t.revision, r)
	return began
}

// settled reports whether the entries that were lost with the last change of era have been
// written again, so that a missing entry was removed.
func (t *eraTracker) settled(now time.Time) bool {
	return t.since.IsZero() || now.Sub(t.since) > recoveryGrace
}

// recordEra records the revisions of changed entries. The caller holds the lock.
func (s *clusterState) recordEra(changed []lavmirror.Entry) {
	now := time.Now()
	for _, e := range changed {
		before := s.eras.revision
		if s.eras.record(e.Revision, now) {
			s.logger.Warn().Uint64("EraBefore", platform.Era(before)).Uint64("Era", platform.Era(e.Revision)).
				Uint64("RevisionBefore", platform.OwnRevision(before)).Uint64("Revision", platform.OwnRevision(e.Revision)).
				Msg("store has come back from an older copy")
		}
	}
}

// keepNewerConfig returns entries in which a desired state that is older than the one in
// force is replaced by that one. The store holds an older one after it has come back from
// an older copy, and no host may act on it.
func (s *clusterState) keepNewerConfig(entries []lavmirror.Entry) []lavmirror.Entry {
	s.mu.Lock()
	inForce := s.config
	s.mu.Unlock()
	older := func(e lavmirror.Entry) bool {
		if e.Key != platform.KeyConfig || e.Removed || platform.Era(e.Revision) == platform.Era(inForce.Revision) {
			return false
		}
		desired, err := platform.DecodeConfig(e.Value)
		return err == nil && desired.Version < s.Index().Version()
	}
	if inForce.Key == "" || !slices.ContainsFunc(entries, older) {
		return entries
	}
	kept := slices.Clone(entries)
	for i, e := range kept {
		if older(e) {
			kept[i].Value = inForce.Value
		}
	}
	return kept
}
