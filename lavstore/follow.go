package lavstore

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
)

// Maximum duration of one watch, and minimum delay after an error.
const (
	maxWatchTime  = 25 * time.Second
	minRetryDelay = 500 * time.Millisecond
)

// Follow calls handle with the entries below prefix, first with the current ones
// and then after each change, until the context is canceled. Changes within one
// interval of spacing are handled in one call. After an error of the store or of
// handle, Follow retries after a delay with jitter, so that the hosts do not
// retry at the same moment.
func Follow(ctx context.Context, s Store, prefix string, spacing func() time.Duration, handle func(context.Context, []Entry) error) error {
	after := Revision(0)
	for ctx.Err() == nil {
		started := time.Now()
		entries, revision, err := s.Watch(ctx, prefix, after, maxWatchTime)
		if err == nil {
			err = handle(ctx, entries)
		}
		if err != nil {
			_ = lavpause.For(ctx, minRetryDelay+rand.N(minRetryDelay))
			continue
		}
		if revision < after {
			// The store was restored from an older backup, so its revisions are
			// lower than before.
			revision = 0
		}
		after = revision
		_ = lavpause.For(ctx, spacing()-time.Since(started))
	}
	return ctx.Err()
}
