package lavrelay

import (
	"context"
	"time"

	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavfleet"

	"github.com/cockroachdb/errors"
)

const (
	// minUnreadPause is how long an answer is left unread before its endpoint may cut it off
	// for that. Endpoints wait some seconds.
	minUnreadPause = time.Second
	// unreadCutDelay is how long after the pause the cut shows: the bytes that arrived before
	// it are read first.
	unreadCutDelay = time.Second
)

// unreadPause is the time in which an answer was left unread because its caller was behind.
type unreadPause struct {
	// last is the length of the last pause, which ended at endedAt.
	last    time.Duration
	endedAt time.Time
	longest time.Duration
}

// record records a pause that ends now.
func (u *unreadPause) record(since time.Time) {
	u.endedAt = time.Now()
	u.last = u.endedAt.Sub(since)
	u.longest = max(u.longest, u.last)
}

// explains reports whether an answer that breaks off now was cut off by its endpoint because it was
// left unread.
func (u *unreadPause) explains(err error) bool {
	return errors.Is(err, lavconn.ErrResponseLost) && !lavconn.TimedOut(err) &&
		u.last >= minUnreadPause && time.Since(u.endedAt) <= unreadCutDelay
}

// awaitCaller waits while no more of the answer may be read because its caller is behind.
func (t *task) awaitCaller(ctx context.Context, response *lavconn.Response) error {
	if !t.spool.heldBack() {
		return nil
	}
	since := time.Now()
	response.PauseProbe()
	t.call.Hold.BeginPause()
	err := t.spool.awaitRoom(ctx)
	t.unread.record(since)
	t.call.Hold.EndPause(t.unread.last)
	response.ResumeProbe()
	return err
}

// recordUnread handles an answer that was cut off because it was left unread. The endpoint isn't
// at fault, so that it keeps its place and isn't suspected to have crashed.
func (t *task) recordUnread(err error) lavfleet.Verdict {
	t.trace.recordError(err)
	t.call.Hold.RecordUnreadCut()
	return lavfleet.VerdictNone
}
