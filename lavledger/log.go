package lavledger

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// Limits of a shard's log in the store.
const (
	// maxHeadBytes is the size of an encoded head above which its records are
	// moved into a segment. Each commit rewrites the head, so this limits the
	// size of a commit.
	maxHeadBytes = 64 << 10
	// maxSegments limits the number of segments of a log. A log with this many
	// segments accepts no more claims.
	maxSegments = 512
	// sweepInterval is the minimum time between two removals of expired records
	// from the index.
	sweepInterval = 30 * time.Second
	// formatVersion is the version of the head's encoding.
	formatVersion = 1
)

// shardLog reads and writes one log in the store and indexes its records. It is
// not safe for concurrent use.
type shardLog struct {
	store  lavstore.Store
	prefix string

	revision lavstore.Revision
	head     head
	// readAt is the last time at which the store is known to have held this
	// head. stale is true after a failed write, when the store may hold another
	// head.
	readAt time.Time
	stale  bool
	// index holds the newest record of each call.
	index map[CallKey]Record
	// loadedSegments holds the keys of the segments whose records are in the
	// index.
	loadedSegments map[string]bool
	// changedKeys lists the keys of records that changed since the shard last
	// updated its cache. expiredRemoved is true if expired records were removed
	// from the index since then.
	changedKeys    []CallKey
	expiredRemoved bool
	lastSweep      time.Time
	// maxNumber is the highest record number in the index. New records get
	// higher numbers even if the store returns an older head.
	maxNumber uint64
}

func newShardLog(store lavstore.Store, prefix string) *shardLog {
	return &shardLog{
		store:          store,
		prefix:         prefix,
		head:           head{Version: formatVersion},
		index:          make(map[CallKey]Record),
		loadedSegments: make(map[string]bool),
	}
}

func (l *shardLog) headKey() string { return l.prefix + "head" }

// refresh reads the head, and the segments that are not loaded yet, from the
// store.
func (l *shardLog) refresh(ctx context.Context) error {
	requestedAt := time.Now()
	e, err := l.store.Get(ctx, l.headKey())
	if errors.Is(err, lavstore.ErrNotFound) {
		l.revision, l.head, l.readAt, l.stale = 0, head{Version: formatVersion}, requestedAt, false
		return nil
	}
	if err != nil {
		return lavstep.Wrap(err, lavstep.LedgerReadBack, l.headKey())
	}
	if e.Revision != l.revision {
		if err := l.loadHead(ctx, e); err != nil {
			return err
		}
	}
	l.readAt, l.stale = requestedAt, false
	return nil
}

// loadHead decodes a head and indexes its records and those of its segments.
func (l *shardLog) loadHead(ctx context.Context, e lavstore.Entry) error {
	var newHead head
	if err := decoding.Unmarshal(e.Value, &newHead); err != nil {
		return lavstep.Wrap(err, lavstep.LedgerReadBack, e.Key)
	}
	if newHead.Version != formatVersion {
		return lavstep.Errorf(lavstep.LedgerReadBack, e.Key, "ledger head has format version %d, want %d", newHead.Version, formatVersion)
	}
	for _, s := range newHead.Segments {
		if err := l.loadSegment(ctx, s.Key); err != nil {
			return err
		}
	}
	l.indexRecords(newHead.Records)
	l.revision, l.head = e.Revision, newHead
	return nil
}

func (l *shardLog) loadSegment(ctx context.Context, key string) error {
	if l.loadedSegments[key] {
		return nil
	}
	e, err := l.store.Get(ctx, key)
	if err != nil {
		return lavstep.Wrap(err, lavstep.LedgerReadBack, key)
	}
	var records []Record
	if err := decoding.Unmarshal(e.Value, &records); err != nil {
		return lavstep.Wrap(err, lavstep.LedgerReadBack, key)
	}
	l.indexRecords(records)
	l.loadedSegments[key] = true
	return nil
}

// indexRecords adds records to the index. Of two records with the same key it
// keeps the one with the higher number.
func (l *shardLog) indexRecords(records []Record) {
	for _, r := range records {
		if existing, ok := l.index[r.Key]; !ok || existing.Number < r.Number {
			l.index[r.Key] = r
			l.maxNumber = max(l.maxNumber, r.Number)
			l.changedKeys = append(l.changedKeys, r.Key)
		}
	}
}

// commit applies ops in order and returns the record that results from each op.
// The compare-and-swap fails if the ops were not applied to the newest head.
func (l *shardLog) commit(ctx context.Context, ops []Op) ([]Record, error) {
	if l.stale || l.readAt.IsZero() {
		if err := l.refresh(ctx); err != nil {
			return nil, err
		}
	}
	now := time.Now()
	l.sweep(now)
	next, results, changed := l.applyOps(ops, now)
	if !changed {
		// Every op was applied earlier or no longer has an effect.
		return results, nil
	}
	records, writtenAt := next.Records, time.Now()
	revision, err := l.write(ctx, &next)
	if err != nil {
		// The next attempt reads the head again. If this write took effect and
		// only its reply was lost, the head contains it. If it is still pending,
		// it fails as soon as another write replaces the revision it expects.
		l.stale = true
		return nil, err
	}
	l.revision, l.head, l.readAt = revision, next, writtenAt
	l.indexRecords(records)
	l.deleteSegments(ctx, next.Dropped)
	return results, nil
}

