package lavendpoint

import (
	"context"
	"time"
)

// hostListInterval returns the time between two reads of the host list by this
// host.
func (t *Table) hostListInterval() time.Duration {
	switch {
	case t.sharing == nil:
		return pollInterval
	case t.sharing.Rank() < hostListReaders:
		return readerListInterval
	default:
		return fallbackListInterval
	}
}

// pollHostList reads the host list and records the changes since the last read.
func (t *Table) pollHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := t.hostList.Hosts(ctx)
	if err != nil {
		// The last list stays in effect.
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		present[h.Name] = true
		t.recordHostChange(HostChange{Name: h.Name, Leaving: h.Leaving})
	}
	for name, entry := range t.hostEntries {
		// A host that was listed before and is missing now has left. A host that
		// was never listed may be too new to be in the list.
		if !present[name] && !entry.Gone {
			t.recordHostChange(HostChange{Name: name, Gone: true})
		}
	}
}

// recordHostChange stores a changed host list entry and queues it for the other
// hosts. The caller holds t.mu.
func (t *Table) recordHostChange(change HostChange) {
	if t.hostEntries[change.Name] == change {
		return
	}
	t.setHostEntry(change)
	t.pendingHostChanges = append(t.pendingHostChanges, change)
	t.wakeServe()
}

func (t *Table) setHostEntry(change HostChange) { t.hostEntries[change.Name] = change }
