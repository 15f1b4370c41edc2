package lavmesh

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/fxamacker/cbor/v2"
)

// Broadcast sends a message to all members and returns the number of peers to
// which it was sent directly. Each of them forwards the message within its
// section of the ring, so that every member receives it once, after a number of
// hops that is logarithmic in the size of the fleet. If a peer fails while it
// forwards a message, the members in its section may miss it. Callers whose
// messages must arrive therefore repeat them or let receivers request them.
func (m *Mesh) Broadcast(topic Topic, body any) (int, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return 0, lavstep.Wrap(err, lavstep.MeshSend, "")
	}
	if err := lavstep.Failpoint(m.context(), lavstep.MeshSend, ""); err != nil {
		return 0, err
	}
	self := positionOf(m.membership.Self().Incarnation)
	m.mu.Lock()
	m.lastBroadcast++
	msg := message{Version: version, Topic: topic, Origin: self, Number: m.lastBroadcast, Limit: self, Body: data}
	m.duplicates.isNew(self, msg.Number, time.Now())
	m.mu.Unlock()
	return m.forward(msg), nil
}

// forwardIfNew forwards a broadcast unless it is a duplicate, and reports
// whether it was new.
func (m *Mesh) forwardIfNew(msg message) bool {
	m.mu.Lock()
	first := m.duplicates.isNew(msg.Origin, msg.Number, time.Now())
	m.mu.Unlock()
	if !first {
		return false
	}
	msg.Hops++
	if msg.Hops < maxHops {
		m.forward(msg)
	}
	return true
}

// forward sends a broadcast to the linked peers within its remaining span and
// returns the number of peers to which it was sent.
func (m *Mesh) forward(msg message) int {
	links := m.forwardingLinks()
	links = slices.DeleteFunc(links, func(l *link) bool { return l.ringPosition == msg.Origin })
	remaining := ringSpan{from: positionOf(m.membership.Self().Incarnation), limit: msg.Limit}
	return divideSpan(remaining, links, func(l *link) position { return l.ringPosition }, func(l *link, limit position) bool {
		next := msg
		next.Limit = limit
		return l.enqueue(next)
	})
}

// forwardingLinks returns the links to peers that can be relied on to forward a
// broadcast within their section of the ring. If none of the peers is
// responsive, it returns all links, as after a freeze of this process.
func (m *Mesh) forwardingLinks() []*link {
	m.mu.Lock()
	links := slices.Collect(maps.Values(m.links))
	m.mu.Unlock()
	now := time.Now()
	var responsive []*link
	for _, l := range links {
		if l.responsive(now) {
			responsive = append(responsive, l)
		}
	}
	if len(responsive) == 0 {
		return links
	}
	return responsive
}

// incarnationIndex maps ring positions to incarnations for one membership view.
type incarnationIndex struct {
	view       *lavmember.View
	byPosition map[position]string
}

// incarnationAt returns the incarnation of the member at a ring position. If no
// member of the current view has that position, the position itself is returned
// in hexadecimal.
func (m *Mesh) incarnationAt(p position) string {
	view := m.membership.View()
	index := m.incarnations.Load()
	if index == nil || index.view != view {
		index = &incarnationIndex{view: view, byPosition: make(map[position]string, len(view.Members))}
		for _, member := range view.Members {
			index.byPosition[positionOf(member.Incarnation)] = member.Incarnation
		}
		m.incarnations.Store(index)
	}
	if name, ok := index.byPosition[p]; ok {
		return name
	}
	return fmt.Sprintf("%016x", uint64(p))
}
