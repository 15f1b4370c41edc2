package lavfake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// defaultWatchWait is how long a watch waits if the request specifies no
// duration.
const defaultWatchWait = 5 * time.Minute

// kvPair is the JSON form of an entry.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex lavstore.Revision
	Session     lavstore.LeaseID `json:",omitempty"`
}

// session is the JSON encoding of a lease.
type session struct{ ID lavstore.LeaseID }

// Handler returns the store's HTTP interface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.httpRead)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.httpPut)
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.httpDelete)
	mux.HandleFunc("PUT /v1/session/create", s.httpGrant)
	mux.HandleFunc("PUT /v1/session/renew/{id}", func(w http.ResponseWriter, r *http.Request) {
		lease := lavstore.LeaseID(r.PathValue("id"))
		s.respond(w, s.Renew(r.Context(), lease), []session{{lease}})
	})
	mux.HandleFunc("PUT /v1/session/destroy/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.respond(w, s.Revoke(r.Context(), lavstore.LeaseID(r.PathValue("id"))), true)
	})
	return mux
}

func (s *Store) httpRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	key := r.PathValue("key")
	var found []lavstore.Entry
	var revision lavstore.Revision
	var err error
	switch {
	case query.Has("index"):
		after, wait := parseWatchQuery(query.Get("index"), query.Get("wait"))
		found, revision, err = s.Watch(r.Context(), key, after, wait)
	case query.Has("recurse"):
		found, revision, err = s.List(r.Context(), key)
	default:
		var e lavstore.Entry
		e, err = s.Get(r.Context(), key)
		found, revision = []lavstore.Entry{e}, e.Revision
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(uint64(revision), 10))
	if err == nil && len(found) == 0 {
		err = lavstore.ErrNotFound
	}
	pairs := make([]kvPair, 0, len(found))
	for _, e := range found {
		pairs = append(pairs, kvPair{Key: e.Key, Value: e.Value, ModifyIndex: e.Revision, Session: e.Lease})
	}
	s.respond(w, err, pairs)
}

func parseWatchQuery(index, wait string) (lavstore.Revision, time.Duration) {
	after, _ := strconv.ParseUint(index, 10, 64)
	d, err := time.ParseDuration(wait)
	if err != nil {
		d = defaultWatchWait
	}
	return lavstore.Revision(after), d
}

func (s *Store) httpPut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lavstore.MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	want, _ := strconv.ParseUint(query.Get("cas"), 10, 64)
	revision, err := s.CompareAndSwap(r.Context(), r.PathValue("key"), lavstore.Revision(want), value, lavstore.LeaseID(query.Get("acquire")))
	w.Header().Set("X-Consul-Index", strconv.FormatUint(uint64(revision), 10))
	s.respondSwap(w, err)
}

func (s *Store) httpDelete(w http.ResponseWriter, r *http.Request) {
	want, _ := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	s.respondSwap(w, s.Delete(r.Context(), r.PathValue("key"), lavstore.Revision(want)))
}

// respondSwap writes the result of a conditional write. The HTTP API reports a
// conflict as the JSON value false with status 200.
func (s *Store) respondSwap(w http.ResponseWriter, err error) {
	if errors.Is(err, lavstore.ErrConflict) {
		s.respond(w, nil, false)
		return
	}
	s.respond(w, err, true)
}

func (s *Store) httpGrant(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTL string }
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := s.Grant(r.Context(), ttl)
	s.respond(w, err, session{id})
}

// respond writes body as JSON, or the HTTP status that corresponds to err. For
// ErrOutcomeUnknown it closes the connection, as if the reply were lost.
func (s *Store) respond(w http.ResponseWriter, err error, body any) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.Is(err, lavstore.ErrNotFound), errors.Is(err, lavstore.ErrLeaseGone):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, lavstore.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
