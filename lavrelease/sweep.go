package lavrelease

import (
	"context"
	"strconv"
	"strings"

	"lavenderrack.example/lavenderrack/lavstore"
)

// Sweep deletes at most limit chunks and notes that the head no longer
// references, such as those of a publisher that crashed before it replaced the
// head. It returns the number of deleted keys. Chunks and notes of recent
// versions are kept, because a publisher may be about to reference them. Once
// the head has moved on, the compare-and-swap of that publisher fails.
func Sweep(ctx context.Context, s lavstore.Store, limit int) (int, error) {
	h, _, err := readHead(ctx, s)
	if err != nil {
		return 0, err
	}
	referenced := make(map[string]bool)
	for _, c := range h.Chunks {
		referenced[chunkPrefix+c.Key] = true
	}
	for _, g := range h.Garbage {
		referenced[chunkPrefix+g.Key] = true
	}
	for _, p := range append(h.Recent, HistoryEntry{Version: h.Version, ID: h.NoteID}) {
		referenced[noteKey(p.Version, p.ID)] = true
	}
	deleted := 0
	for _, prefix := range []string{chunkPrefix, notePrefix} {
		entries, _, err := s.List(ctx, prefix)
		if err != nil {
			return deleted, err
		}
		for _, e := range entries {
			if deleted == limit || referenced[e.Key] || versionOfKey(e.Key, prefix)+garbageRetention > h.Version {
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

// versionOfKey parses the version that follows prefix in a key. It returns zero
// if there is none.
func versionOfKey(key, prefix string) Version {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), ".")
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return Version(n)
}
