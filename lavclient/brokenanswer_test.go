package lavclient_test

import (
	"net/http"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// assertNoAnswers checks that none of the answers of a host counts as one, and that another host is asked where
// the call may be sent again.
func assertNoAnswers(t *testing.T, answers []string) {
	t.Helper()
	for _, answer := range answers {
		head, _, _ := strings.Cut(answer, "\r\n\r\n")
		t.Run(strings.ReplaceAll(head, "\r\n", "|"), func(t *testing.T) {
			respond := func(w http.ResponseWriter, r *http.Request, n, _ int) {
				if n == 1 {
					lavfake.RespondRaw(answer)(w, r)
					return
				}
				writeOutcome(w, http.StatusOK, lavrequest.OutcomeDone, "")
			}
			withFleet(t, respond, func(t *testing.T, f *fleet) {
				status, err := f.sendOrder(t, lavclient.Call{Key: "k"})
				lavassert.NoError(t, err)
				lavassert.Equal(t, "status", status, http.StatusOK)
				lavassert.Equal(t, "calls", len(f.calls), 2)
			})
		})
	}
}

// TestAnswerOfNoStatusIsNoAnswer guards against an answer whose status is none.
func TestAnswerOfNoStatusIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, lavfake.AnswersOfNoStatus(lavrequest.HeaderOutcome+": Done\r\n"))
}

// TestAnswerOfNoFieldNameIsNoAnswer guards against an answer in whose head a name can't be that of a field.
func TestAnswerOfNoFieldNameIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, lavfake.AnswersOfNoFieldName(lavrequest.HeaderOutcome+": Done\r\n"))
}
