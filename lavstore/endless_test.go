package lavstore_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavstore"
)

const (
	// hostBytes is the memory of a host.
	hostBytes = 128_000_000
	// readsAtOnce is how many reads are answered without end at the same time.
	readsAtOnce = 40
)

// TestEndlessRepliesLeaveMemory guards against a host that runs out of memory, since it keeps replies of the store that
// don't end.
func TestEndlessRepliesLeaveMemory(t *testing.T) {
	for _, endless := range lavfake.EndlessAnswers("X-Consul-Index: 1\r\n") {
		t.Run(endless.Name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					endless.Write(c)
				}
			}))
			defer server.Close()
			s := lavstore.NewHTTP(&http.Client{Transport: &http.Transport{}}, server.URL)
			peak := lavassert.HeapPeak(func() {
				var running sync.WaitGroup
				for range readsAtOnce {
					running.Go(func() {
						_, _, err := s.List(t.Context(), "p")
						lavassert.ErrorIs(t, err, lavstore.ErrUnavailable)
					})
				}
				running.Wait()
			})
			t.Logf("peak of the heap: %d bytes", peak)
			lavassert.AtMost(t, "peak of the heap in bytes", peak, hostBytes)
		})
	}
}
