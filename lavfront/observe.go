package lavfront

import (
	"context"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavburn"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// observedRequestKey is the context key of the observedWriter of a request.
type observedRequestKey struct{}

// observedWriter is a response writer that measures one request for the burn
// report, which shows how fast the error budgets of the service-level objectives
// are used up.
type observedWriter struct {
	http.ResponseWriter
	started time.Time
	// firstByte is the time when the first byte of the response body was
	// written.
	firstByte time.Time
	// sample is nil until the request has been authenticated and validated.
	// Requests that fail before that are not counted.
	sample *lavburn.Sample
}

// observeRequest wraps w in an observedWriter and returns it with a request whose
// context holds it.
func observeRequest(w http.ResponseWriter, r *http.Request) (*observedWriter, *http.Request) {
	o := &observedWriter{ResponseWriter: w, started: time.Now()}
	return o, r.WithContext(context.WithValue(r.Context(), observedRequestKey{}, o))
}

// classify sets the customer, kind and length class of the observed request, so
// that the request is counted.
func classify(ctx context.Context, customer string, kind lavrequest.Kind, class lavrequest.LengthClass) {
	if o, ok := ctx.Value(observedRequestKey{}).(*observedWriter); ok {
		o.sample = &lavburn.Sample{Customer: customer, Kind: kind, Class: class}
	}
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (o *observedWriter) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// Write implements io.Writer and notes the time of the first write.
func (o *observedWriter) Write(data []byte) (int, error) {
	if o.firstByte.IsZero() {
		o.firstByte = time.Now()
	}
	return o.ResponseWriter.Write(data)
}

// recordSample passes the sample of a finished request to record. A request whose
// caller disconnected before the answer was complete is not counted.
func (o *observedWriter) recordSample(ctx context.Context, record func(now time.Time, s lavburn.Sample)) {
	if o.sample == nil || record == nil {
		return
	}
	o.sample.Answered = o.Header().Get(lavrequest.HeaderOutcome) == lavrequest.OutcomeDone.String()
	if !o.sample.Answered && ctx.Err() != nil {
		return
	}
	o.sample.FirstToken = o.firstByte.Sub(o.started)
	record(time.Now(), *o.sample)
}
