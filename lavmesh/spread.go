package lavmesh

import (
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/fxamacker/cbor/v2"
)

// Spread sends a message to every member and returns to how many peers it went
// directly. Each of them passes it on to its part of the ring, so that every
// member gets it once, over as many hops as the logarithm of the fleet. A
// member whose peer fails at that moment misses the message: what must arrive
// is spread again or asked for.
func (m *Mesh) Spread(topic Topic, body any) (int, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return 0, lavstep.Wrap(err, lavstep.MeshSend, "")
	}
	if err := lavstep.Failpoint(m.context(), lavstep.MeshSend, ""); err != nil {
		return 0, err
	}
	self := positionOf(m.views.Self().Incarnation)
	m.mu.Lock()
	m.number++
	msg := message{Version: version, Topic: topic, Origin: self, Number: m.number, Limit: self, Body: data}
	m.seen.first(self, msg.Number, time.Now())
	m.mu.Unlock()
	return m.forward(msg), nil
}

// pass sends a message to all on and reports whether it came for the first
// time.
func (m *Mesh) pass(msg message) bool {
	m.mu.Lock()
	first := m.seen.first(msg.Origin, msg.Number, time.Now())
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

// forward shares the rest of a message's way among the links.
func (m *Mesh) forward(msg message) int {
	m.mu.Lock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	m.mu.Unlock()
	rest := span{from: positionOf(m.views.Self().Incarnation), limit: msg.Limit}
	return share(rest, links, func(l *link) position { return l.at }, func(l *link, limit position) bool {
		next := msg
		next.Limit = limit
		return l.offer(next)
	})
}

// names finds the members of one view by their positions.
type names struct {
	view *lavmember.View
	at   map[position]string
}

// nameOf returns the incarnation at a position of the ring. A member that this
// host doesn't know yet is named by its position.
func (m *Mesh) nameOf(p position) string {
	view := m.views.View()
	known := m.names.Load()
	if known == nil || known.view != view {
		known = &names{view: view, at: make(map[position]string, len(view.Members))}
		for _, member := range view.Members {
			known.at[positionOf(member.Incarnation)] = member.Incarnation
		}
		m.names.Store(known)
	}
	if name, ok := known.at[p]; ok {
		return name
	}
	return fmt.Sprintf("%016x", uint64(p))
}
