package lavburn

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// settleMinutes is the age at which a minute's cells are folded into a sum. A
// cell that comes later is dropped and counted.
const settleMinutes = 5

// Bounds of what peers send.
const (
	maxIncarnations  = 4096
	maxMessageCells  = 4096
	maxMessageSums   = 1 << 17
	maxHistoryBucket = 1 << 17
)

// Message is what hosts tell each other.
type Message struct {
	Cells  []Cell `cbor:",omitempty"`
	Fine   []Sum  `cbor:",omitempty"`
	Coarse []Sum  `cbor:",omitempty"`
}

func (m *Message) empty() bool { return len(m.Cells)+len(m.Fine)+len(m.Coarse) == 0 }

// cellKey names a cell.
type cellKey struct {
	minute      Minute
	incarnation string
}

// Tracker counts the requests of this host and keeps the counts of the fleet.
type Tracker struct {
	incarnation string
	objectives  func() []lavrelease.Objective

	mu      sync.Mutex
	own     own
	cells   map[cellKey]Cell
	history *history
	// dropped counts cells and sums from peers that were late or out of
	// bounds.
	dropped uint64
}

// New returns an empty Burn for a host's incarnation. The objectives are those
// of the release in force.
func New(incarnation string, objectives func() []lavrelease.Objective) *Tracker {
	return &Tracker{
		incarnation: incarnation,
		objectives:  objectives,
		own:         make(own),
		cells:       make(map[cellKey]Cell),
		history:     newHistory(),
	}
}

// Record counts a request that ended at now.
func (b *Tracker) Record(now time.Time, s Sample) {
	objectives := b.objectives()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own.record(minuteOf(now), objectives, s)
}

// Delta returns what this host has counted in the minutes that are not folded.
func (b *Tracker) Delta(now time.Time) Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fold(minuteOf(now))
	return Message{Cells: b.ownCells()}
}

// ownCells returns this host's cells in order. The caller holds the lock.
func (b *Tracker) ownCells() []Cell {
	var cells []Cell
	for _, m := range slices.Sorted(maps.Keys(b.own)) {
		cells = append(cells, b.own.cell(b.incarnation, m))
	}
	return cells
}

// Snapshot returns all that this host knows of the fleet, for a peer that
// has restarted.
func (b *Tracker) Snapshot(now time.Time) Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fold(minuteOf(now))
	m := Message{Cells: b.ownCells()}
	for _, c := range b.cells {
		m.Cells = append(m.Cells, c)
	}
	for _, s := range b.history.fine {
		m.Fine = append(m.Fine, s)
	}
	for key, count := range b.history.coarse {
		m.Coarse = append(m.Coarse, Sum{Minute: key.minute, Objective: key.objective, Count: count})
	}
	return m
}

// Merge takes in what a peer has told. Hearing the same twice changes nothing.
func (b *Tracker) Merge(now time.Time, m Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	minute := minuteOf(now)
	b.fold(minute)
	if len(m.Cells) > maxMessageCells || len(m.Fine) > maxMessageSums || len(m.Coarse) > maxMessageSums {
		b.dropped++
		return
	}
	for _, c := range m.Cells {
		b.hearCell(minute, c)
	}
	b.hearSums(minute, m.Fine, fineMinutes, b.history.merge)
	b.hearSums(minute, m.Coarse, coarseBuckets*coarseMinutes, b.history.mergeCoarse)
}

// hearCell keeps the larger of two cells. The caller holds the lock.
func (b *Tracker) hearCell(now Minute, c Cell) {
	if c.Incarnation == b.incarnation {
		return
	}
	key := cellKey{minute: c.Minute, incarnation: c.Incarnation}
	old, known := b.cells[key]
	late := c.Minute <= now-settleMinutes || c.Minute > now+1
	if late || !c.valid() || (!known && len(b.cells) >= maxIncarnations*settleMinutes) {
		b.dropped++
		return
	}
	b.cells[key] = mergeCells(old, c)
}

func mergeCells(old, next Cell) Cell {
	merged := Cell{Incarnation: next.Incarnation, Minute: next.Minute, Tallies: slices.Clone(old.Tallies)}
	for _, t := range next.Tallies {
		i := slices.IndexFunc(merged.Tallies, func(have Tally) bool { return have.Objective == t.Objective })
		if i < 0 {
			merged.Tallies = append(merged.Tallies, t)
			continue
		}
		have := &merged.Tallies[i]
		have.Count = have.Count.Max(t.Count)
		have.Customers = mergeCustomers(have.Customers, t.Customers, Count.Max)
	}
	merged.trim()
	return merged
}

// hearSums takes in sums that are not older than span. The caller holds the
// lock.
func (b *Tracker) hearSums(now Minute, sums []Sum, span Minute, merge func(Sum)) {
	for _, s := range sums {
		full := len(b.history.fine) >= maxHistoryBucket || len(b.history.coarse) >= maxHistoryBucket
		if s.Minute <= now-span || s.Minute > now+1 || full || len(s.Customers) > maxHistoryCustomers {
			b.dropped++
			continue
		}
		merge(s)
	}
}

// fold sums the cells of the minutes that have settled. The caller holds the
// lock.
func (b *Tracker) fold(now Minute) {
	settled := make(map[Minute]bool)
	for m := range b.own {
		settled[m] = m <= now-settleMinutes
	}
	for key := range b.cells {
		settled[key.minute] = key.minute <= now-settleMinutes
	}
	for m, done := range settled {
		if done {
			b.foldMinute(m)
		}
	}
	b.history.expire(now)
}

func (b *Tracker) foldMinute(m Minute) {
	for _, s := range b.sums(m) {
		b.history.merge(s)
	}
	delete(b.own, m)
	maps.DeleteFunc(b.cells, func(key cellKey, _ Cell) bool { return key.minute == m })
}

// sums adds up the cells of a minute over all incarnations. The caller holds
// the lock.
func (b *Tracker) sums(m Minute) map[string]Sum {
	sums := make(map[string]Sum)
	add := func(c Cell) {
		for _, t := range c.Tallies {
			s := sums[t.Objective]
			s.Minute, s.Objective = m, t.Objective
			s.Count = s.Count.Add(t.Count)
			s.Customers = mergeCustomers(s.Customers, t.Customers, Count.Add)
			sums[t.Objective] = s
		}
	}
	if b.own[m] != nil {
		add(b.own.cell(b.incarnation, m))
	}
	for key, c := range b.cells {
		if key.minute == m {
			add(c)
		}
	}
	return sums
}
