package lavmesh

import "github.com/fxamacker/cbor/v2"

// Send sends a message to a peer if there is an open link to it, and reports
// whether it was sent. It may be lost if the link closes.
func (m *Mesh) Send(peer string, topic Topic, body any) bool {
	l := m.openLink(peer)
	if l == nil {
		return false
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return false
	}
	return l.enqueue(message{Version: version, Topic: topic, Body: data})
}
