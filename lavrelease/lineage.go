package lavrelease

import "slices"

// A version number alone doesn't name a state: if the store comes back older
// than it was and an operator publishes upon that, one number is given twice.
// A version with its note does, and a state remembers those that it follows.

// follows reports whether a history, newest first, holds the past note. What
// lies before the memory of the history counts as held.
func follows(version Version, noteID string, recent []HistoryEntry, past HistoryEntry) bool {
	if past.Version == 0 || past == (HistoryEntry{Version: version, ID: noteID}) {
		return true
	}
	for _, p := range recent {
		if p.Version == past.Version && p.ID == past.ID {
			return true
		}
	}
	return len(recent) == recentNotes && recent[recentNotes-1].Version > past.Version
}

// past names a state in the history of those that follow it.
func (s *State) past() HistoryEntry { return HistoryEntry{Version: s.Version, ID: s.NoteID} }

// supersedes reports whether s may take the place of old: it is newer and
// holds all that old held.
func (s *State) supersedes(old *State) bool {
	return s.Version > old.Version && follows(s.Version, s.NoteID, s.Recent, old.past())
}

// merge joins two histories that have parted. The state is ours with those
// notes of the other branch applied that still can be; the others are
// remembered as dropped. Its version is above both, so that hosts on either
// branch take it.
func merge(ours *State, theirs *head, branch []Note) (merged *State, dropped []string) {
	merged = ours
	refused := make(map[string]bool)
	for i := range branch {
		n := &branch[i]
		next, err := Apply(merged, n)
		if err != nil || len(Check(merged, n)) > 0 {
			refused[n.ID] = true
			dropped = append(dropped, n.ID)
			continue
		}
		merged = next
	}
	joined := *merged
	joined.Version = max(ours.Version, theirs.Version) + 1
	joined.NoteID = "merge." + digestOf([]byte(ours.NoteID + " " + theirs.NoteID))[:16]
	past := slices.Concat([]HistoryEntry{ours.past(), {Version: theirs.Version, ID: theirs.NoteID}}, ours.Recent, theirs.Recent)
	joined.Recent = newestFirst(past, refused)
	return &joined, dropped
}

// newestFirst sorts a history, leaves out what stands twice and marks what was
// refused.
func newestFirst(past []HistoryEntry, refused map[string]bool) []HistoryEntry {
	past = slices.Clone(past)
	for i := range past {
		past[i].Dropped = past[i].Dropped || refused[past[i].ID]
	}
	slices.SortStableFunc(past, func(a, b HistoryEntry) int {
		switch {
		case a.Version > b.Version:
			return -1
		case a.Version < b.Version:
			return 1
		default:
			return 0
		}
	})
	var sorted []HistoryEntry
	for _, p := range past {
		if p.Version > 0 && !slices.Contains(sorted, p) {
			sorted = append(sorted, p)
		}
	}
	return sorted[:min(len(sorted), recentNotes)]
}
