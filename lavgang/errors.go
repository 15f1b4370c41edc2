package lavgang

import (
	"context"

	"lavenderrack.example/lavenderrack/lavengine"

	"github.com/cockroachdb/errors"
)

// markBroken marks err with ErrBroken, so that the prompt is retried at another
// engine. It returns err unchanged if the request's own context has ended,
// because no time is left for a retry then.
func markBroken(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	return errors.Mark(err, lavengine.ErrBroken)
}
