package lavstream

import (
	"context"

	"lavenderrack.example/lavenderrack/lavengine"

	"github.com/cockroachdb/errors"
)

// ProbeDeath asks the engine whether the incarnation that ran the stream has
// died. It has died if the engine reports another incarnation or if nothing
// accepts connections at its address. The result is not known while the engine
// is unreachable or breaks off every connection, since an engine that has died
// and not restarted yet may do the same.
func (s *EngineStream) ProbeDeath(ctx context.Context) (died, known bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	report, err := s.Engine.Load(ctx)
	if err == nil {
		return s.Incarnation != "" && report.Incarnation != s.Incarnation, true
	}
	refused := ctx.Err() == nil && errors.Is(err, lavengine.ErrNotSent)
	return refused, refused
}
