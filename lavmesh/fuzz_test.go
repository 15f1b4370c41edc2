package lavmesh

import (
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"

	"github.com/fxamacker/cbor/v2"
)

// FuzzMessage passes arbitrary frames to the decoder. An accepted message must
// be within bounds and must not change when it is encoded and decoded again.
func FuzzMessage(f *testing.F) {
	for _, m := range []message{
		{Version: version, Topic: TopicPing},
		{Version: version, Topic: TopicLoad, Origin: 7, Number: 3, Limit: 9, Hops: 2, Body: cbor.RawMessage{0x01}},
		{Version: version, Topic: TopicCredit, Call: 5, Reply: true, Failure: "no"},
		{Version: 9, Topic: TopicLoad},
		{Version: version, Topic: TopicLoad, Hops: maxHops + 1},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		lavassert.Equal(t, "version", m.Version, version)
		lavassert.True(t, "topic", m.Topic > topicNone)
		lavassert.True(t, "hops", m.Hops >= 0 && m.Hops <= maxHops)
		again, err := cbor.Marshal(m)
		lavassert.NoError(t, err)
		second, err := decodeMessage(again)
		lavassert.NoError(t, err)
		lavassert.Equal(t, "number", second.Number, m.Number)
		lavassert.Equal(t, "limit", second.Limit, m.Limit)
	})
}
