package lavmesh

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// sendQueueLength is the maximum number of messages in the send queue of a
// link.
const (
	sendQueueLength = 256
)

// Timing holds the intervals and timeouts with which a mesh detects broken
// links and unreachable peers.
type Timing struct {
	// Ping is the interval between pings on a link. Silence is the time without
	// any received message after which the link is closed. It also limits the
	// writing of a message.
	Ping, Silence time.Duration
	// DialInterval is the interval at which the mesh dials neighbours that it
	// has no link to.
	DialInterval time.Duration
	// DialTimeout limits the time to open a link.
	DialTimeout time.Duration
	// ReplaceAfter is the time that a call waits on a link on which nothing is
	// received before the link is replaced. Zero means that links are never
	// replaced.
	ReplaceAfter time.Duration
}

// DefaultTiming returns the timing for fleets in which the store decides which
// hosts are alive.
func DefaultTiming() Timing {
	return Timing{
		Ping:         2 * time.Second,
		Silence:      6 * time.Second,
		DialInterval: time.Second,
		DialTimeout:  2 * time.Second,
		ReplaceAfter: 50 * time.Millisecond,
	}
}

// errLinkDown is returned by a call whose link closes before the reply arrives.
var errLinkDown = errors.New("link closed before the reply arrived")

// maxConcurrentCalls is the maximum number of calls from one peer that are
// handled at the same time.
const maxConcurrentCalls = 64

// replyTimeFactor is how many times the estimated reply time a call waits
// before its link is replaced.
const replyTimeFactor = 4

// link is a connection to a peer.
type link struct {
	peer string
	// id identifies the link at both ends. replaces is the ID of the dialler's
	// previous link to the peer.
	id           string
	replaces     string
	ringPosition position
	// dialler is the incarnation of the member that dialled the link.
	dialler     string
	conn        *websocket.Conn
	traffic     *traffic
	timing      Timing
	answerSlots chan struct{}
	sendQueue   chan message
	done        chan struct{}
	closeOnce   sync.Once

	mu             sync.Mutex
	pendingCalls   map[uint64]pendingCall
	lastCallNumber uint64
	// lastCallAt is the time of the last outgoing call. lastReceivedAt is the
	// time of the last received message.
	lastCallAt     time.Time
	lastReceivedAt time.Time
	// replyTime is an estimate of the time between a call and its reply.
	replyTime time.Duration
	// lastReplacedAt is the time at which this link was opened or its
	// replacement was last started.
	lastReplacedAt time.Time
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	topic Topic
	reply chan message
}

// handshake holds what both ends know about a link when it opens.
type handshake struct {
	peer    string
	dialler string
	// id identifies the link. replaces is the ID of the dialler's previous link
	// to the peer.
	id       string
	replaces string
}

func newLink(h handshake, conn *websocket.Conn, t *traffic, timing Timing) *link {
	conn.SetReadLimit(MaxMessageBytes)
	now := time.Now()
	return &link{
		peer:           h.peer,
		id:             h.id,
		replaces:       h.replaces,
		ringPosition:   positionOf(h.peer),
		dialler:        h.dialler,
		conn:           conn,
		traffic:        t,
		timing:         timing,
		answerSlots:    make(chan struct{}, maxConcurrentCalls),
		sendQueue:      make(chan message, sendQueueLength),
		done:           make(chan struct{}),
		pendingCalls:   make(map[uint64]pendingCall),
		lastCallAt:     now,
		lastReceivedAt: now,
		lastReplacedAt: now,
	}
}

// idleTime returns the time since the last outgoing call, or zero while a call
// is waiting for its reply.
func (l *link) idleTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pendingCalls) > 0 {
		return 0
	}
	return now.Sub(l.lastCallAt)
}

func (l *link) recordReceive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceivedAt = time.Now()
}

// missedPings is the number of pings after which a peer that sends nothing is not relied on.
const missedPings = 2

// responsive reports whether the peer has sent something recently. A peer that has become
// unreachable stops doing so before its link closes.
func (l *link) responsive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastReceivedAt) < missedPings*l.timing.Ping+l.timing.Ping/4
}

// silentSince reports whether nothing was received after a call was sent,
// although a working link would have delivered a ping in that time.
func (l *link) silentSince(sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReceivedAt.Before(sent) && time.Since(sent) > l.timing.Ping+l.timing.Ping/2
}

