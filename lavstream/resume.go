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

// Resume continues the stream of a token from an offset in tokens, at an engine
// that has the stream. It calls handOver first, which asks the host that
// relayed the stream to end its relay.
func (r *Relay) Resume(ctx context.Context, t *Token, snapshot *lavendpoint.Snapshot, offset int, handOver func(ctx context.Context, t *Token), emit EmitFunc) error {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	handOver(ctx, t)
	ctx, end := r.deps.ActiveStreams.Register(ctx, t.Request)
	defer end()
	delivery := NewDelivery(offset, emit)
	err := ErrStreamLost
	for _, e := range candidateEndpoints(snapshot, t) {
		source := &EngineStream{Engine: r.deps.Engine(e), Endpoint: e.Name, Incarnation: e.Report.Incarnation, ID: t.Request}
		if e.Name == t.Endpoint {
			source.Incarnation = t.Incarnation
		}
		err = source.Deliver(ctx, nil, delivery, r.deps.Scope, func() {})
		if err == nil {
			r.deps.Scope.Counter("callers_resumed").Inc(1)
			return nil
		}
		if errors.Is(err, ErrCallerGone) || errors.Is(ctx.Err(), context.Canceled) {
			r.cancelIfAbandoned(ctx, source)
			return err
		}
		if !errors.IsAny(err, lavengine.ErrGone, lavengine.ErrBroken, lavengine.ErrNotSent) {
			return err
		}
	}
	return errors.Mark(err, ErrStreamLost)
}

// cancelIfAbandoned cancels a stream whose caller has disconnected again,
// unless another host takes the stream over in time.
func (r *Relay) cancelIfAbandoned(ctx context.Context, source *EngineStream) {
	if HandedOver(ctx) {
		return
	}
	if !r.deps.ActiveStreams.AwaitHandOver(ctx, source.ID) {
		r.deps.Cleanup.Do(ctx, source.Cancel)
	}
}

// candidateEndpoints returns the endpoints that may have the stream: the one
// that the token names, followed by those whose load reports list the stream.
func candidateEndpoints(snapshot *lavendpoint.Snapshot, t *Token) []*lavendpoint.Endpoint {
	var candidates []*lavendpoint.Endpoint
	if e, ok := snapshot.Find(t.Endpoint); ok {
		candidates = append(candidates, e)
	}
	for i := range snapshot.Endpoints {
		e := &snapshot.Endpoints[i]
		if e.Name != t.Endpoint && slices.Contains(e.Report.Streams, string(t.Request)) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}