// applyOps returns the head after ops, the record that results from each op,
// and whether any record changed. It drops expired records and segments from
// the head.
func (l *shardLog) applyOps(ops []Op, now time.Time) (head, []Record, bool) {
	next := l.head
	next.Records = make([]Record, 0, len(l.head.Records)+len(ops))
	positions := make(map[CallKey]int)
	for _, r := range l.head.Records {
		if now.Before(r.Expires) {
			positions[r.Key] = len(next.Records)
			next.Records = append(next.Records, r)
		}
	}
	results := make([]Record, len(ops))
	changed := false
	for i, op := range ops {
		position, inHead := positions[op.Record.Key]
		current := l.index[op.Record.Key]
		if inHead {
			current = next.Records[position]
		}
		record, recordChanged := apply(current, op, now)
		if recordChanged {
			changed = true
			next.Next = max(next.Next, l.maxNumber) + 1
			record.Number = next.Next
			if !inHead {
				position = len(next.Records)
				positions[op.Record.Key] = position
				next.Records = append(next.Records, Record{})
			}
			next.Records[position] = record
		}
		results[i] = record
	}
	next.Segments = slices.DeleteFunc(slices.Clone(l.head.Segments), func(s segment) bool {
		expired := now.After(s.Expires)
		if expired {
			next.Dropped = append(slices.Clone(next.Dropped), s.Key)
		}
		return expired
	})
	return next, results, changed
}

// write replaces the head in the store. If the encoded head exceeds
// maxHeadBytes, write first moves its records into a segment.
func (l *shardLog) write(ctx context.Context, next *head) (lavstore.Revision, error) {
	value, err := encoding.Marshal(next)
	if err != nil {
		return 0, lavstep.Wrap(err, lavstep.LedgerClaim, l.headKey())
	}
	if len(value) > maxHeadBytes {
		if err := l.seal(ctx, next); err != nil {
			return 0, err
		}
		if value, err = encoding.Marshal(next); err != nil {
			return 0, lavstep.Wrap(err, lavstep.LedgerClaim, l.headKey())
		}
	}
	revision, err := l.store.CompareAndSwap(ctx, l.headKey(), l.revision, value, "")
	return revision, lavstep.Wrap(err, lavstep.LedgerClaim, l.headKey())
}

// isFull reports whether the log accepts no more claims.
func (l *shardLog) isFull() bool { return len(l.head.Segments) >= maxSegments }

// seal moves the records of next into a new segment. If a failed commit left a
// segment under the next number, seal marks that segment for deletion and uses
// the following number.
func (l *shardLog) seal(ctx context.Context, next *head) error {
	value, err := encoding.Marshal(next.Records)
	if err != nil {
		return lavstep.Wrap(err, lavstep.LedgerClaim, l.prefix)
	}
	for {
		next.NextSegment++
		key := fmt.Sprintf("%ssegment-%d", l.prefix, next.NextSegment)
		_, err := l.store.CompareAndSwap(ctx, key, 0, value, "")
		if err == nil {
			next.Segments = append(next.Segments, segment{Key: key, Expires: latestExpiry(next.Records)})
			next.Records = nil
			l.loadedSegments[key] = true
			return nil
		}
		if !errors.Is(err, lavstore.ErrConflict) {
			return lavstep.Wrap(err, lavstep.LedgerClaim, key)
		}
		next.Dropped = append(slices.Clone(next.Dropped), key)
	}
}

// latestExpiry returns the latest expiry of the records.
func latestExpiry(records []Record) time.Time {
	var expiry time.Time
	for _, r := range records {
		if r.Expires.After(expiry) {
			expiry = r.Expires
		}
	}
	return expiry
}

// deleteSegments deletes dropped segments from the store. Segments that cannot
// be deleted now stay in the head's list, and a later commit tries again.
func (l *shardLog) deleteSegments(ctx context.Context, dropped []string) {
	l.head.Dropped = nil
	for _, key := range dropped {
		delete(l.loadedSegments, key)
		e, err := l.store.Get(ctx, key)
		if err == nil {
			err = l.store.Delete(ctx, key, e.Revision)
		}
		if err != nil && !errors.Is(err, lavstore.ErrNotFound) {
			l.head.Dropped = append(l.head.Dropped, key)
		}
	}
}

// sweep removes expired records from the index, at most once per sweepInterval.
func (l *shardLog) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for key, r := range l.index {
		if now.After(r.Expires) {
			delete(l.index, key)
			l.expiredRemoved = true
		}
	}
}
