package lavfake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/cockroachdb/errors"
)

// Handler returns the engine's HTTP interface. While the engine is down, it
// closes every connection.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.httpSubmit)
	mux.HandleFunc("GET /v1/completions/{id}", e.httpResume)
	mux.HandleFunc("DELETE /v1/completions/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.cancel(lavrequest.ID(r.PathValue("id")))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { respondJSON(w, e.visibleReport(), nil) })
	mux.HandleFunc("GET /events", e.httpEvents)
	mux.HandleFunc("PUT /reservations/{id}", e.httpReserve)
	mux.HandleFunc("DELETE /reservations/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.release(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /prefill", e.httpPrefill)
	mux.HandleFunc("GET /checkpoints/{name}", e.httpExport)
	mux.HandleFunc("POST /checkpoints", e.httpImport)
	mux.HandleFunc("PUT /order", e.httpOrder)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDown() || !e.acceptsConnection(r.RemoteAddr) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(lavengine.HeaderIncarnation, string(e.currentIncarnation()))
		mux.ServeHTTP(w, r)
	})
}

// currentIncarnation returns the engine's incarnation.
func (e *Engine) currentIncarnation() lavengine.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// acceptsConnection returns false if the connection was first used under an
// earlier incarnation of the engine. A real process loses its connections when
// it dies, so such a connection must be closed.
func (e *Engine) acceptsConnection(connection string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	firstIncarnation, known := e.connectionIncarnations[connection]
	if known && firstIncarnation != e.incarnation {
		delete(e.connectionIncarnations, connection)
		return false
	}
	e.connectionIncarnations[connection] = e.incarnation
	return true
}

// decode parses a JSON request body. If the body is invalid, it responds with
// status 400 and returns false.
func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return body, false
	}
	return body, true
}

// respondJSON writes body as JSON, or the HTTP status that corresponds to err.
// If the engine crashed, it closes the connection.
func respondJSON(w http.ResponseWriter, body any, err error) {
	if errors.Is(err, lavengine.ErrBroken) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, lavengine.ErrGone):
		return http.StatusNotFound
	case errors.Is(err, lavengine.ErrRefused):
		return http.StatusTooManyRequests
	case errors.Is(err, lavengine.ErrFenced):
		return http.StatusPreconditionFailed
	case errors.Is(err, errInvalidState):
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}

func (e *Engine) httpSubmit(w http.ResponseWriter, r *http.Request) {
	sub, ok := decode[lavengine.Submission](w, r)
	if !ok {
		return
	}
	s, err := e.submit(sub)
	if err != nil {
		respondJSON(w, nil, err)
		return
	}
	e.writeStream(w, r, s, sub.Offset)
}

func (e *Engine) httpResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.Header.Get(lavengine.HeaderLastEventID))
	if err != nil || offset < 0 {
		http.Error(w, "the Last-Event-ID header must be a non-negative token offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.removeExpired(time.Now())
	s := e.streams[lavrequest.ID(r.PathValue("id"))]
	known := s != nil && !s.prefillOnly && string(s.incarnation) == r.Header.Get(lavengine.HeaderIncarnation)
	if known {
		e.counts.Resumed++
	}
	e.mu.Unlock()
	if !known {
		respondJSON(w, nil, lavengine.ErrGone)
		return
	}
	e.writeStream(w, r, s, offset)
}

// writeStream sends the answer from offset until the answer ends or the engine
// dies. While no tokens arrive, it sends an SSE comment at each heartbeat so
// that the client can distinguish a waiting connection from a lost one.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(lavengine.HeaderIncarnation, string(s.incarnation))
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for first := true; first || offset < s.answerTokens; first = false {
		written, ok := e.awaitProgress(r, s, offset)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		event := []byte(":\n\n")
		if written > offset || written == s.answerTokens {
			event = e.encodeEvent(s, offset, written)
		}
		if _, err := w.Write(append(e.foreignBytes(s, offset), event...)); err != nil {
			return
		}
		_ = controller.Flush()
		offset = written
	}
}

// awaitProgress is awaitTokens, but returns at once if offset is already at the
// end of the answer.
func (e *Engine) awaitProgress(r *http.Request, s *stream, offset int) (int, bool) {
	if offset >= s.answerTokens {
		return s.answerTokens, true
	}
	return e.awaitTokens(r.Context(), s, offset)
}

// encodeEvent encodes the tokens in the range [from, to) of the answer as a
// server-sent event.
func (e *Engine) encodeEvent(s *stream, from, to int) []byte {
	event, err := lavengine.AppendEvent(nil, s.submission.Model, lavengine.Frame{
		ID:          s.submission.ID,
		Incarnation: s.incarnation,
		Offset:      from,
		Tokens:      to - from,
		Text:        s.answerRange(from, to),
		Final:       to == s.answerTokens,
		Finish:      s.finishReason(),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return event
}

func (e *Engine) httpEvents(w http.ResponseWriter, r *http.Request) {
	afterNumber, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(afterNumber, time.Now())
	e.mu.Unlock()
	respondJSON(w, events, nil)
}

func (e *Engine) httpReserve(w http.ResponseWriter, r *http.Request) {
	if reservation, ok := decode[lavengine.Reservation](w, r); ok {
		respondJSON(w, struct{}{}, e.reserve(reservation))
	}
}

func (e *Engine) httpPrefill(w http.ResponseWriter, r *http.Request) {
	body, ok := decode[lavengine.PrefillBody](w, r)
	if !ok {
		return
	}
	name, err := e.prefill(r.Context(), body)
	respondJSON(w, lavengine.CheckpointBody{Checkpoint: name}, err)
}

func (e *Engine) httpExport(w http.ResponseWriter, r *http.Request) {
	state, err := e.exportCheckpoint(r.PathValue("name"))
	respondJSON(w, lavengine.CheckpointBody{Checkpoint: r.PathValue("name"), State: state}, err)
}

func (e *Engine) httpImport(w http.ResponseWriter, r *http.Request) {
	body, ok := decode[lavengine.CheckpointBody](w, r)
	if !ok {
		return
	}
	name, err := e.importCheckpoint(body.State)
	respondJSON(w, lavengine.CheckpointBody{Checkpoint: name}, err)
}

func (e *Engine) httpOrder(w http.ResponseWriter, r *http.Request) {
	if o, ok := decode[lavengine.Order](w, r); ok {
		report, err := e.applyOrder(o)
		respondJSON(w, report, err)
	}
}
