package lavconn

import (
	"context"
	"sync"
	"time"
)

// SilenceInterval is the time between two questions whether a silent exchange may end.
const SilenceInterval = 50 * time.Millisecond

// Silence says when an exchange ends for want of progress. A read deadline would end it in any case,
// and for good, before it is known whether that helps.
type Silence struct {
	// After is the time without progress after which MayEnd is called. Zero means never.
	After time.Duration
	// MayEnd reports whether the exchange may end, which it then does as after a timeout. If not, it
	// is called again as long as the silence lasts. It runs beside the exchange, never twice at a
	// time, and no more once Do has failed or the response has been closed, which wait for it. Its
	// context ends with the exchange or the silence.
	MayEnd func(ctx context.Context) bool
}

// silenceWatch asks whether a silent exchange may end while a read is pending.
type silenceWatch struct {
	Silence
	conn  *conn
	timer *time.Timer
	// asked tracks the question that is under way.
	asked sync.WaitGroup

	mu sync.Mutex
	// due is when the next question is asked.
	due            time.Time
	reading, ended bool
	// stopAsking ends the question that is under way, if there is one.
	stopAsking context.CancelFunc
}

// watchSilence begins the watch of an exchange, which has just begun. It returns nil if there is
// nothing to watch.
func (c *conn) watchSilence(ctx context.Context, s Silence) *silenceWatch {
	if s.After <= 0 {
		return nil
	}
	w := &silenceWatch{Silence: s, conn: c, due: time.Now().Add(s.After)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(s.After, func() { w.ask(ctx) })
	return w
}

// restart counts the silence from now.
func (w *silenceWatch) restart() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(w.After)
	if w.stopAsking != nil {
		w.stopAsking()
	}
	w.arm()
}

// beginRead begins a time in which nothing but the endpoint holds up the exchange.
func (w *silenceWatch) beginRead() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = true
	w.arm()
}

// endRead ends that time.
func (w *silenceWatch) endRead() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading = false
	w.timer.Stop()
}

// arm sets the timer to the next question. The caller holds the lock.
func (w *silenceWatch) arm() {
	if w.reading && !w.ended && w.stopAsking == nil {
		w.timer.Reset(time.Until(w.due))
	}
}

// ask asks whether the exchange may end.
func (w *silenceWatch) ask(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if !w.beginAsking(stop) {
		return
	}
	defer w.asked.Done()
	mayEnd := w.MayEnd(ctx)
	w.endAsking(mayEnd)
}

// beginAsking reports whether a question is due.
func (w *silenceWatch) beginAsking(stop context.CancelFunc) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The timer may have fired just before it was stopped or set again.
	if w.ended || !w.reading || w.stopAsking != nil || time.Now().Before(w.due) {
		return false
	}
	w.stopAsking = stop
	w.asked.Add(1)
	return true
}

// endAsking ends the exchange, or sets the time of the next question.
func (w *silenceWatch) endAsking(mayEnd bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopAsking = nil
	if w.ended {
		return
	}
	if mayEnd {
		w.ended = true
		// It makes the pending read fail, and all further ones. If it can't be set, the
		// connection is broken already.
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
		return
	}
	if next := time.Now().Add(SilenceInterval); next.After(w.due) {
		w.due = next
	}
	w.arm()
}

// stop ends the watch and waits for the question that is under way.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.ended = true
	w.timer.Stop()
	if w.stopAsking != nil {
		w.stopAsking()
	}
	w.mu.Unlock()
	w.asked.Wait()
}

// RestartSilence counts the silence of the endpoint from now, since it has made progress.
func (r *Response) RestartSilence() { r.conn.silence.restart() }
