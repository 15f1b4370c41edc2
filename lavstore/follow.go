package lavstore

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"
)

// Waits of Follow.
const (
	watchWait  = 25 * time.Second
	retryPause = 500 * time.Millisecond
)

// Follow calls take with the entries below prefix, first as they are and then
// after each change, until the context ends. Changes closer together than
// spacing are taken together. After an error, of the store or of take, it tries
// again a little later, at a time that differs from host to host.
func Follow(ctx context.Context, s Store, prefix string, spacing func() time.Duration, take func(context.Context, []Entry) error) error {
	after := Revision(0)
	for ctx.Err() == nil {
		began := time.Now()
		entries, revision, err := s.Watch(ctx, prefix, after, watchWait)
		if err == nil {
			err = take(ctx, entries)
		}
		if err != nil {
			_ = lavpause.For(ctx, retryPause+rand.N(retryPause))
			continue
		}
		if revision < after {
			// The store came back older than it was; its numbers start again.
			revision = 0
		}
		after = revision
		_ = lavpause.For(ctx, spacing()-time.Since(began))
	}
	return ctx.Err()
}
