package lavfront

import (
	"net/http"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstream"
)

// headerLastEvent names the number of answer tokens that a caller has.
const headerLastEvent = "Last-Event-ID"

// resume goes on with a stream that the caller lost, from this or another
// host. Whatever fails, the prompt itself may have run.
func (f *Front) resume(w http.ResponseWriter, r *http.Request) {
	token, offset, err := f.readResume(r)
	if err != nil {
		failureOf(err, lavrequest.OutcomeUnknown).unknown().write(w)
		return
	}
	p := &prompt{
		stream: true,
		request: &lavrequest.Request{
			ID: token.Request, Customer: token.Customer, Model: token.Model,
			PromptTokens: token.PromptTokens, Arrived: token.Arrived, Deadline: token.Deadline,
		},
	}
	w.Header().Set(lavrequest.HeaderRequest, string(p.request.ID))
	out := f.newStreamWriter(r.Context(), w, p, shapeName(token.ResponseFormat))
	err = f.parts.Relay.Resume(r.Context(), token, f.parts.Endpoints.Snapshot(), offset, f.parts.HandOver, out.piece)
	out.end(err, lavrequest.OutcomeUnknown)
}

func (f *Front) readResume(r *http.Request) (*lavstream.Token, int, error) {
	customer, err := f.customer(r)
	if err != nil {
		return nil, 0, err
	}
	token, err := f.parts.Signer().Verify(r.Header.Get(lavrequest.HeaderResume), customer.Name, time.Now())
	if err != nil {
		return nil, 0, err
	}
	if _, ok := shapes[shapeName(token.ResponseFormat)]; !ok {
		return nil, 0, lavstream.ErrInvalidToken
	}
	text := r.Header.Get(headerLastEvent)
	if text == "" {
		return token, 0, nil
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset < 0 {
		return nil, 0, badRequest(headerLastEvent + " must be the number of tokens that the caller has")
	}
	return token, offset, nil
}
