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

// Path is where a host's mesh address answers.
const Path = "/mesh"

// idleBound is how long a link stays that was opened for calls alone.
const idleBound = 30 * time.Second

// Handler answers a message of one topic. Its result is the body of the reply;
// for a message that wants no reply it is dropped. From is the incarnation of
// the member that sent the message, whichever members passed it on.
type Handler func(ctx context.Context, from string, body []byte) (any, error)

// Views tells who is a member.
type Views interface {
	View() *lavmember.View
	Self() lavmember.Member
}

// Introducer is a Views that wants to know whom the mesh has met, and whom it
// can't reach.
type Introducer interface {
	Met(m lavmember.Member)
	Unreachable(incarnation string)
	// Full is the view with those that were left out because nobody reaches
	// them. The mesh goes on dialling them.
	Full() *lavmember.View
}

// Mesh is one host's end of all its links.
type Mesh struct {
	views   Views
	client  *http.Client
	traffic *traffic
	keys    *Keys
	pace    Pace
	names   atomic.Pointer[names]

	mu       sync.Mutex
	handlers map[Topic]Handler
	links    map[string]*link
	dialling map[string]chan struct{}
	// former is the id of the newest link to each peer, whether it stands or
	// not.
	former map[string]string
	seen   *seen
	// number counts the messages to all that this host has begun.
	number uint64
	// running counts the goroutines of links.
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns the mesh of a host. The client dials the peers.
func New(views Views, client *http.Client) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		views:    views,
		client:   client,
		traffic:  newTraffic(tally.NoopScope),
		pace:     DefaultPace(),
		handlers: make(map[Topic]Handler),
		links:    make(map[string]*link),
		dialling: make(map[string]chan struct{}),
		former:   make(map[string]string),
		seen:     newSeen(),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Count makes the mesh count its traffic in scope. It is called before Serve.
func (m *Mesh) Count(scope tally.Scope) { m.traffic = newTraffic(scope) }

// SetPace changes how fast the mesh notices losses. It is called before Serve.
func (m *Mesh) SetPace(p Pace) { m.pace = p }

// Handle sets the handler of a topic. All are set before Serve.
func (m *Mesh) Handle(topic Topic, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[topic] = h
}

// Serve keeps the links to this host's neighbours until the context ends.
func (m *Mesh) Serve(ctx context.Context) error {
	tick := time.NewTicker(m.pace.Tend)
	defer tick.Stop()
	defer m.running.Wait()
	m.begin(ctx)
	defer m.end()
	for {
		m.tend(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// begin makes handlers run with the values of the context of Serve.
func (m *Mesh) begin(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.cancel
	m.ctx, m.cancel = context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(m.ctx, before)
}

func (m *Mesh) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancel()
}

// context returns the context of the links and handlers.
func (m *Mesh) context() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctx
}

// Neighbours returns the incarnations that this host has links to.
func (m *Mesh) Neighbours() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]string, 0, len(m.links))
	for peer := range m.links {
		peers = append(peers, peer)
	}
	return peers
}

// receive runs the handler of a message, and passes a message to all on. A call
// is answered from a goroutine of its own, so that a slow one doesn't hold up
// the link.
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
		m.accept(l, msg, handler)
	case msg.Number != 0:
		if m.pass(msg) && handler != nil {
			_, _ = handler(ctx, m.nameOf(msg.Origin), msg.Body)
		}
	case handler != nil:
		_, _ = handler(ctx, l.peer, msg.Body)
	}
}

func (m *Mesh) accept(l *link, msg message, handler Handler) {
	if handler == nil {
		return
	}
	select {
	case l.answers <- struct{}{}:
	default:
		l.offer(message{Version: version, Topic: msg.Topic, Call: msg.Call, Reply: true, Failure: "too many calls at a time"})
		return
	}
	m.running.Go(func() {
		defer func() { <-l.answers }()
		m.answer(l, msg, handler)
	})
}

func (m *Mesh) answer(l *link, msg message, handler Handler) {
	ctx, cancel := context.WithCancel(m.context())
	defer cancel()
	stop := m.whileBusy(ctx, l)
	defer stop()
	out, err := handler(ctx, l.peer, msg.Body)
	reply := message{Version: version, Topic: msg.Topic, Call: msg.Call, Reply: true}
	if err == nil {
		reply.Body, err = cbor.Marshal(out)
	}
	if err != nil {
		reply.Failure = err.Error()
	}
	l.offer(reply)
}

// Call asks a peer and decodes its reply into out. It opens a link if there is
// none, and another if the one there is goes silent: the peer may then get the
// call twice, so that its handler must bear that.
func (m *Mesh) Call(ctx context.Context, peer string, topic Topic, in, out any) error {
	if err := lavstep.Failpoint(ctx, lavstep.MeshSend, peer); err != nil {
		return err
	}
	data, err := cbor.Marshal(in)
	if err != nil {
		return lavstep.Wrap(err, lavstep.MeshSend, peer)
	}
	reply, err := m.ask(ctx, peer, message{Version: version, Topic: topic, Body: data})
	if err != nil {
		return err
	}
	if reply.Failure != "" {
		return lavstep.Wrap(errors.Newf("%s", reply.Failure), lavstep.MeshReceive, peer)
	}
	return lavstep.Wrap(Decode(reply.Body, out), lavstep.MeshReceive, peer)
}
