// Package lavmesh sends messages and calls between entry hosts.
//
// Hosts exchange CBOR messages over WebSocket connections, called links. A
// message has a topic and a body. A call is a message that expects a reply. The
// size of a message and the length of the send queue to each peer are bounded:
// if a peer reads too slowly, further messages to it are dropped so that the
// sender never blocks. Data that must not be lost is therefore kept in the
// store.
package lavmesh
