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

// readsAtOnce is how many reads are answered without end at the same time.
const readsAtOnce = 40

// TestEndlessRepliesLeaveMemory guards against a host that runs out of memory, since it keeps replies of the store that
// don't end.
func TestEndlessRepliesLeaveMemory(t *testing.T) {
	for _, endless := range lavfake.EndlessAnswers("X-Consul-Index: 1\r\n") {
		t.Run(endless.Name, func(t *testing.T) {
			server := httptest.NewServer(&endless)
			defer server.Close()
			s := lavstore.NewHTTP(&http.Client{Transport: &http.Transport{}}, server.URL)
			lavassert.FitsIntoHost(t, func() {
				var running sync.WaitGroup
				for range readsAtOnce {
					running.Go(func() {
						_, _, err := s.List(t.Context(), "p")
						lavassert.ErrorIs(t, err, lavstore.ErrUnavailable)
					})
				}
				running.Wait()
			})
		})
	}
}
