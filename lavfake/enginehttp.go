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

// Handler returns the engine's HTTP interface. An engine that is down cuts
// every connection.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.httpSubmit)
	mux.HandleFunc("GET /v1/completions/{id}", e.httpResume)
	mux.HandleFunc("DELETE /v1/completions/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.cancel(lavrequest.ID(r.PathValue("id")))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { answer(w, e.report(), nil) })
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
		if e.isDown() || !e.sameLife(r.RemoteAddr) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// sameLife reports whether a connection was opened in the engine's present
// life. One of an earlier life ended with it, as a process's connections do.
func (e *Engine) sameLife(connection string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	opened, known := e.connections[connection]
	if known && opened != e.incarnation {
		delete(e.connections, connection)
		return false
	}
	e.connections[connection] = e.incarnation
	return true
}

// decode reads a JSON body, or answers that it is bad.
func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return body, false
	}
	return body, true
}

// answer writes a JSON body, or the status of err. A death cuts the connection.
func answer(w http.ResponseWriter, body any, err error) {
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
	case errors.Is(err, errState):
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
		answer(w, nil, err)
		return
	}
	e.write(w, r, s, sub.Offset)
}

func (e *Engine) httpResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.Header.Get(lavengine.HeaderLastEventID))
	if err != nil || offset < 0 {
		http.Error(w, "bad offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.lapse(time.Now())
	s := e.streams[lavrequest.ID(r.PathValue("id"))]
	known := s != nil && !s.prefill && string(s.incarnation) == r.Header.Get(lavengine.HeaderIncarnation)
	if known {
		e.counts.Resumed++
	}
	e.mu.Unlock()
	if !known {
		answer(w, nil, lavengine.ErrGone)
		return
	}
	e.write(w, r, s, offset)
}

// write sends the answer from offset on, until it ends or the engine dies. A
// comment keeps a waiting connection known to be alive.
func (e *Engine) write(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(lavengine.HeaderIncarnation, string(s.incarnation))
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for first := true; first || offset < s.limit; first = false {
		written, alive := e.wait(r, s, offset)
		if !alive {
			panic(http.ErrAbortHandler)
		}
		event := []byte(":\n\n")
		if written > offset || written == s.limit {
			event = e.event(s, offset, written)
		}
		if _, err := w.Write(event); err != nil {
			return
		}
		_ = flush.Flush()
		offset = written
	}
}

// wait returns at once if the answer is already at its end.
func (e *Engine) wait(r *http.Request, s *stream, offset int) (int, bool) {
	if offset >= s.limit {
		return s.limit, true
	}
	return e.next(r.Context(), s, offset)
}

// event is the part of the answer from one offset to another.
func (e *Engine) event(s *stream, from, to int) []byte {
	event, err := lavengine.AppendEvent(nil, s.submission.Model, lavengine.Frame{
		ID:          s.submission.ID,
		Incarnation: s.incarnation,
		Offset:      from,
		Tokens:      to - from,
		Text:        s.answer(from, to),
		Final:       to == s.limit,
		Finish:      s.finish(),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return event
}

func (e *Engine) httpEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.cache.after(after, time.Now())
	e.mu.Unlock()
	answer(w, events, nil)
}

func (e *Engine) httpReserve(w http.ResponseWriter, r *http.Request) {
	if want, ok := decode[lavengine.Reservation](w, r); ok {
		answer(w, struct{}{}, e.reserve(want))
	}
}

func (e *Engine) httpPrefill(w http.ResponseWriter, r *http.Request) {
	body, ok := decode[lavengine.PrefillBody](w, r)
	if !ok {
		return
	}
	name, err := e.prefill(r.Context(), body)
	answer(w, lavengine.CheckpointBody{Checkpoint: name}, err)
}

func (e *Engine) httpExport(w http.ResponseWriter, r *http.Request) {
	state, err := e.export(r.PathValue("name"))
	answer(w, lavengine.CheckpointBody{Checkpoint: r.PathValue("name"), State: state}, err)
}

func (e *Engine) httpImport(w http.ResponseWriter, r *http.Request) {
	body, ok := decode[lavengine.CheckpointBody](w, r)
	if !ok {
		return
	}
	name, err := e.load(body.State)
	answer(w, lavengine.CheckpointBody{Checkpoint: name}, err)
}

func (e *Engine) httpOrder(w http.ResponseWriter, r *http.Request) {
	if o, ok := decode[lavengine.Order](w, r); ok {
		report, err := e.obey(o)
		answer(w, report, err)
	}
}
