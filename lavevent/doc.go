// Package lavevent reads a stream of server-sent events and tells the events of a run from other
// bytes.
//
// The place at which bytes arrive does not show whose they are: an endpoint in trouble may send
// text, another response or parts of one between two events, and ends them with a blank line as
// events end. A Reader therefore accepts a block, which is what stands between two blank lines,
// only for what it says:
//
//   - Every line of an event is UTF-8 without control characters and has a known field.
//   - An event has exactly one ID, which is a decimal number, and has data. Names of further
//     fields that may stand in the first line are given to New.
//   - IDs number the events of a stream from 1 on without gaps. The first event of a resumed
//     stream follows the last one that its reader has had.
//   - Comments and blank lines may stand anywhere between events.
//
// What a Reader accepts is returned byte by byte as it came. After the first block that is no
// event nothing further is accepted: the bytes behind it may belong to anything.
package lavevent
