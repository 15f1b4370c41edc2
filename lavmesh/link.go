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

// Bounds of a link.
const (
	queueLength = 256
)

// Timing is how fast a mesh notices that a link or a peer is gone.
type Timing struct {
	// Ping is the time between signs of life on a link, and Silence the time
	// without any after which the link is given up.
	Ping, Silence time.Duration
	// DialInterval is the time between looks for neighbours without a link.
	DialInterval time.Duration
	// DialTimeout bounds the opening of a link.
	DialTimeout time.Duration
	// Doubt is how long a call waits on a link from which nothing comes before
	// another link is opened in its place. Zero is for ever.
	Doubt time.Duration
}

// DefaultPace suits fleets whose store settles who is alive.
func DefaultPace() Timing {
	return Timing{
		Ping:    2 * time.Second,
		Silence: 6 * time.Second,
		DialInterval:    time.Second,
		DialTimeout:    2 * time.Second,
		Doubt:   50 * time.Millisecond,
	}
}

// errLinkDown means that the connection ended before the reply came.
var errLinkDown = errors.New("link is down")

// maxAnswering bounds the calls of one peer that are answered at a time.
const maxAnswering = 64

// tripsToDoubt is how many times as long as usual a reply may take before its
// link is doubted.
const tripsToDoubt = 4

// link is one connection to one peer.
type link struct {
	peer string
	// id names the link at both ends, and replaces is the one before it.
	id       string
	replaces string
	at       position
	// dialler is the incarnation of the end that opened the connection.
	dialler string
	conn    *websocket.Conn
	traffic *traffic
	pace    Timing
	answers chan struct{}
	out     chan message
	done    chan struct{}
	once    sync.Once

	mu    sync.Mutex
	calls map[uint64]chan message
	next  uint64
	// used is when the last call was made, and heard when the last message
	// came.
	used  time.Time
	heard time.Time
	// trip is how long replies have taken of late.
	trip time.Duration
	// doubted is when this link, or another in its place, was last opened.
	doubted time.Time
}

// handshake is what both ends know of a link as it is opened.
type handshake struct {
	peer    string
	dialler string
	// id names the link, and replaces the last one of the dialler to that peer.
	id       string
	replaces string
}

func newLink(h handshake, conn *websocket.Conn, t *traffic, pace Timing) *link {
	conn.SetReadLimit(MaxMessageBytes)
	now := time.Now()
	return &link{
		peer:     h.peer,
		id:       h.id,
		replaces: h.replaces,
		at:       positionOf(h.peer),
		dialler:  h.dialler,
		conn:     conn,
		traffic:  t,
		pace:     pace,
		answers:  make(chan struct{}, maxAnswering),
		out:      make(chan message, queueLength),
		done:     make(chan struct{}),
		calls:    make(map[uint64]chan message),
		used:     now,
		heard:    now,
		doubted:  now,
	}
}

// idle returns how long no call was made, or zero while one is waiting.
func (l *link) idle(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.calls) > 0 {
		return 0
	}
	return now.Sub(l.used)
}

func (l *link) hear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
}

// silentSince reports whether nothing has come since a call was sent, although
// a peer that is alive would have pinged.
func (l *link) silentSince(sent time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard.Before(sent) && time.Since(sent) > l.pace.Ping+l.pace.Ping/2
}

// offer queues a message, or reports that the queue is full.
func (l *link) offer(m message) bool {
	select {
	case l.out <- m:
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
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
	})
}

// call sends m and waits for the reply. Doubt is called when nothing has come
// from the peer for longer than replies usually take.
func (l *link) call(ctx context.Context, m message, doubt func()) (message, error) {
	reply := make(chan message, 1)
	sent := time.Now()
	l.begin(&m, reply, sent)
	defer l.end(m.Call)
	if !l.offer(m) {
		return message{}, lavstep.Errorf(lavstep.MeshSend, l.peer, "queue of %d messages is full", queueLength)
	}
	patience := l.patience()
	var quiet <-chan time.Time
	if patience > 0 {
		tick := time.NewTicker(patience)
		defer tick.Stop()
		quiet = tick.C
	}
	for {
		select {
		case got := <-reply:
			l.took(time.Since(sent))
			return got, nil
		case <-l.done:
			return message{}, lavstep.Wrap(errLinkDown, lavstep.MeshReceive, l.peer)
		case <-quiet:
			if l.doubtful(patience) {
				doubt()
			}
		case <-ctx.Done():
			if l.silentSince(sent) {
				// The next call dials anew.
				l.close()
			}
			return message{}, lavstep.Wrap(ctx.Err(), lavstep.MeshReceive, l.peer)
		}
	}
}

// begin numbers a call and registers who waits for its reply.
func (l *link) begin(m *message, reply chan message, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = now
	l.next++
	m.Call = l.next
	l.calls[m.Call] = reply
}

func (l *link) end(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, call)
}

// settle hands a reply to the call that waits for it, if one still does.
func (l *link) settle(m message) {
	l.mu.Lock()
	waiting := l.calls[m.Call]
	l.mu.Unlock()
	if waiting == nil {
		return
	}
	select {
	case waiting <- m:
	default:
		// A second reply to one call.
	}
}

// run moves messages until the connection ends. Received messages other than
// replies go to handle.
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
	ping := time.NewTicker(l.pace.Ping)
	defer ping.Stop()
	for {
		m := message{Version: version, Topic: TopicPing}
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case <-ping.C:
		case m = <-l.out:
		}
		data, err := cbor.Marshal(m)
		if err != nil {
			continue
		}
		if err := l.send(ctx, data); err != nil {
			return
		}
	}
}

// send writes one frame. A peer that doesn't take it in time is silent.
func (l *link) send(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.pace.Silence)
	defer cancel()
	l.traffic.send(len(data))
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

// read ends when the peer has been silent for too long: a peer that is alive
// sends pings.
func (l *link) read(ctx context.Context, handle func(message)) {
	for {
		wait, cancel := context.WithTimeout(ctx, l.pace.Silence)
		_, data, err := l.conn.Read(wait)
		cancel()
		if err != nil {
			return
		}
		l.hear()
		l.traffic.receive(len(data))
		m, err := decodeMessage(data)
		if err != nil {
			l.traffic.malformed.Inc(1)
			return
		}
		switch {
		case m.Topic == TopicPing:
		case m.Reply:
			l.settle(m)
		default:
			handle(m)
		}
	}
}
