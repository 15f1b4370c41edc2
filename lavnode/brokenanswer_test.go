package lavnode_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
)

// brokenService is a service that answers with the bytes in answer.
type brokenService struct{ answer atomic.Value }

func (b *brokenService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		_, _ = io.WriteString(w, `{"Incarnation":"broken"}`)
		return
	}
	lavfake.RespondRaw(b.answer.Load().(string))(w, r)
}

// assertNoAnswerReachesCallers checks that the callers of a service don't get any of the answers, whether their call
// may be repeated or not.
func assertNoAnswerReachesCallers(t *testing.T, answers []string) {
	t.Helper()
	service := &brokenService{}
	runWithSystem(t, map[string]http.Handler{"broken": service}, func(t *testing.T, sys *testSystem) {
		for i, answer := range answers {
			service.answer.Store(answer)
			head, _, _ := strings.Cut(answer, "\r\n\r\n")
			calls := map[string]request{
				"lookup": {method: http.MethodGet, path: "/services/broken/"},
				"order":  {method: http.MethodPost, path: "/services/broken/once", header: map[string]string{"Idempotency-Key": fmt.Sprint("k", i)}},
			}
			for name, call := range calls {
				response := sys.call(t, 0, call)
				lavassert.Equal(t, "status of "+name+" for "+head, response.status, http.StatusBadGateway)
				lavassert.Equal(t, "outcome of "+name+" for "+head, response.outcome(), "Unknown")
			}
		}
	})
}

// TestAnswersOfNoStatusDoNotReachCallers guards against an answer of a server in trouble whose status is none.
func TestAnswersOfNoStatusDoNotReachCallers(t *testing.T) {
	assertNoAnswerReachesCallers(t, lavfake.AnswersOfNoStatus(""))
}

// TestAnswersOfNoFieldNameDoNotReachCallers guards against an answer of a server in trouble in whose head a name can't be that of
// a field.
func TestAnswersOfNoFieldNameDoNotReachCallers(t *testing.T) {
	assertNoAnswerReachesCallers(t, lavfake.AnswersOfNoFieldName(""))
}
