// Package lavdatagram sends small messages between hosts as single UDP datagrams.
//
// It is meant for state that is sent periodically, where the next message replaces a
// lost one. On a stream, a lost packet would delay all data after it, and the delayed
// messages would be outdated on arrival. Messages that must be delivered are sent by
// lavmesh instead.
//
// A datagram contains one CBOR message. Messages that can't be decoded are counted as
// malformed and dropped.
package lavdatagram
