package lavmesh

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// An established connection can stop delivering data while new connections to
// the same peer work. Pings detect that only after seconds, which is too late
// for a call. So if a call waits longer than replies usually take, and no other
// message arrives on the link either, the caller dials a new link, which
// replaces the silent one at both ends, and sends the call again on it. A peer
// that was merely paused may receive such a call twice. A peer whose handler is
// slow sends pings meanwhile, so that its link is not replaced.

// silenceLimit returns how long a call waits without receiving anything before
// the link is replaced. Zero means that the link is never replaced.
func (l *link) silenceLimit() time.Duration {
	if l.timing.ReplaceAfter == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.timing.ReplaceAfter, replyTimeFactor*l.replyTime)
}

// recordReplyTime updates the estimate of the reply time. A shorter reply time
// replaces the estimate at once. A longer one raises it only gradually, because
// the handler may have caused the delay.
func (l *link) recordReplyTime(elapsed time.Duration) {
	const smoothing = 8
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replyTime == 0 {
		l.replyTime = elapsed
	}
	l.replyTime = min(elapsed, l.replyTime+(elapsed-l.replyTime)/smoothing)
}

// sendPings sends pings until the context ends. It runs while a call is being
// handled for so long that the caller might otherwise replace the link.
func (l *link) sendPings(ctx context.Context) {
	tick := time.NewTicker(l.timing.ReplaceAfter / 2)
	defer tick.Stop()
	for {
		l.enqueue(message{Version: version, Topic: TopicPing})
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pingDuringCall starts sending pings if a call is still being handled after
// half of Timing.ReplaceAfter. The context must end with the call. The caller
// must call stop when the call ends.
func (m *Mesh) pingDuringCall(ctx context.Context, l *link) (stop func() bool) {
	if l.timing.ReplaceAfter == 0 {
		return func() bool { return true }
	}
	return time.AfterFunc(l.timing.ReplaceAfter/2, func() {
		m.goroutines.Go(func() { l.sendPings(ctx) })
	}).Stop
}

// minReplaceInterval is the minimum time between two replacements of the link
// to a peer. Without it, packet loss would cause a new connection for each lost
// packet.
const minReplaceInterval = 500 * time.Millisecond

// shouldReplace reports whether nothing was received for at least silenceLimit
// and no link to the peer was opened within minReplaceInterval. If it returns
// true, it counts the replacement as made.
func (l *link) shouldReplace(silenceLimit time.Duration) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastReceivedAt) < silenceLimit || now.Sub(l.lastReplacedAt) < minReplaceInterval {
		return false
	}
	l.lastReplacedAt = now
	return true
}

// maxLinksPerCall is the maximum number of links on which a call is sent: a
// silent link, and two replacements in case both ends dial at the same time.
const maxLinksPerCall = 3

// callWithRetry sends a call and waits for the reply. If the link closes first
// because another link replaces it, the call is sent again on the new link.
func (m *Mesh) callWithRetry(ctx context.Context, peer string, msg message) (message, error) {
	for attempt := 1; ; attempt++ {
		l, err := m.linkTo(ctx, peer)
		if err != nil {
			return message{}, err
		}
		reply, err := l.call(ctx, msg, func() { m.goroutines.Go(func() { m.replaceLink(l) }) })
		if attempt == maxLinksPerCall || !errors.Is(err, errLinkDown) {
			return reply, err
		}
	}
}

// replaceLink dials a new link to replace one that may be broken.
func (m *Mesh) replaceLink(l *link) {
	ctx := m.context()
	member, ok := m.membership.View().Member(l.peer)
	if !ok || lavstep.Failpoint(ctx, lavstep.MeshDial, l.peer) != nil {
		return
	}
	// If the dial fails, the old link stays open until its read timeout.
	if _, err := m.dialOnce(ctx, member); err == nil {
		m.traffic.replaced.Inc(1)
	}
}
