//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings of a small deployment state them.
const (
	historyTime  = 20 * time.Second
	maxPageItems = 500
	maxPageBytes = 1 << 20
	maxWatchWait = 30 * time.Second
)

// item is an entry of the store or its removal.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      uint64 `json:"lease"`
	Removed    bool   `json:"removed,omitempty"`

	at time.Time
}

// lease is a lease and its end unless it is renewed.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a linearizable key-value store in memory that keeps its history for historyTime.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	compacted uint64
	leases    map[uint64]lease
	lastLease uint64
	changed   chan struct{}
	// watchedAt is when each host last called to wait for changes.
	watchedAt map[string]time.Time
}

func newStore() *store {
	return &store{
		revision:  1,
		items:     make(map[string]item),
		leases:    make(map[uint64]lease),
		changed:   make(chan struct{}),
		watchedAt: make(map[string]time.Time),
	}
}

// put writes an entry as operators and endpoints do, and returns when it was acknowledged.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
	return time.Now()
}

// delete removes an entry and returns when that was acknowledged.
func (s *store) delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	return time.Now()
}

// watchers returns the hosts that have waited for changes since a time.
func (s *store) watchers(since time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for host, at := range s.watchedAt {
		if at.After(since) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: lease}
	if before, ok := s.items[key]; ok {
		i.CreatedRev = before.CreatedRev
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

// record adds a change to the history and wakes the pending watches.
func (s *store) record(i item) {
	i.at = time.Now()
	s.history = append(s.history, i)
	for len(s.history) > 0 && i.at.Sub(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// handler serves the store to one host.
func (s *store) handler(host string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, body := s.handle(host, r)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if body != nil {
			_ = json.NewEncoder(w).Encode(body)
		}
	})
}

func (s *store) handle(host string, r *http.Request) (int, any) {
	path, query := r.URL.Path, r.URL.Query()
	switch {
	case path == wire.PathRange:
		return s.list(query.Get(wire.Prefix), query.Get("after"))
	case path == wire.PathWatch:
		return s.watch(host, r)
	case path == wire.PathTransaction:
		return s.transact(r)
	case path == wire.PathLease:
		return s.grant(r)
	case strings.HasPrefix(path, wire.PathRenew):
		return s.renew(leaseOf(path))
	case strings.HasPrefix(path, wire.PathRevoke):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(leaseOf(path))
		return http.StatusOK, struct{}{}
	default:
		return http.StatusNotFound, nil
	}
}

func leaseOf(path string) uint64 {
	id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	return id
}

// list returns one page of the entries under a prefix.
func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, size := []item{}, 0
	for _, key := range keys {
		i := s.items[key]
		if len(page) == maxPageItems || len(page) > 0 && size+len(i.Value) > maxPageBytes {
			break
		}
		page, size = append(page, i), size+len(i.Value)
	}
	return http.StatusOK, map[string]any{"items": page, "truncated": len(page) < len(keys), "current_rev": s.revision}
}

// watch waits for the changes under a prefix after a revision, and returns all of them.
func (s *store) watch(host string, r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire()
		if wait > 0 {
			s.watchedAt[host] = time.Now()
		}
		if after < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get(wire.Prefix)) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		reply := map[string]any{"events": events, "current_rev": revision}
		if len(events) > 0 {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, reply
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// transaction is the body of a call that makes all of its changes or none.
type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected"`
	Writes []item   `json:"writes"`
	Delete []string `json:"delete"`
}

func (s *store) transact(r *http.Request) (int, any) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, wire.PrefixOperator) || strings.HasPrefix(w.Key, wire.PrefixEndpoints) {
			return http.StatusForbidden, nil
		}
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, w := range t.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Delete {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return http.StatusBadRequest, nil
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTL}
}

func (s *store) renew(id uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
}
