package lavmesh

import "github.com/uber-go/tally/v4"

// frameOverheadBytes is the WebSocket framing overhead of most messages.
const frameOverheadBytes = 8

// traffic contains the metrics of sent and received messages.
type traffic struct {
	sent, sentBytes         tally.Counter
	received, receivedBytes tally.Counter
	dropped, malformed      tally.Counter
	replaced                tally.Counter
	links                   tally.Gauge
}

func newTraffic(scope tally.Scope) *traffic {
	s := scope.SubScope("mesh")
	return &traffic{
		sent:          s.Counter("sent"),
		sentBytes:     s.Counter("sent_bytes"),
		received:      s.Counter("received"),
		receivedBytes: s.Counter("received_bytes"),
		dropped:       s.Counter("dropped"),
		malformed:     s.Counter("malformed"),
		replaced:      s.Counter("replaced"),
		links:         s.Gauge("links"),
	}
}

func (t *traffic) countSent(size int) {
	t.sent.Inc(1)
	t.sentBytes.Inc(int64(size + frameOverheadBytes))
}

func (t *traffic) countReceived(size int) {
	t.received.Inc(1)
	t.receivedBytes.Inc(int64(size + frameOverheadBytes))
}
