package lavnode

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// Limits of the outbox.
const (
	outboxCapacity = 4096
	sendAttempts   = 3
	senderCount    = 4
)

// peerMessage is a message to one peer.
type peerMessage struct {
	peer  string
	topic lavmesh.Topic
	body  any
}

// outbox sends messages to peers in the background, so that requests don't wait for
// them. A message is sent up to sendAttempts times until the peer has answered it,
// and then dropped. Messages to a full outbox are dropped. Messages may arrive in
// another order than they were enqueued in, since several senders run concurrently.
type outbox struct {
	mesh     *lavmesh.Mesh
	messages chan peerMessage
}

func newOutbox(mesh *lavmesh.Mesh) *outbox {
	return &outbox{mesh: mesh, messages: make(chan peerMessage, outboxCapacity)}
}

func (o *outbox) enqueue(m peerMessage) {
	select {
	case o.messages <- m:
	default:
	}
}

// Serve sends messages until the context ends.
func (o *outbox) Serve(ctx context.Context) error {
	var senders sync.WaitGroup
	defer senders.Wait()
	for range senderCount {
		senders.Go(func() { o.runSender(ctx) })
	}
	<-ctx.Done()
	return ctx.Err()
}

func (o *outbox) runSender(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.messages:
			o.sendWithRetries(ctx, m)
		}
	}
}

func (o *outbox) sendWithRetries(ctx context.Context, m peerMessage) {
	for range sendAttempts {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		var response any
		err := o.mesh.Call(callCtx, m.peer, m.topic, m.body, &response)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

// departureCheckInterval is the time between two comparisons of the view with the
// previous one.
const departureCheckInterval = 500 * time.Millisecond

// departureTracker records when a member last disappeared from the view.
type departureTracker struct {
	members *lavmember.Registry

	mu   sync.Mutex
	last time.Time
}

func newDepartureTracker(members *lavmember.Registry) *departureTracker {
	return &departureTracker{members: members}
}

// Serve compares the members with the previous ones until the context ends.
func (d *departureTracker) Serve(ctx context.Context) error {
	tick := time.NewTicker(departureCheckInterval)
	defer tick.Stop()
	before := d.members.View()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := d.members.View()
		for _, m := range before.Members {
			if _, ok := now.Member(m.Incarnation); !ok {
				d.mu.Lock()
				d.last = time.Now()
				d.mu.Unlock()
			}
		}
		before = now
	}
}

// noneSince reports whether no member has disappeared from the view since the given
// time.
func (d *departureTracker) noneSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last.Before(since)
}
