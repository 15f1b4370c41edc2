package lavstream

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavretry"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// ProbeDeath asks the engine whether the incarnation that ran the stream has
// died. It has died if the engine reports another incarnation or if nothing
// accepts connections at its address. The result is not known while the engine
// is unreachable or breaks off every connection, since an engine that has died
// and not restarted yet may do the same. Nor is it known if ctx ends before the
// engine has answered.
func (s *EngineStream) ProbeDeath(ctx context.Context) (died, known bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := s.Engine.Load(ctx)
	if err == nil {
		return s.Incarnation != "" && report.Incarnation != s.Incarnation, true
	}
	refused := ctx.Err() == nil && errors.Is(err, lavengine.ErrNotSent)
	return refused, refused
}

// EndBrokenRun ends a run that broke off at the engine and reports whether the
// engine died during it, in which case the death is recorded. While that is not
// known, the run still counts as running.
func (s *EngineStream) EndBrokenRun(ctx context.Context, run lavretry.Run, suspects *lavretry.Suspects, scope tally.Scope) bool {
	death := lavretry.Death{Fingerprint: run.Fingerprint, Endpoint: s.Endpoint, Incarnation: s.Incarnation, At: time.Now()}
	died, known := s.ProbeDeath(ctx)
	switch {
	case known && died:
		scope.Counter("endpoint_deaths").Inc(1)
		suspects.RecordDeath(ctx, run, death)
	case known:
		suspects.End(run, false)
	default:
		suspects.ResolveLater(run, death, s.ProbeDeath)
	}
	return died
}
