package lavmesh

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// subprotocol names the message format in the WebSocket handshake.
const subprotocol = "lavenderrack.mesh.v1"

// Headers of the handshake.
const (
	// headerMember holds, in both directions, who the end is.
	headerMember = "Lav-Mesh-Member"
	// headerLink names the new link, and headerReplaces the one before it, if
	// the dialler had one.
	headerLink     = "Lav-Mesh-Link"
	headerReplaces = "Lav-Mesh-Replaces"
)

// errNoMember means that a call names a member that the view doesn't hold.
var errNoMember = errors.New("no such member")

// tend dials the neighbours that this host has no link to, and closes the
// links that it opened for calls and no longer uses.
func (m *Mesh) tend(ctx context.Context) {
	chosen := append(neighbours(m.views.Self().Incarnation, m.views.View()), m.absent()...)
	keep := make(map[string]bool, len(chosen))
	for _, member := range chosen {
		keep[member.Incarnation] = true
		if m.link(member.Incarnation) == nil {
			// A peer that can't be reached is dialled again at the next tick.
			m.running.Go(func() { _, _ = m.open(ctx, member) })
		}
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for peer, l := range m.links {
		if !keep[peer] && l.dialler == m.views.Self().Incarnation && l.idle(now) > idleBound {
			l.close()
		}
	}
	m.forget()
	m.traffic.links.Update(float64(len(m.links)))
}

// forget drops the ids of the last links to those that are no members any more.
// The caller holds the lock.
func (m *Mesh) forget() {
	view := m.views.View()
	for peer := range m.former {
		if _, ok := view.Member(peer); !ok && m.links[peer] == nil {
			delete(m.former, peer)
		}
	}
}

// absent returns the neighbours that are left out of the view for now.
func (m *Mesh) absent() []lavmember.Member {
	views, ok := m.views.(Introducer)
	if !ok {
		return nil
	}
	view := m.views.View()
	var absent []lavmember.Member
	for _, member := range neighbours(m.views.Self().Incarnation, views.Full()) {
		if _, known := view.Member(member.Incarnation); !known {
			absent = append(absent, member)
		}
	}
	return absent
}

// link returns the link to a peer, or nil if there is none that stands.
func (m *Mesh) link(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[peer]; l != nil && !l.closed() {
		return l
	}
	return nil
}

// reach returns the link to a peer, and opens it if need be.
func (m *Mesh) reach(ctx context.Context, peer string) (*link, error) {
	if l := m.link(peer); l != nil {
		return l, nil
	}
	member, ok := m.views.View().Member(peer)
	if !ok {
		return nil, lavstep.Wrap(errNoMember, lavstep.MeshSend, peer)
	}
	return m.open(ctx, member)
}

// open dials a peer. Those who want the same peer at one time wait for one
// connection.
func (m *Mesh) open(ctx context.Context, peer lavmember.Member) (*link, error) {
	m.mu.Lock()
	waiting := m.dialling[peer.Incarnation]
	if waiting == nil {
		waiting = make(chan struct{})
		m.dialling[peer.Incarnation] = waiting
		m.mu.Unlock()
		err := m.dial(ctx, peer)
		m.mu.Lock()
		delete(m.dialling, peer.Incarnation)
		close(waiting)
		m.mu.Unlock()
		if err != nil {
			return nil, err
		}
	} else {
		m.mu.Unlock()
		select {
		case <-waiting:
		case <-ctx.Done():
			return nil, lavstep.Wrap(ctx.Err(), lavstep.MeshDial, peer.Host)
		}
	}
	if l := m.link(peer.Incarnation); l != nil {
		return l, nil
	}
	return nil, lavstep.Wrap(errLinkDown, lavstep.MeshDial, peer.Host)
}

func (m *Mesh) dial(ctx context.Context, peer lavmember.Member) error {
	if err := lavstep.Failpoint(ctx, lavstep.MeshDial, peer.Host); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.pace.Dial)
	defer cancel()
	self := m.views.Self()
	header, err := json.Marshal(self)
	if err != nil {
		return lavstep.Wrap(err, lavstep.MeshDial, peer.Host)
	}
	h := handshake{peer: peer.Incarnation, dialler: self.Incarnation, id: rand.Text(), replaces: m.formerLink(peer.Incarnation)}
	conn, answer, err := websocket.Dial(ctx, m.target(peer.Mesh), &websocket.DialOptions{
		HTTPClient:   m.clientFor(peer),
		HTTPHeader:   http.Header{headerMember: {string(header)}, headerLink: {h.id}, headerReplaces: {h.replaces}},
		Subprotocols: []string{subprotocol},
	})
	if err != nil {
		m.unreachable(peer.Incarnation)
		return lavstep.Wrap(err, lavstep.MeshDial, peer.Host)
	}
	met, err := memberOf(answer.Header)
	if err != nil {
		_ = conn.CloseNow()
		return lavstep.Wrap(err, lavstep.MeshDial, peer.Host)
	}
	h.peer = met.Incarnation
	m.start(met, newLink(h, conn, m.traffic, m.pace))
	if met.Incarnation != peer.Incarnation {
		// Another process has taken the address over; the one asked for is
		// gone.
		m.unreachable(peer.Incarnation)
	}
	return nil
}

