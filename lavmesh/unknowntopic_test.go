package lavmesh_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// TestUnknownTopic guards against links that break on messages of a newer version of the program.
func TestUnknownTopic(t *testing.T) {
	const topic = lavmesh.Topic(200)
	t.Run("Broadcast", func(t *testing.T) {
		withFleet(t, 25, nil, func(t *testing.T, f *fleet) {
			links := f.linkCount()
			_, err := f.peers[7].mesh.Broadcast(topic, "new")
			lavassert.NoError(t, err)
			time.Sleep(10 * time.Millisecond)
			_, err = f.peers[3].mesh.Broadcast(lavmesh.TopicLoad, "hello")
			lavassert.NoError(t, err)
			time.Sleep(time.Second)
			for i, p := range f.peers {
				if i != 3 {
					lavassert.Equal(t, p.self.Host, fmt.Sprint(p.messages()), "[entry-03-a: hello]")
				}
				lavassert.Equal(t, "malformed messages", p.counter("mesh.malformed"), int64(0))
			}
			lavassert.Equal(t, "links", f.linkCount(), links)
		})
	})
	t.Run("Call", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			start := time.Now()
			err := f.peers[0].mesh.Call(ctx, f.peers[1].self.Incarnation, topic, "new", nil)
			lavassert.True(t, "the call fails", err != nil)
			lavassert.AtMost(t, "time to the failure", time.Since(start), time.Second)
		})
	})
}

// counter returns the value of a counter of the peer's mesh.
func (p *peer) counter(name string) int64 {
	for _, c := range p.scope.Snapshot().Counters() {
		if c.Name() == name {
			return c.Value()
		}
	}
	return 0
}
