package lavrelease

import "slices"

// A version number alone does not identify a state. If the store is restored
// from an older backup and an operator publishes on top of that, the same number
// is assigned twice. The version together with the ID of its note does identify
// a state, and each state records these pairs for its recent ancestors.

// descendsFrom reports whether the state with the given version, note and
// history (newest first) descends from the ancestor. An ancestor that is older
// than a full history is assumed to be part of it.
func descendsFrom(version Version, noteID string, recent []HistoryEntry, ancestor HistoryEntry) bool {
	if ancestor.Version == 0 || ancestor == (HistoryEntry{Version: version, ID: noteID}) {
		return true
	}
	for _, p := range recent {
		if p.Version == ancestor.Version && p.ID == ancestor.ID {
			return true
		}
	}
	return len(recent) == historyLength && recent[historyLength-1].Version > ancestor.Version
}

// historyEntry returns the entry that represents s in the history of its
// descendants.
func (s *State) historyEntry() HistoryEntry { return HistoryEntry{Version: s.Version, ID: s.NoteID} }

// supersedes reports whether s may replace old: s must be newer than old and
// descend from it.
func (s *State) supersedes(old *State) bool {
	return s.Version > old.Version && descendsFrom(s.Version, s.NoteID, s.Recent, old.historyEntry())
}

// merge joins two histories that have diverged. It applies to ours the notes of
// the other branch, as far as they are still valid, and records the others as
// dropped. The version of the result is higher than both, so that hosts on
// either branch adopt it.
func merge(ours *State, theirs *head, theirNotes []Note) (merged *State, dropped []string) {
	merged = ours
	refused := make(map[string]bool)
	for i := range theirNotes {
		n := &theirNotes[i]
		applied, err := Apply(merged, n)
		if err != nil || len(Check(merged, n)) > 0 {
			refused[n.ID] = true
			dropped = append(dropped, n.ID)
			continue
		}
		merged = applied
	}
	result := *merged
	result.Version = max(ours.Version, theirs.Version) + 1
	result.NoteID = "merge." + digestOf([]byte(ours.NoteID + " " + theirs.NoteID))[:16]
	history := slices.Concat([]HistoryEntry{ours.historyEntry(), {Version: theirs.Version, ID: theirs.NoteID}}, ours.Recent, theirs.Recent)
	result.Recent = sortHistory(history, refused)
	return &result, dropped
}

// sortHistory sorts history entries by descending version, removes duplicates
// and marks the refused notes as dropped.
func sortHistory(history []HistoryEntry, refused map[string]bool) []HistoryEntry {
	history = slices.Clone(history)
	for i := range history {
		history[i].Dropped = history[i].Dropped || refused[history[i].ID]
	}
	slices.SortStableFunc(history, func(a, b HistoryEntry) int {
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
	for _, p := range history {
		if p.Version > 0 && !slices.Contains(sorted, p) {
			sorted = append(sorted, p)
		}
	}
	return sorted[:min(len(sorted), historyLength)]
}