// start registers a link and runs it in the background.
func (m *Mesh) start(met lavmember.Member, l *link) {
	if !m.attach(l) {
		l.close()
		return
	}
	m.met(met)
	m.running.Go(func() { m.run(l) })
}

func (m *Mesh) target(addr netip.AddrPort) string {
	if m.keys != nil {
		return "wss://" + addr.String() + Path
	}
	return "ws://" + addr.String() + Path
}

// maxMemberBytes bounds what a peer says of itself.
const maxMemberBytes = 4 << 10

func memberOf(header http.Header) (lavmember.Member, error) {
	text := header.Get(headerMember)
	var member lavmember.Member
	if text == "" || len(text) > maxMemberBytes {
		return member, errors.Newf("header %s is missing or too long", headerMember)
	}
	if err := json.Unmarshal([]byte(text), &member); err != nil {
		return member, err
	}
	if member.Incarnation == "" {
		return member, errors.Newf("header %s names no incarnation", headerMember)
	}
	return member, nil
}

// ServeHTTP accepts a peer's link.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, err := memberOf(r.Header)
	if err == nil {
		err = m.checkPeer(r, peer)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	self, err := json.Marshal(m.views.Self())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerMember, string(self))
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		return
	}
	l := newLink(handshake{
		peer:     peer.Incarnation,
		dialler:  peer.Incarnation,
		id:       r.Header.Get(headerLink),
		replaces: r.Header.Get(headerReplaces),
	}, conn, m.traffic, m.pace)
	if !m.attach(l) {
		l.close()
		return
	}
	m.met(peer)
	m.run(l)
}

// attach registers a link. Of two links that a pair of members opened to each
// other at one time, both ends keep that of the lower incarnation; otherwise
// the newer link wins, since its dialler found the older one dead.
func (m *Mesh) attach(l *link) bool {
	self := m.views.Self().Incarnation
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.links[l.peer]
	if old != nil && !old.closed() && crossed(old, l, self) {
		return false
	}
	if old != nil {
		old.close()
	}
	m.links[l.peer] = l
	m.former[l.peer] = l.id
	return true
}

// crossed reports whether a pair of members opened both links at one time and
// the older one is that of the lower incarnation. A link whose dialler knew the
// older one did not cross it.
func crossed(old, l *link, self string) bool {
	knew := l.replaces != "" && l.replaces == old.id
	return !knew && old.dialler == min(self, l.peer) && l.dialler != old.dialler
}

// formerLink returns the id of the last link to a peer, or "" if there was none.
func (m *Mesh) formerLink(peer string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.former[peer]
}

func (m *Mesh) run(l *link) {
	l.run(m.context(), func(msg message) { m.receive(l, msg) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer] == l {
		delete(m.links, l.peer)
	}
}

func (m *Mesh) met(member lavmember.Member) {
	if views, ok := m.views.(Introducer); ok {
		views.Met(member)
	}
}

func (m *Mesh) unreachable(incarnation string) {
	if views, ok := m.views.(Introducer); ok {
		views.Unreachable(incarnation)
	}
}
