package lavfront

import (
	"net/http"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstream"
)

// headerLastEvent is the request header that holds the number of answer tokens that
// the caller has received.
const headerLastEvent = "Last-Event-ID"

// handleResume continues a stream whose connection to the caller was lost. The
// stream may have been relayed by this host or by another one. The outcome of every
// failure is Unknown, because the prompt itself may have run.
func (f *Front) handleResume(w http.ResponseWriter, r *http.Request) {
	token, offset, err := f.readResumeRequest(r)
	if err != nil {
		failureOf(err, lavrequest.OutcomeUnknown).withUnknownOutcome().write(w)
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
	out := f.newStreamWriter(r.Context(), w, p, formatID(token.ResponseFormat))
	err = f.config.Relay.Resume(r.Context(), token, f.config.Endpoints.Snapshot(), offset, f.config.HandOver, out.writePiece)
	out.finish(err, lavrequest.OutcomeUnknown)
}

func (f *Front) readResumeRequest(r *http.Request) (*lavstream.Token, int, error) {
	customer, err := f.authenticate(r)
	if err != nil {
		return nil, 0, err
	}
	token, err := f.config.Signer().Verify(r.Header.Get(lavrequest.HeaderResume), customer.Name, time.Now())
	if err != nil {
		return nil, 0, err
	}
	if _, ok := formats[formatID(token.ResponseFormat)]; !ok {
		return nil, 0, lavstream.ErrInvalidToken
	}
	lastEvent := r.Header.Get(headerLastEvent)
	if lastEvent == "" {
		return token, 0, nil
	}
	offset, err := strconv.Atoi(lastEvent)
	if err != nil || offset < 0 {
		return nil, 0, badRequest(headerLastEvent + " must be the number of tokens that the caller has")
	}
	return token, offset, nil
}
