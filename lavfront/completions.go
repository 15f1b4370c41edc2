package lavfront

import (
	"context"
	"net/http"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstream"
)

func (f *Front) handleCompletions(w http.ResponseWriter, r *http.Request) {
	f.handlePrompt(w, r, formatCompletion)
}

func (f *Front) handleChat(w http.ResponseWriter, r *http.Request) {
	f.handlePrompt(w, r, formatChat)
}

// handlePrompt runs one prompt and writes its answer in the given format.
func (f *Front) handlePrompt(w http.ResponseWriter, r *http.Request, format formatID) {
	customer, err := f.authenticate(r)
	if err != nil {
		failureOf(err, lavrequest.OutcomeNotRun).write(w)
		return
	}
	p, err := f.readPrompt(w, r, customer.Name)
	if err != nil {
		failureOf(err, lavrequest.OutcomeNotRun).write(w)
		return
	}
	classify(r.Context(), p.request.Customer, p.request.Kind, p.request.Class())
	ctx, cancel := context.WithDeadline(r.Context(), p.request.Deadline)
	defer cancel()
	w.Header().Set(lavrequest.HeaderRequest, string(p.request.ID))
	if p.stream {
		f.respondStreaming(ctx, w, p, format)
	} else {
		f.respondComplete(ctx, w, p, format)
	}
}

// respondStreaming writes the answer to the caller while it is generated. The HTTP
// status is sent with the first frame, so the outcome of the request is sent as
// a trailer.
func (f *Front) respondStreaming(ctx context.Context, w http.ResponseWriter, p *prompt, format formatID) {
	out := f.newStreamWriter(ctx, w, p, format)
	attempts, err := f.runPrompt(ctx, p, true, out.writePiece)
	out.finish(err, attempts.FailureOutcome())
}

// respondComplete collects the answer and writes it once it is complete.
func (f *Front) respondComplete(ctx context.Context, w http.ResponseWriter, p *prompt, format formatID) {
	var text []byte
	var last lavengine.Frame
	attempts, err := f.runPrompt(ctx, p, false, func(piece lavstream.EndpointFrame) error {
		text = append(text, piece.Text...)
		last = piece.Frame
		return nil
	})
	if err != nil {
		failureOf(err, attempts.FailureOutcome()).write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(lavrequest.HeaderOutcome, lavrequest.OutcomeDone.String())
	_, _ = w.Write(formats[format].encodeResponse(p, string(text), last))
}

// runPrompt runs a prompt on one engine, or on a gang of engines if no single
// engine has enough memory for it.
func (f *Front) runPrompt(ctx context.Context, p *prompt, resumable bool, emit lavstream.EmitFunc) (lavretry.Attempts, error) {
	job := &lavstream.Job{Request: p.request, Text: p.text, Resumable: resumable, Emit: emit}
	if f.config.Gang != nil && f.config.Gang.NeedsGang(p.request) {
		return f.config.Gang.Run(ctx, job)
	}
	return f.config.Relay.Run(ctx, job)
}
