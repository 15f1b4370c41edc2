package lavmesh

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// subprotocol is the WebSocket subprotocol; it identifies the message format.
const subprotocol = "lavenderrack.mesh.v1"

// Headers of the WebSocket handshake.
const (
	// headerMember contains the sender's member record as JSON. It is set on
	// both the request and the response.
	headerMember = "Lav-Mesh-Member"
	// headerLink is the ID of the new link. headerReplaces is the ID of the
	// dialler's previous link to the same peer, or empty if there was none.
	headerLink     = "Lav-Mesh-Link"
	headerReplaces = "Lav-Mesh-Replaces"
)

// errNoMember is returned by a call to a peer that is not in the membership
// view.
var errNoMember = errors.New("no such member")

// maintainLinks dials the neighbours to which this host has no link, and closes
// idle links that this host dialled only for calls.
func (m *Mesh) maintainLinks(ctx context.Context) {
	wanted := slices.Concat(m.currentNeighbours(), m.neighboursOutsideView())
	keep := make(map[string]bool, len(wanted))
	for _, member := range wanted {
		keep[member.Incarnation] = true
		if m.openLink(member.Incarnation) == nil {
			// A failed dial is retried at the next tick.
			m.goroutines.Go(func() { _, _ = m.dialOnce(ctx, member) })
		}
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for peer, l := range m.links {
		if !keep[peer] && l.dialler == m.membership.Self().Incarnation && l.idleTime(now) > idleLinkTimeout {
			l.close()
		}
	}
	m.pruneLastLinkIDs()
	m.traffic.links.Update(float64(len(m.links)))
}

// currentNeighbours returns this host's neighbours in the current view. Only Serve calls it.
func (m *Mesh) currentNeighbours() []lavmember.Member {
	if view := m.membership.View(); view != m.neighboursView {
		m.neighboursView = view
		m.neighbours = neighbours(m.membership.Self().Incarnation, view)
	}
	return m.neighbours
}

// pruneLastLinkIDs deletes the last link IDs of peers that are no longer
// members. The caller must hold m.mu.
func (m *Mesh) pruneLastLinkIDs() {
	view := m.membership.View()
	for peer := range m.lastLinkIDs {
		if _, ok := view.Member(peer); !ok && m.links[peer] == nil {
			delete(m.lastLinkIDs, peer)
		}
	}
}

// neighboursOutsideView returns the neighbours that are missing from the view
// because they are temporarily considered unreachable.
func (m *Mesh) neighboursOutsideView() []lavmember.Member {
	observer, ok := m.membership.(PeerObserver)
	if !ok {
		return nil
	}
	view, full := m.membership.View(), observer.FullView()
	if full == view {
		return nil
	}
	var absent []lavmember.Member
	for _, member := range neighbours(m.membership.Self().Incarnation, full) {
		if _, known := view.Member(member.Incarnation); !known {
			absent = append(absent, member)
		}
	}
	return absent
}

// openLink returns the open link to a peer, or nil if there is none.
func (m *Mesh) openLink(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[peer]; l != nil && !l.closed() {
		return l
	}
	return nil
}

// linkTo returns the open link to a peer, and dials the peer if there is none.
func (m *Mesh) linkTo(ctx context.Context, peer string) (*link, error) {
	if l := m.openLink(peer); l != nil {
		return l, nil
	}
	member, ok := m.membership.View().Member(peer)
	if !ok {
		return nil, lavstep.Wrap(errNoMember, lavstep.MeshSend, peer)
	}
	return m.dialOnce(ctx, member)
}

// dialOnce dials a peer and returns the link. Concurrent calls for the same
// peer share one dial.
func (m *Mesh) dialOnce(ctx context.Context, peer lavmember.Member) (*link, error) {
	m.mu.Lock()
	dialled := m.dialling[peer.Incarnation]
	if dialled == nil {
		dialled = make(chan struct{})
		m.dialling[peer.Incarnation] = dialled
		m.mu.Unlock()
		err := m.dial(ctx, peer)
		m.mu.Lock()
		delete(m.dialling, peer.Incarnation)
		close(dialled)
		m.mu.Unlock()
		if err != nil {
			return nil, err
		}
	} else {
		m.mu.Unlock()
		select {
		case <-dialled:
		case <-ctx.Done():
			return nil, lavstep.Wrap(ctx.Err(), lavstep.MeshDial, peer.Host)
		}
	}
	if l := m.openLink(peer.Incarnation); l != nil {
		return l, nil
	}
	return nil, lavstep.Wrap(errLinkDown, lavstep.MeshDial, peer.Host)
}

func (m *Mesh) dial(ctx context.Context, peer lavmember.Member) error {
	if err := lavstep.Failpoint(ctx, lavstep.MeshDial, peer.Host); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.timing.DialTimeout)
	defer cancel()
	self := m.membership.Self()
	header, err := json.Marshal(self)
	if err != nil {
		return lavstep.Wrap(err, lavstep.MeshDial, peer.Host)
	}
	h := handshake{peer: peer.Incarnation, dialler: self.Incarnation, id: rand.Text(), replaces: m.lastLinkID(peer.Incarnation)}
	conn, response, err := websocket.Dial(ctx, m.urlOf(peer.Mesh), &websocket.DialOptions{
		HTTPClient:   m.httpClientFor(peer),
		HTTPHeader:   http.Header{headerMember: {string(header)}, headerLink: {h.id}, headerReplaces: {h.replaces}},
		Subprotocols: []string{subprotocol},
	})
	if err != nil {
		m.reportUnreachable(peer.Incarnation)
		return lavstep.Wrap(err, lavstep.MeshDial, peer.Host)
	}
	actual, err := memberFromHeader(response.Header)
	if err != nil {
		_ = conn.CloseNow()
		return lavstep.Wrap(err, lavstep.MeshDial, peer.Host)
	}
	h.peer = actual.Incarnation
	m.startLink(actual, newLink(h, conn, m.traffic, m.timing))
	if actual.Incarnation != peer.Incarnation {
		// The address now belongs to a different process, so the requested
		// incarnation no longer exists.
		m.reportUnreachable(peer.Incarnation)
	}
	return nil
}

