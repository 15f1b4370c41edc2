// Package lavdatagram carries small messages between hosts as single datagrams.
//
// It suits what is told again and again, so that a lost message is replaced by
// the next: on a stream a lost packet holds up all that follow it, and what they
// tell is old by then. What must arrive goes over lavmesh.
//
// A datagram is one CBOR message. Messages that can't be decoded are counted and
// dropped.
package lavdatagram
