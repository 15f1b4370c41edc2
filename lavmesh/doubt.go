package lavmesh

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// A connection may go silent for good while new ones work. Pings find that after
// seconds, which is too late for a call. A call that waits for longer than
// replies usually take, while nothing else comes either, therefore opens another
// link, which takes the place of the silent one at both ends, and is sent again
// on it. A peer that is paused for a moment gets such a call twice; one whose
// handler is slow gives a sign of life.

// patience returns how long a call waits for a sign of life; zero is for ever.
func (l *link) patience() time.Duration {
	if l.pace.Doubt == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.pace.Doubt, tripsToDoubt*l.trip)
}

// took notes how long a reply took. A faster one counts at once, a slower one
// by and by, since the handler may have taken the time.
func (l *link) took(trip time.Duration) {
	const part = 8
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.trip == 0 {
		l.trip = trip
	}
	l.trip = min(trip, l.trip+(trip-l.trip)/part)
}

// busy sends signs of life until the context ends, while a call is being
// handled for so long that its caller would doubt the link.
func (l *link) busy(ctx context.Context) {
	tick := time.NewTicker(l.pace.Doubt / 2)
	defer tick.Stop()
	for {
		l.offer(message{Version: version, Topic: TopicPing})
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// whileBusy makes the link show signs of life if a call takes long. The call
// ends with the context, and then stop is called.
func (m *Mesh) whileBusy(ctx context.Context, l *link) (stop func() bool) {
	if l.pace.Doubt == 0 {
		return func() bool { return true }
	}
	return time.AfterFunc(l.pace.Doubt/2, func() {
		m.running.Go(func() { l.busy(ctx) })
	}).Stop
}

// doubtPause is the least time between two links to one peer, so that a path
// which loses packets doesn't cost a connection for each of them.
const doubtPause = 500 * time.Millisecond

// doubtful reports whether nothing has come for as long as the patience, and no
// link was opened of late.
func (l *link) doubtful(patience time.Duration) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.heard) < patience || now.Sub(l.doubted) < doubtPause {
		return false
	}
	l.doubted = now
	return true
}

// maxLinks is on how many links a call is sent: a silent one, and two that both
// ends have opened in its place at one time.
const maxLinks = 3

// ask sends a call and waits for the reply. If the link ends first, since
// another takes its place, the call is sent again on that one.
func (m *Mesh) ask(ctx context.Context, peer string, msg message) (message, error) {
	for tries := 1; ; tries++ {
		l, err := m.reach(ctx, peer)
		if err != nil {
			return message{}, err
		}
		reply, err := l.call(ctx, msg, func() { m.running.Go(func() { m.replace(l) }) })
		if tries == maxLinks || !errors.Is(err, errLinkDown) {
			return reply, err
		}
	}
}

// replace opens a link in the place of one that may be silent.
func (m *Mesh) replace(l *link) {
	ctx := m.context()
	member, ok := m.views.View().Member(l.peer)
	if !ok || lavstep.Failpoint(ctx, lavstep.MeshDial, l.peer) != nil {
		return
	}
	// If this fails the old link stays until its own silence ends it.
	if _, err := m.open(ctx, member); err == nil {
		m.traffic.replaced.Inc(1)
	}
}
