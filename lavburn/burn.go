package lavburn

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// foldAgeMinutes is the age in minutes at which the cells of a minute are folded into
// sums. Cells that arrive later are dropped and counted as dropped.
const foldAgeMinutes = 5

// Limits on messages from peers and on the state that they fill.
const (
	maxIncarnations   = 4096
	maxMessageCells   = 4096
	maxMessageSums    = 1 << 17
	maxHistoryBuckets = 1 << 17
)

// Message carries counts from one host to another. An empty Message requests a snapshot.
// Fine and Coarse hold the history in buckets of one minute and of coarseBucketMinutes.
type Message struct {
	Cells  []Cell `cbor:",omitempty"`
	Fine   []Sum  `cbor:",omitempty"`
	Coarse []Sum  `cbor:",omitempty"`
}

// empty reports whether the message has no content.
func (m *Message) empty() bool { return len(m.Cells)+len(m.Fine)+len(m.Coarse) == 0 }

// cellKey identifies a cell.
type cellKey struct {
	minute      Minute
	incarnation string
}

// Tracker counts the requests of this host and merges them with the counts received
// from the other hosts of the fleet. It is safe for concurrent use.
type Tracker struct {
	incarnation string
	objectives  func() []lavrelease.Objective

	mu      sync.Mutex
	local   localCounts
	cells   map[cellKey]Cell
	history *history
	// dropped counts messages, cells and sums from peers that were dropped because
	// they arrived too late or exceeded a limit.
	dropped uint64
}

// New returns an empty Tracker for one incarnation of a host. The function objectives
// returns the objectives of the release in force.
func New(incarnation string, objectives func() []lavrelease.Objective) *Tracker {
	return &Tracker{
		incarnation: incarnation,
		objectives:  objectives,
		local:       make(localCounts),
		cells:       make(map[cellKey]Cell),
		history:     newHistory(),
	}
}

// Record counts a request that completed at time now.
func (t *Tracker) Record(now time.Time, s Sample) {
	objectives := t.objectives()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local.record(minuteOf(now), objectives, s)
}

// Delta returns this host's own counts of the minutes that are not yet folded.
func (t *Tracker) Delta(now time.Time) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fold(minuteOf(now))
	return Message{Cells: t.localCells()}
}

// localCells returns this host's own cells in order of time. The caller must hold
// t.mu.
func (t *Tracker) localCells() []Cell {
	var cells []Cell
	for _, m := range slices.Sorted(maps.Keys(t.local)) {
		cells = append(cells, t.local.cell(t.incarnation, m))
	}
	return cells
}

// Snapshot returns all counts of the fleet that this host has, for a peer that has
// restarted.
func (t *Tracker) Snapshot(now time.Time) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fold(minuteOf(now))
	m := Message{Cells: t.localCells()}
	for _, c := range t.cells {
		m.Cells = append(m.Cells, c)
	}
	for _, s := range t.history.fine {
		m.Fine = append(m.Fine, s)
	}
	for key, count := range t.history.coarse {
		m.Coarse = append(m.Coarse, Sum{Minute: key.minute, Objective: key.objective, Count: count})
	}
	return m
}

// Merge merges a message from a peer. Merging the same message again doesn't
// change the counts.
func (t *Tracker) Merge(now time.Time, m Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	minute := minuteOf(now)
	t.fold(minute)
	if len(m.Cells) > maxMessageCells || len(m.Fine) > maxMessageSums || len(m.Coarse) > maxMessageSums {
		t.dropped++
		return
	}
	for _, c := range m.Cells {
		t.mergeCell(minute, c)
	}
	t.mergeSums(minute, m.Fine, fineSpanMinutes, t.history.merge)
	t.mergeSums(minute, m.Coarse, coarseBuckets*coarseBucketMinutes, t.history.mergeCoarse)
}

// mergeCell merges a cell from a peer. It drops the cell if its minute is already
// folded or more than one minute in the future, or if a limit is exceeded. The caller
// must hold t.mu.
func (t *Tracker) mergeCell(now Minute, c Cell) {
	if c.Incarnation == t.incarnation {
		return
	}
	key := cellKey{minute: c.Minute, incarnation: c.Incarnation}
	old, exists := t.cells[key]
	late := c.Minute <= now-foldAgeMinutes || c.Minute > now+1
	if late || !c.valid() || (!exists && len(t.cells) >= maxIncarnations*foldAgeMinutes) {
		t.dropped++
		return
	}
	t.cells[key] = mergeCells(old, c)
}

// mergeCells returns the maximum of each count of two versions of a cell.
func mergeCells(old, next Cell) Cell {
	merged := Cell{Incarnation: next.Incarnation, Minute: next.Minute, Counts: slices.Clone(old.Counts)}
	for _, o := range next.Counts {
		i := slices.IndexFunc(merged.Counts, func(known ObjectiveCount) bool { return known.Objective == o.Objective })
		if i < 0 {
			merged.Counts = append(merged.Counts, o)
			continue
		}
		known := &merged.Counts[i]
		known.Count = known.Count.Max(o.Count)
		known.Customers = mergeCustomers(known.Customers, o.Customers, Count.Max)
	}
	merged.trimCustomers()
	return merged
}

// mergeSums calls merge for each sum from a peer that is at most span minutes old and
// not more than one minute in the future. It drops the other sums, and those that
// exceed a limit. The caller must hold t.mu.
func (t *Tracker) mergeSums(now Minute, sums []Sum, span Minute, merge func(Sum)) {
	for _, s := range sums {
		full := len(t.history.fine) >= maxHistoryBuckets || len(t.history.coarse) >= maxHistoryBuckets
		if s.Minute <= now-span || s.Minute > now+1 || full || len(s.Customers) > maxHistoryCustomers {
			t.dropped++
			continue
		}
		merge(s)
	}
}

// fold adds the minutes that have reached foldAgeMinutes to the history, and removes
// expired buckets from it. The caller must hold t.mu.
func (t *Tracker) fold(now Minute) {
	foldable := make(map[Minute]bool)
	for m := range t.local {
		foldable[m] = m <= now-foldAgeMinutes
	}
	for key := range t.cells {
		foldable[key.minute] = key.minute <= now-foldAgeMinutes
	}
	for m, ready := range foldable {
		if ready {
			t.foldMinute(m)
		}
	}
	t.history.expire(now)
}

// foldMinute moves the cells of a minute to the history. The caller must hold t.mu.
func (t *Tracker) foldMinute(m Minute) {
	for _, s := range t.sumCells(m) {
		t.history.merge(s)
	}
	delete(t.local, m)
	maps.DeleteFunc(t.cells, func(key cellKey, _ Cell) bool { return key.minute == m })
}

// sumCells returns the sum of the cells of a minute over all incarnations, by objective
// name. The caller must hold t.mu.
func (t *Tracker) sumCells(m Minute) map[string]Sum {
	sums := make(map[string]Sum)
	add := func(c Cell) {
		for _, o := range c.Counts {
			s := sums[o.Objective]
			s.Minute, s.Objective = m, o.Objective
			s.Count = s.Count.Add(o.Count)
			s.Customers = mergeCustomers(s.Customers, o.Customers, Count.Add)
			sums[o.Objective] = s
		}
	}
	if t.local[m] != nil {
		add(t.local.cell(t.incarnation, m))
	}
	for key, c := range t.cells {
		if key.minute == m {
			add(c)
		}
	}
	return sums
}
