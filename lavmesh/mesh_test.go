package lavmesh_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavmesh"

	"github.com/coder/websocket"
)

func TestMesh(t *testing.T) {
	t.Run("every member receives a broadcast once, with its sender", func(t *testing.T) {
		withFleet(t, 25, nil, func(t *testing.T, f *fleet) {
			_, err := f.peers[7].mesh.Broadcast(lavmesh.TopicLoad, "hello")
			lavassert.NoError(t, err)
			time.Sleep(time.Second)
			for i, p := range f.peers {
				want := "[entry-07-a: hello]"
				if i == 7 {
					want = "[]"
				}
				lavassert.Equal(t, p.self.Host, fmt.Sprint(p.messages()), want)
			}
			lavassert.AtMost(t, "links of 25 members", f.linkCount(), 25*2*5)
		})
	})
	t.Run("a call opens a link that closes when idle", func(t *testing.T) {
		withFleet(t, 25, nil, func(t *testing.T, f *fleet) {
			before := f.linkCount()
			for to := 1; to < 25; to++ {
				lavassert.NoError(t, f.call(0, to, time.Second))
			}
			lavassert.True(t, "links were opened", f.linkCount() > before)
			time.Sleep(time.Minute)
			lavassert.Equal(t, "links", f.linkCount(), before)
		})
	})
	t.Run("simultaneous dials leave one link", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			lavassert.Equal(t, "ends of links", f.linkCount(), 2)
		})
	})
	t.Run("a silent link is detected and replaced", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			// The result must not depend on which end calls or which end
			// dialled.
			for range 2 {
				f.network.Blackhole("entry-00", "entry-01")
				lavassert.NoError(t, f.call(0, 1, silentCallTimeout))
				lavassert.NoError(t, f.call(1, 0, silentCallTimeout))
				time.Sleep(time.Second)
				f.network.Blackhole("entry-00", "entry-01")
				lavassert.NoError(t, f.call(1, 0, silentCallTimeout))
				lavassert.NoError(t, f.call(0, 1, silentCallTimeout))
				time.Sleep(time.Second)
			}
			f.network.Blackhole("entry-00", "entry-01")
			time.Sleep(10 * time.Second)
			lavassert.NoError(t, f.call(1, 0, silentCallTimeout))
			lavassert.Equal(t, "ends of links", f.linkCount(), 2)
		})
	})
	t.Run("concurrent calls from both ends replace a silent link once", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			for range 20 {
				f.network.Blackhole("entry-00", "entry-01")
				var calls sync.WaitGroup
				for from := range 2 {
					for range 5 {
						calls.Go(func() { lavassert.Equal(t, "call", f.call(from, 1-from, silentCallTimeout), nil) })
					}
				}
				calls.Wait()
				time.Sleep(time.Second)
				lavassert.Equal(t, "ends of links", f.linkCount(), 2)
			}
		})
	})
	t.Run("packet loss causes few new connections and no lost replies", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			f.lossy.Store(true)
			const calls, pause = 50, 100 * time.Millisecond
			for range calls {
				lavassert.NoError(t, f.call(0, 1, time.Second))
				time.Sleep(pause)
			}
			lavassert.AtMost(t, "links replaced", f.peers[0].replacedLinks(), 2*calls/5)
		})
	})
	t.Run("a slow handler keeps its link", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			f.peers[1].handlerDelay = 700 * time.Millisecond
			lavassert.NoError(t, f.call(0, 1, time.Second))
			lavassert.Equal(t, "messages received", len(f.peers[1].messages()), 1)
			lavassert.Equal(t, "links replaced", f.peers[0].replacedLinks(), 0)
		})
	})
	t.Run("messages to a slow peer are dropped without blocking the sender", func(t *testing.T) {
		withFleet(t, 3, nil, func(t *testing.T, f *fleet) {
			f.network.SetPartitioned("entry-00", "entry-01", true)
			began := time.Now()
			for range 2000 {
				_, err := f.peers[0].mesh.Broadcast(lavmesh.TopicLoad, "x")
				lavassert.NoError(t, err)
			}
			lavassert.Equal(t, "time to broadcast", time.Since(began), 0)
			dropped := f.peers[0].scope.Snapshot().Counters()["mesh.dropped+"]
			lavassert.True(t, "messages were dropped", dropped != nil && dropped.Value() > 0)
			f.network.SetPartitioned("entry-00", "entry-01", false)
			lavassert.Eventually(t, "peer is reachable again", func() bool { return f.call(0, 1, time.Second) == nil })
		})
	})
	t.Run("an invalid frame closes only its own link", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			for _, frame := range [][]byte{nil, {0xff}, []byte("text"), make([]byte, 1<<16), {0xa2, 1, 2, 2, 99}} {
				conn, _, err := websocket.Dial(t.Context(), "ws://10.0.0.1:81/mesh", &websocket.DialOptions{
					HTTPClient: &http.Client{Transport: f.peers[1].client},
					HTTPHeader: http.Header{"Lav-Mesh-Member": {`{"Incarnation":"stranger"}`}},
				})
				lavassert.NoError(t, err)
				lavassert.NoError(t, conn.Write(t.Context(), websocket.MessageBinary, frame))
				_, _, err = conn.Read(t.Context())
				lavassert.True(t, "link is closed", err != nil)
				_ = conn.CloseNow()
			}
			lavassert.NoError(t, f.call(1, 0, time.Second))
		})
	})
	t.Run("a handshake without an incarnation is rejected", func(t *testing.T) {
		withFleet(t, 2, nil, func(t *testing.T, f *fleet) {
			for _, header := range []string{"", "{", "{}", `{"Incarnation":""}`} {
				_, _, err := websocket.Dial(t.Context(), "ws://10.0.0.1:81/mesh", &websocket.DialOptions{
					HTTPClient: &http.Client{Transport: f.peers[1].client},
					HTTPHeader: http.Header{"Lav-Mesh-Member": {header}},
				})
				lavassert.True(t, "handshake rejected", err != nil)
			}
		})
	})
}