// startLink registers a link and serves it on a new goroutine.
func (m *Mesh) startLink(member lavmember.Member, l *link) {
	if !m.registerLink(l) {
		l.close()
		return
	}
	m.reportConnected(member)
	m.goroutines.Go(func() { m.runLink(l) })
}

func (m *Mesh) urlOf(addr netip.AddrPort) string {
	if m.keys != nil {
		return "wss://" + addr.String() + Path
	}
	return "ws://" + addr.String() + Path
}

// maxMemberHeaderBytes is the maximum length of a peer's member header.
const maxMemberHeaderBytes = 4 << 10

func memberFromHeader(header http.Header) (lavmember.Member, error) {
	text := header.Get(headerMember)
	var member lavmember.Member
	if text == "" || len(text) > maxMemberHeaderBytes {
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

// ServeHTTP accepts a link that a peer opens, and serves it until it closes.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer, err := memberFromHeader(r.Header)
	if err == nil {
		err = m.verifyPeerHost(r, peer)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	self, err := json.Marshal(m.membership.Self())
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
	}, conn, m.traffic, m.timing)
	if !m.registerLink(l) {
		l.close()
		return
	}
	m.reportConnected(peer)
	m.runLink(l)
}

// registerLink registers a link, and reports false if it must be closed
// instead. If two members dial each other at the same time, both keep the link
// that the lower incarnation dialled. In all other cases the newer link wins,
// because its dialler must have found the older one broken.
func (m *Mesh) registerLink(l *link) bool {
	self := m.membership.Self().Incarnation
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.links[l.peer]
	if old != nil && !old.closed() && isCrossedDial(old, l, self) {
		return false
	}
	if old != nil {
		old.close()
	}
	m.links[l.peer] = l
	m.lastLinkIDs[l.peer] = l.id
	return true
}

// isCrossedDial reports whether both members dialled at the same time and the
// older link is the one that the lower incarnation dialled. If the dialler of
// the newer link names the older link as the one to replace, the dials did not
// cross.
func isCrossedDial(old, l *link, self string) bool {
	knewOlder := l.replaces != "" && l.replaces == old.id
	return !knewOlder && old.dialler == min(self, l.peer) && l.dialler != old.dialler
}

// lastLinkID returns the ID of the most recent link to a peer, or "" if there
// was none.
func (m *Mesh) lastLinkID(peer string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastLinkIDs[peer]
}

func (m *Mesh) runLink(l *link) {
	l.run(m.context(), func(msg message) { m.receive(l, msg) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer] == l {
		delete(m.links, l.peer)
	}
}

func (m *Mesh) reportConnected(member lavmember.Member) {
	if observer, ok := m.membership.(PeerObserver); ok {
		observer.PeerConnected(member)
	}
}

func (m *Mesh) reportUnreachable(incarnation string) {
	if observer, ok := m.membership.(PeerObserver); ok {
		observer.PeerUnreachable(incarnation)
	}
}
