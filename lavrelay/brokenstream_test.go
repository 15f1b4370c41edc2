package lavrelay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavpressure"
	"lavenderrack.example/lavenderrack/platform/standin"

	"github.com/uber-go/tally/v4"
)

// TestErrorAfterBrokenStreamIsNotForwarded guards against an error of the second endpoint in the middle of
// the stream that the first one broke off, and against its end as if it were complete.
func TestErrorAfterBrokenStreamIsNotForwarded(t *testing.T) {
	long := strings.Repeat("error ", maxBufferedBytes/3)
	second := map[string]standin.Handler{
		"ServerError":         standin.Respond(http.StatusInternalServerError, "error"),
		"LongServerError":     standin.Respond(http.StatusInternalServerError, long),
		"CallerError":         standin.Respond(http.StatusNotFound, "error"),
		"EventsOfError":       standin.Respond(http.StatusInternalServerError, standin.Event(3), standin.EventsHeader),
		"EventsOfUnavailable": standin.Respond(http.StatusServiceUnavailable, standin.Event(3), standin.EventsHeader),
		"Redirect":            standin.Respond(http.StatusFound, "error", "Location: /x\r\n"),
		"NoStream":            standin.Respond(http.StatusOK, "error"),
		"LongNoStream":        standin.Respond(http.StatusOK, long),
		"Refusal":             standin.Refuse(http.StatusServiceUnavailable),
		"NoResponse":          standin.CloseConnection,
	}
	first := map[string]standin.Handler{"Broken": standin.Stream(2), "Ended": standin.EndedStream(2), "Unframed": standin.UnframedStream(2)}
	for firstName, broken := range first {
		for secondName, failing := range second {
			for _, bounded := range []bool{false, true} {
				t.Run(fmt.Sprint(firstName, secondName, bounded), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newFixture(broken, failing)
						c := b.call(lavconfig.KindStreaming)
						var account *lavpressure.Account
						if bounded {
							account = lavpressure.New(slowReaderBound, lavpressure.Buffers{}, tally.NoopScope)
						}
						out := httptest.NewRecorder()
						lavassert.True(t, "connection aborted", b.serveTo(c, account, out))
						lavassert.Equal(t, "status", out.Code, http.StatusOK)
						lavassert.Equal(t, "body", out.Body.String(), standin.EventsUpTo(2))
						b.assertNoLoad(t)
						b.closePool()
					})
				})
			}
		}
	}
}
