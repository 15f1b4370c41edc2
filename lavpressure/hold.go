package lavpressure

import "time"

// Hold is the part of one request in an Account. The methods of a nil Hold do nothing, and
// hold nothing back.
type Hold struct {
	account *Account
	// resumable is true if nothing is lost when the endpoint cuts off the answer.
	resumable bool
	beganAt   time.Time

	// The account's lock guards the fields below.

	bytes, peak int64
	// body is the part of bytes that is the request's body.
	body int64
	// waiting is the part of bytes that waits for the caller to accept it.
	waiting int64
	// writingSince is when the pending write to the caller began, zero if there is none.
	writingSince time.Time
	// cut ends the writing to the caller, nil while there is none.
	cut func()
	// isCut is true once the caller has been cut off, after it had stalled for cutAfter.
	isCut    bool
	cutAfter time.Duration
	ended    bool
}

// Usage describes what a request has held.
type Usage struct {
	// Peak is the most that it has held at a time, in bytes.
	Peak int64
	// Lasted is the time since it began.
	Lasted time.Duration
	// IsCut is true if its caller was cut off to free memory, after it had accepted nothing
	// for CutAfter.
	IsCut    bool
	CutAfter time.Duration
}

// Usage returns what the request has held.
func (h *Hold) Usage() Usage {
	if h == nil {
		return Usage{}
	}
	now := time.Now()
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return Usage{Peak: h.peak, Lasted: now.Sub(h.beganAt), IsCut: h.isCut, CutAfter: h.cutAfter}
}

// MayReceive reports whether a body of a size, in bytes, may be received as far as the account is
// concerned. The body isn't counted yet.
func (h *Hold) MayReceive(size int64) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held+size <= a.bound && (size < largeBodyBytes || !a.above(refuseLevel)) {
		return true
	}
	a.metrics.refused.Inc(1)
	return false
}

// Add counts bytes that are held from now on, or, if n is negative, bytes that are held no
// longer. It may cut off callers.
func (h *Hold) Add(n int64) {
	if h != nil {
		h.change(n, 0)
	}
}

// Queue counts bytes that wait for the caller from now on. It may cut off callers.
func (h *Hold) Queue(n int64) {
	if h != nil {
		h.change(n, n)
	}
}

// change counts bytes, of which a part waits for the caller, and cuts off callers if that is too
// much.
func (h *Hold) change(n, waiting int64) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.waiting += waiting
	h.count(n)
	if n > 0 && a.above(cutLevel) {
		a.cutStalled(time.Now())
	}
}

// AddBody counts bytes of the request's body.
func (h *Hold) AddBody(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	h.body += n
	h.account.mu.Unlock()
	h.Add(n)
}

// ReleaseBody records that the request's body is held no longer.
func (h *Hold) ReleaseBody() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.count(-h.body)
	h.body = 0
}

// count counts bytes, unless the request has ended. The caller holds the account's lock.
func (h *Hold) count(n int64) {
	if h.ended {
		return
	}
	h.bytes += n
	h.peak = max(h.peak, h.bytes)
	h.account.held += n
	if h.isCut {
		h.account.cutting += n
	}
}

// BeginWrite records that a write to the caller begins. While it is pending, the socket's buffer is
// full.
func (h *Hold) BeginWrite() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.writingSince = time.Now()
	h.count(h.account.buffers.Caller)
}

// EndWrite records that the caller has accepted n bytes.
func (h *Hold) EndWrite(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.writingSince = time.Time{}
	h.waiting -= n
	h.count(-n - h.account.buffers.Caller)
}

// OnCut sets the function that ends the writing to the caller. It is called only while a write is
// pending, and must neither block nor use the account.
func (h *Hold) OnCut(cut func()) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.cut = cut
}

// HeldBack reports whether no more of the answer may be read, because the caller is behind. An
// answer that would be lost if its endpoint cut it off is held back later than others.
func (h *Hold) HeldBack() bool {
	if h == nil {
		return false
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.waiting == 0 {
		return false
	}
	return a.above(h.holdBackLevel()) || float64(h.waiting) > maxHoldFraction*float64(a.bound)
}

// holdBackLevel returns the level from which the answer is held back.
func (h *Hold) holdBackLevel() float64 {
	if h.resumable {
		return holdBackLevel
	}
	return refuseLevel
}

// Short reports whether so little memory is left that each answer should hold as little as it can.
func (h *Hold) Short() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.account.above(cutLevel)
}

// MayBuffer reports whether n more bytes of an answer may be held before any of it is forwarded.
func (h *Hold) MayBuffer(n int64) bool {
	if h == nil {
		return false
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(a.held+n) <= h.holdBackLevel()*float64(a.bound) && float64(h.bytes+n) <= maxHoldFraction*float64(a.bound)
}

// BeginPause records that the answer is left unread, so that it fills the socket's buffer.
func (h *Hold) BeginPause() {
	if h != nil {
		h.Add(h.account.buffers.Endpoint)
	}
}

// EndPause records that the answer is read on after a time.
func (h *Hold) EndPause(after time.Duration) {
	if h == nil {
		return
	}
	h.Add(-h.account.buffers.Endpoint)
	if after >= minPause {
		h.account.metrics.heldBack.Inc(1)
	}
}

// minPause is the shortest pause that counts as one. Callers who keep up accept what is written
// sooner.
const minPause = 100 * time.Millisecond

// RecordUnreadCut counts an answer that its endpoint cut off because it was left unread.
func (h *Hold) RecordUnreadCut() {
	if h != nil {
		h.account.metrics.unreadCut.Inc(1)
	}
}

// End removes the request with all that it holds.
func (h *Hold) End() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.ended {
		return
	}
	h.count(-h.bytes)
	h.ended = true
	delete(a.holds, h)
}

// stalledFor returns how long the caller has accepted nothing. The caller of the method holds
// the lock.
func (h *Hold) stalledFor(now time.Time) time.Duration {
	if h.writingSince.IsZero() {
		return 0
	}
	return now.Sub(h.writingSince)
}
