package lavstream

import (
	"context"

	"lavenderrack.example/lavenderrack/lavengine"

	"github.com/cockroachdb/errors"
)

// Fate asks whether the engine has ended the life in which it had the stream:
// it answers from another one, or nothing listens any more. That is not known
// while the engine can't be reached or breaks off every connection, as one
// does that has died and isn't back.
func (s *EngineStream) Fate(ctx context.Context) (died, known bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	report, err := s.Engine.Load(ctx)
	if err == nil {
		return s.Incarnation != "" && report.Incarnation != s.Incarnation, true
	}
	refused := ctx.Err() == nil && errors.Is(err, lavengine.ErrNotSent)
	return refused, refused
}
