package lavrelease

import (
	"context"
	"strconv"
	"strings"

	"lavenderrack.example/lavenderrack/lavstore"
)

// Sweep deletes at most limit chunks and notes that no head names any more,
// such as those of a publisher that died on its way, and returns how many it
// deleted. What is younger than the last few versions stays, since a publisher
// may be about to name it: once the head has moved on, its swap must fail.
func Sweep(ctx context.Context, s lavstore.Store, limit int) (int, error) {
	h, _, err := readHead(ctx, s)
	if err != nil {
		return 0, err
	}
	live := make(map[string]bool)
	for _, c := range h.Chunks {
		live[chunkPrefix+c.Key] = true
	}
	for _, g := range h.Garbage {
		live[chunkPrefix+g.Key] = true
	}
	for _, p := range append(h.Recent, HistoryEntry{Version: h.Version, ID: h.NoteID}) {
		live[noteKey(p.Version, p.ID)] = true
	}
	deleted := 0
	for _, prefix := range []string{chunkPrefix, notePrefix} {
		entries, _, err := s.List(ctx, prefix)
		if err != nil {
			return deleted, err
		}
		for _, e := range entries {
			if deleted == limit || live[e.Key] || versionOfKey(e.Key, prefix)+garbageAge > h.Version {
				continue
			}
			if err := s.Delete(ctx, e.Key, e.Revision); err != nil {
				return deleted, err
			}
			deleted++
		}
	}
	return deleted, nil
}

// versionOfKey reads the version at the start of a key below prefix.
func versionOfKey(key, prefix string) Version {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), ".")
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return Version(n)
}
