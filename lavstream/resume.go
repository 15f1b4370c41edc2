package lavstream

import (
	"context"
	"slices"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"

	"github.com/cockroachdb/errors"
)

// ErrStreamLost means that no engine has the stream any more.
var ErrStreamLost = errors.New("no engine has the stream any more")

// Resume goes on with the stream of a token from offset, at the engine that
// has it. HandOver asks the host that relayed before to let go of it.
func (r *Relay) Resume(ctx context.Context, t *Token, s *lavendpoint.Snapshot, offset int, handOver func(ctx context.Context, t *Token), emit EmitFunc) error {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	handOver(ctx, t)
	ctx, end := r.parts.ActiveStreams.Register(ctx, t.Request)
	defer end()
	d := NewDelivery(offset, emit)
	err := ErrStreamLost
	for _, e := range holders(s, t) {
		source := &EngineStream{Engine: r.parts.Engine(e), Endpoint: e.Name, Incarnation: e.Report.Incarnation, ID: t.Request}
		if e.Name == t.Endpoint {
			source.Incarnation = t.Incarnation
		}
		err = source.Deliver(ctx, nil, d, r.parts.Scope, func() {})
		if err == nil {
			r.parts.Scope.Counter("callers_resumed").Inc(1)
			return nil
		}
		if errors.Is(err, ErrCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
			r.leave(ctx, source)
			return err
		}
		if !errors.IsAny(err, lavengine.ErrGone, lavengine.ErrBroken, lavengine.ErrNotSent) {
			return err
		}
	}
	return errors.Mark(err, ErrStreamLost)
}

// leave frees a stream whose caller has gone again, unless he has taken it to
// yet another host.
func (r *Relay) leave(ctx context.Context, source *EngineStream) {
	if HandedOver(ctx) {
		return
	}
	if !r.parts.ActiveStreams.AwaitHandOver(ctx, source.ID) {
		source.Cancel(ctx)
	}
}

// holders returns the endpoints that may have the stream: the one that the
// token names, then those which have reported it since.
func holders(s *lavendpoint.Snapshot, t *Token) []*lavendpoint.Endpoint {
	var found []*lavendpoint.Endpoint
	if e, ok := s.Find(t.Endpoint); ok {
		found = append(found, e)
	}
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if e.Name != t.Endpoint && slices.Contains(e.Report.Streams, string(t.Request)) {
			found = append(found, e)
		}
	}
	return found
}
