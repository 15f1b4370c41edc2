package lavfront

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavretry"
)

// callsAtOnce is how many calls are answered without end at the same time.
const callsAtOnce = 200

// TestEndlessAnswersLeaveMemory guards against a host that runs out of memory, since it keeps answers that don't end.
func TestEndlessAnswersLeaveMemory(t *testing.T) {
	calls := map[string]func(f *Front, w http.ResponseWriter, r *http.Request){
		"Lookup": func(f *Front, w http.ResponseWriter, r *http.Request) { f.handleLookup(w, r, lookup()) },
		"Order": func(f *Front, w http.ResponseWriter, _ *http.Request) {
			if _, err := f.serviceClient.callOnce(order(1)); err != nil {
				w.WriteHeader(http.StatusBadGateway)
			}
		},
	}
	for _, endless := range lavfake.EndlessAnswers("") {
		for name, call := range calls {
			t.Run(endless.Name+"/"+name, func(t *testing.T) {
				f := &Front{
					serviceClient: newRawService(t, endless.Write),
					budget:        lavretry.NewBudget[string](),
				}
				lavassert.FitsIntoHost(t, func() {
					var running sync.WaitGroup
					for range callsAtOnce {
						running.Go(func() {
							w := httptest.NewRecorder()
							call(f, w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", strings.NewReader("")))
							lavassert.AtLeast(t, "status", w.Code, http.StatusInternalServerError)
						})
					}
					running.Wait()
				})
			})
		}
	}
}
