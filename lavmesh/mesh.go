package lavmesh

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"
)

// Path is the HTTP path on which a host accepts links.
const Path = "/mesh"

// idleLinkTimeout is the time without calls after which a link that was dialled
// only for calls is closed.
const idleLinkTimeout = 30 * time.Second

// Handler handles the messages of one topic. For a call, the returned value is
// the body of the reply; otherwise it is ignored. From is the incarnation of
// the member that originally sent the message, even if other members forwarded
// it.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Membership provides the local member and the current membership view.
type Membership interface {
	View() *lavmember.View
	Self() lavmember.Member
}

// PeerObserver is a Membership that is also notified when the mesh connects to
// a peer or fails to reach one.
type PeerObserver interface {
	PeerConnected(m lavmember.Member)
	PeerUnreachable(incarnation string)
	// FullView returns the view including members that were removed from it
	// because no host can reach them. The mesh keeps dialling those members.
	FullView() *lavmember.View
}

// Mesh manages the links of one host.
type Mesh struct {
	membership   Membership
	client       *http.Client
	traffic      *traffic
	keys         *Keys
	timing       Timing
	incarnations atomic.Pointer[incarnationIndex]
	// neighbours are the neighbours in neighboursView.
	neighbours     []lavmember.Member
	neighboursView *lavmember.View

	mu       sync.Mutex
	handlers map[Topic]Handler
	links    map[string]*link
	dialling map[string]chan struct{}
	// lastLinkIDs contains the ID of the most recent link to each peer,
	// including links that have closed.
	lastLinkIDs map[string]string
	duplicates  *duplicateFilter
	// lastBroadcast is the number of the last message that this host broadcast.
	lastBroadcast uint64
	// goroutines tracks the goroutines that dial links, serve them and handle
	// calls.
	goroutines sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns the mesh of a host. It dials peers with the given client.
func New(membership Membership, client *http.Client) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		membership:  membership,
		client:      client,
		traffic:     newTraffic(tally.NoopScope),
		timing:      DefaultTiming(),
		handlers:    make(map[Topic]Handler),
		links:       make(map[string]*link),
		dialling:    make(map[string]chan struct{}),
		lastLinkIDs: make(map[string]string),
		duplicates:  newDuplicateFilter(),
		ctx:         ctx,
		cancel:      cancel,
	}
}

// SetMetricsScope sets the scope for the traffic metrics. It must be called
// before Serve.
func (m *Mesh) SetMetricsScope(scope tally.Scope) { m.traffic = newTraffic(scope) }

// SetTiming sets the intervals and timeouts of the mesh. It must be called
// before Serve.
func (m *Mesh) SetTiming(timing Timing) { m.timing = timing }

// Handle sets the handler of a topic. It must be called before Serve.
func (m *Mesh) Handle(topic Topic, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[topic] = h
}

// Serve maintains the links to this host's neighbours until the context ends.
func (m *Mesh) Serve(ctx context.Context) error {
	tick := time.NewTicker(m.timing.DialInterval)
	defer tick.Stop()
	// A transport goes on with a dial that nobody waits for any more, until it is told to close.
	defer m.client.CloseIdleConnections()
	defer m.goroutines.Wait()
	m.startContext(ctx)
	defer m.cancelContext()
	for {
		m.maintainLinks(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// startContext creates the context of links and handlers. It has the values of
// the context of Serve, but its own cancellation.
func (m *Mesh) startContext(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	cancelPrevious := m.cancel
	m.ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(m.ctx, cancelPrevious)
}

func (m *Mesh) cancelContext() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancel()
}

// context returns the context of links and handlers.
func (m *Mesh) context() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctx
}

// ConnectedPeers returns the incarnations of all peers with a link to this
// host.
func (m *Mesh) ConnectedPeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]string, 0, len(m.links))
	for peer := range m.links {
		peers = append(peers, peer)
	}
	return peers
}

// receive handles a received message, and forwards it if it is a broadcast that
// was not received before. Calls are handled on separate goroutines so that a
// slow handler does not block the link.
func (m *Mesh) receive(l *link, msg message) {
	ctx := m.context()
	if lavstep.Failpoint(ctx, lavstep.MeshReceive, l.peer) != nil {
		return
	}
	m.mu.Lock()
	handler := m.handlers[msg.Topic]
	m.mu.Unlock()
	switch {
	case msg.Call != 0:
		m.acceptCall(l, msg, handler)
	case msg.Number != 0:
		if m.forwardIfNew(msg) && handler != nil {
			_, _ = handler(ctx, m.incarnationAt(msg.Origin), msg.Body)
		}
	case handler != nil:
		_, _ = handler(ctx, l.peer, msg.Body)
	}
}

func (m *Mesh) acceptCall(l *link, msg message, handler Handler) {
	if handler == nil {
		l.enqueue(message{Version: version, Topic: msg.Topic, Call: msg.Call, Reply: true, Failure: "no handler for " + msg.Topic.String()})
		return
	}
	select {
	case l.answerSlots <- struct{}{}:
	default:
		l.enqueue(message{Version: version, Topic: msg.Topic, Call: msg.Call, Reply: true, Failure: "too many calls at a time"})
		return
	}
	m.goroutines.Go(func() {
		defer func() { <-l.answerSlots }()
		m.answerCall(l, msg, handler)
	})
}

func (m *Mesh) answerCall(l *link, msg message, handler Handler) {
	ctx, cancel := context.WithCancel(m.context())
	defer cancel()
	stop := m.pingDuringCall(ctx, l)
	defer stop()
	out, err := handler(ctx, l.peer, msg.Body)
	reply := message{Version: version, Topic: msg.Topic, Call: msg.Call, Reply: true}
	if err == nil {
		reply.Body, err = cbor.Marshal(out)
	}
	if err != nil {
		reply.Failure = err.Error()
	}
	l.enqueue(reply)
}

// Call sends a call to a peer and decodes the reply into out. It dials the peer
// if there is no link, and replaces the link if nothing is received on it. The
// peer may then receive the call twice, so the handler must be idempotent.
func (m *Mesh) Call(ctx context.Context, peer string, topic Topic, in, out any) error {
	if err := lavstep.Failpoint(ctx, lavstep.MeshSend, peer); err != nil {
		return err
	}
	data, err := cbor.Marshal(in)
	if err != nil {
		return lavstep.Wrap(err, lavstep.MeshSend, peer)
	}
	reply, err := m.callWithRetry(ctx, peer, message{Version: version, Topic: topic, Body: data})
	if err != nil {
		return err
	}
	if reply.Failure != "" {
		return lavstep.Wrap(errors.Newf("%s", reply.Failure), lavstep.MeshReceive, peer)
	}
	return lavstep.Wrap(Decode(reply.Body, out), lavstep.MeshReceive, peer)
}
