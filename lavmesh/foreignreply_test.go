package lavmesh

import (
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"

	"github.com/fxamacker/cbor/v2"
)

// TestReplyToAnotherCallIsDropped guards against a reply of another topic, or to another call, that counts as the
// reply to the call that waits.
func TestReplyToAnotherCallIsDropped(t *testing.T) {
	body := cbor.RawMessage{0x01}
	tests := []struct {
		name      string
		reply     message
		delivered int
	}{
		{"Same", message{Topic: TopicCredit, Call: 1, Reply: true, Body: body}, 1},
		{"OtherTopic", message{Topic: TopicView, Call: 1, Reply: true, Body: body}, 0},
		{"OtherCall", message{Topic: TopicCredit, Call: 2, Reply: true, Body: body}, 0},
		{"NoCall", message{Topic: TopicCredit, Reply: true, Body: body}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &link{pendingCalls: make(map[uint64]pendingCall)}
			replies := make(chan message, 1)
			l.registerCall(&message{Topic: TopicCredit}, replies, time.Now())
			l.deliverReply(test.reply)
			lavassert.Equal(t, "replies", len(replies), test.delivered)
		})
	}
}
