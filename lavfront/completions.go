package lavfront

import (
	"context"
	"net/http"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstream"
)

func (f *Front) completions(w http.ResponseWriter, r *http.Request) {
	f.prompt(w, r, shapeCompletion)
}

func (f *Front) chat(w http.ResponseWriter, r *http.Request) {
	f.prompt(w, r, shapeChat)
}

// prompt runs one prompt and writes its answer in that shape.
func (f *Front) prompt(w http.ResponseWriter, r *http.Request, name shapeName) {
	customer, err := f.customer(r)
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
		f.stream(ctx, w, p, name)
	} else {
		f.whole(ctx, w, p, name)
	}
}

// stream writes the answer as it comes. The first frame decides the status;
// from then on the outcome is a trailer.
func (f *Front) stream(ctx context.Context, w http.ResponseWriter, p *prompt, name shapeName) {
	out := f.newStreamWriter(ctx, w, p, name)
	attempts, err := f.run(ctx, p, true, out.piece)
	out.end(err, attempts.FailureOutcome())
}

// whole writes the answer at its end.
func (f *Front) whole(ctx context.Context, w http.ResponseWriter, p *prompt, name shapeName) {
	var text []byte
	var last lavengine.Frame
	attempts, err := f.run(ctx, p, false, func(piece lavstream.Piece) error {
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
	_, _ = w.Write(shapes[name].whole(p, string(text), last))
}

// run runs a prompt at one engine, or at a gang of engines if it is longer
// than the memory of any.
func (f *Front) run(ctx context.Context, p *prompt, resumable bool, emit lavstream.Emit) (lavretry.Attempts, error) {
	job := &lavstream.Job{Request: p.request, Text: p.text, Resumable: resumable, Emit: emit}
	if f.parts.Gang != nil && f.parts.Gang.NeedsGang(p.request) {
		return f.parts.Gang.Run(ctx, job)
	}
	return f.parts.Relay.Run(ctx, job)
}
