package lavfront

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavburn"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// observeHandler runs handler with an observed request and returns the recorded
// samples.
func observeHandler(ctx context.Context, handler http.HandlerFunc) []lavburn.Sample {
	var samples []lavburn.Sample
	o, r := observeRequest(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, "/", http.NoBody))
	handler(o, r)
	o.recordSample(r.Context(), func(_ time.Time, s lavburn.Sample) { samples = append(samples, s) })
	return samples
}

func TestObserve(t *testing.T) {
	respond := func(outcome lavrequest.Outcome) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			classify(r.Context(), "kiosk", lavrequest.KindReview, lavrequest.ClassLong)
			time.Sleep(3 * time.Second)
			_, _ = w.Write([]byte("first"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Second)
			w.Header().Set(lavrequest.HeaderOutcome, outcome.String())
		}
	}
	failed := lavburn.Sample{Customer: "kiosk", Kind: lavrequest.KindReview, Class: lavrequest.ClassLong, FirstToken: 3 * time.Second}
	answered := failed
	answered.Answered = true
	hungUp, hangUp := context.WithCancel(t.Context())
	hangUp()
	for _, c := range []struct {
		name    string
		ctx     context.Context
		handler http.HandlerFunc
		want    []lavburn.Sample
	}{
		{"a failed request is recorded as not answered", t.Context(), respond(lavrequest.OutcomeNotRun), []lavburn.Sample{failed}},
		{"the latency of an answered request is the time to its first byte", t.Context(), respond(lavrequest.OutcomeDone), []lavburn.Sample{answered}},
		{"a request is not recorded if its caller disconnects", hungUp, respond(lavrequest.OutcomeUnknown), nil},
		{"a request without a customer is not recorded", t.Context(), func(http.ResponseWriter, *http.Request) {}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lavassert.Equal(t, "samples", observeHandler(c.ctx, c.handler), c.want)
			})
		})
	}
}