// enqueue adds a message to the send queue. It drops the message and returns
// false if the queue is full.
func (l *link) enqueue(m message) bool {
	select {
	case l.sendQueue <- m:
		return true
	default:
		l.traffic.dropped.Inc(1)
		return false
	}
}

func (l *link) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
	})
}

// call sends m and waits for the reply. It calls onSilence if nothing is
// received from the peer for several times the usual reply time.
func (l *link) call(ctx context.Context, m message, onSilence func()) (message, error) {
	reply := make(chan message, 1)
	sent := time.Now()
	l.registerCall(&m, reply, sent)
	defer l.unregisterCall(m.Call)
	if !l.enqueue(m) {
		return message{}, lavstep.Errorf(lavstep.MeshSend, l.peer, "send queue of %d messages is full", sendQueueLength)
	}
	silenceLimit := l.silenceLimit()
	var silenceTick <-chan time.Time
	if silenceLimit > 0 {
		tick := time.NewTicker(silenceLimit)
		defer tick.Stop()
		silenceTick = tick.C
	}
	for {
		select {
		case got := <-reply:
			l.recordReplyTime(time.Since(sent))
			return got, nil
		case <-l.done:
			return message{}, lavstep.Wrap(errLinkDown, lavstep.MeshReceive, l.peer)
		case <-silenceTick:
			if l.shouldReplace(silenceLimit) {
				onSilence()
			}
		case <-ctx.Done():
			if l.silentSince(sent) {
				// The next call dials a new link.
				l.close()
			}
			return message{}, lavstep.Wrap(ctx.Err(), lavstep.MeshReceive, l.peer)
		}
	}
}

// registerCall assigns a number to a call and registers the channel for its
// reply.
func (l *link) registerCall(m *message, reply chan message, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCallAt = now
	l.lastCallNumber++
	m.Call = l.lastCallNumber
	l.pendingCalls[m.Call] = pendingCall{topic: m.Topic, reply: reply}
}

func (l *link) unregisterCall(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingCalls, call)
}

// deliverReply passes a reply to the call that waits for it. Replies to calls
// that have ended are dropped, and so are those of another topic.
func (l *link) deliverReply(m message) {
	l.mu.Lock()
	call, pending := l.pendingCalls[m.Call]
	l.mu.Unlock()
	if !pending || call.topic != m.Topic {
		return
	}
	select {
	case call.reply <- m:
	default:
		// A duplicate reply to the same call is dropped.
	}
}

// run sends and receives messages until the connection closes. It passes
// received messages other than pings and replies to handle.
func (l *link) run(ctx context.Context, handle func(message)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write(ctx)
	}()
	l.read(ctx, handle)
	l.close()
	cancel()
	<-written
}

func (l *link) write(ctx context.Context) {
	defer l.close()
	ping := time.NewTicker(l.timing.Ping)
	defer ping.Stop()
	for {
		m := message{Version: version, Topic: TopicPing}
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case <-ping.C:
		case m = <-l.sendQueue:
		}
		data, err := cbor.Marshal(m)
		if err != nil {
			continue
		}
		if err := l.send(ctx, data); err != nil {
			return
		}
		// Any message shows the peer that the link works.
		ping.Reset(l.timing.Ping)
	}
}

// send writes one frame. It fails if the peer does not accept the frame within
// Timing.Silence.
func (l *link) send(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.timing.Silence)
	defer cancel()
	l.traffic.countSent(len(data))
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

// read receives messages until the connection closes or nothing arrives within
// Timing.Silence. A live peer sends pings more often than that.
func (l *link) read(ctx context.Context, handle func(message)) {
	for {
		wait, cancel := context.WithTimeout(ctx, l.timing.Silence)
		_, data, err := l.conn.Read(wait)
		cancel()
		if err != nil {
			return
		}
		l.recordReceive()
		l.traffic.countReceived(len(data))
		m, err := decodeMessage(data)
		if err != nil {
			l.traffic.malformed.Inc(1)
			return
		}
		switch {
		case m.Topic == TopicPing:
		case m.Reply:
			l.deliverReply(m)
		default:
			handle(m)
		}
	}
}
