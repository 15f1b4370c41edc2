package lavstore_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavstore"
)

const storeAddr = "10.0.0.2:8500"

// withHTTPStore runs body with an in-memory store and an HTTP client connected
// to it.
func withHTTPStore(t *testing.T, wrap func(http.Handler) http.Handler, body func(t *testing.T, fake *lavfake.Store, s lavstore.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
			return lavfakenet.Link{Delay: time.Millisecond}
		})
		l, err := n.Host(lavfakenet.HostInfo{Host: "store"}).Listen("tcp", storeAddr)
		lavassert.NoError(t, err)
		fake := lavfake.NewStore()
		handler := fake.Handler()
		if wrap != nil {
			handler = wrap(handler)
		}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: n.Host(lavfakenet.HostInfo{Host: "entry"}).DialContext}
		body(t, fake, lavstore.NewHTTP(&http.Client{Transport: transport}, "http://"+storeAddr))
		transport.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
	})
}

// mustSwap writes a value by compare-and-swap, which must succeed, and returns
// its revision.
func mustSwap(t *testing.T, s lavstore.Store, key string, expected lavstore.Revision, value string) lavstore.Revision {
	t.Helper()
	rev, err := s.CompareAndSwap(t.Context(), key, expected, []byte(value), "")
	lavassert.NoError(t, err)
	return rev
}

// TestTruncatedReplyOfWrite checks replies that end with their connection too early.
func TestTruncatedReplyOfWrite(t *testing.T) {
	truncate := func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ntr")
			_ = c.Close()
		})
	}
	tests := []struct {
		name  string
		write func(ctx context.Context, s lavstore.Store) error
	}{
		{"CompareAndSwap", func(ctx context.Context, s lavstore.Store) error {
			_, err := s.CompareAndSwap(ctx, "k", 0, nil, "")
			return err
		}},
		{"Delete", func(ctx context.Context, s lavstore.Store) error { return s.Delete(ctx, "k", 1) }},
		{"Grant", func(ctx context.Context, s lavstore.Store) error {
			_, err := s.Grant(ctx, time.Minute)
			return err
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withHTTPStore(t, truncate, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
				lavassert.ErrorIs(t, test.write(t.Context(), s), lavstore.ErrOutcomeUnknown)
			})
		})
	}
}

func TestHTTP(t *testing.T) {
	t.Run("keys with special characters are stored unchanged", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
			for _, key := range []string{"a/b", "a b", "a%2Fb", "a?b=c", "a#b", "ü", "a+b", "a&b"} {
				mustSwap(t, s, key, 0, key)
				e, err := s.Get(t.Context(), key)
				lavassert.NoError(t, err)
				lavassert.Equal(t, "key", e.Key, key)
				lavassert.Equal(t, "value", string(e.Value), key)
			}
		})
	})
	t.Run("an absent key and a prefix without entries", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
			_, err := s.Get(t.Context(), "none")
			lavassert.ErrorIs(t, err, lavstore.ErrNotFound)
			entries, _, err := s.List(t.Context(), "none/")
			lavassert.NoError(t, err)
			lavassert.Equal(t, "entries", len(entries), 0)
		})
	})
	t.Run("a swap of an outdated revision is a conflict", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
			first := mustSwap(t, s, "k", 0, "1")
			second := mustSwap(t, s, "k", first, "2")
			_, err := s.CompareAndSwap(t.Context(), "k", first, []byte("3"), "")
			lavassert.ErrorIs(t, err, lavstore.ErrConflict)
			lavassert.ErrorIs(t, s.Delete(t.Context(), "k", first), lavstore.ErrConflict)
			lavassert.NoError(t, s.Delete(t.Context(), "k", second))
		})
	})
	t.Run("the revision is read back if the service does not return it", func(t *testing.T) {
		hideRevision := func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPut {
					w = &withoutIndex{w}
				}
				next.ServeHTTP(w, r)
			})
		}
		withHTTPStore(t, hideRevision, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
			mustSwap(t, s, "k", mustSwap(t, s, "k", 0, "1"), "2")
		})
	})
	t.Run("a watch returns when a key is deleted", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, fake *lavfake.Store, s lavstore.Store) {
			rev := mustSwap(t, s, "m/1", 0, "x")
			mustSwap(t, s, "m/2", 0, "y")
			_, after, err := s.Watch(t.Context(), "m/", 0, time.Minute)
			lavassert.NoError(t, err)
			// The key is deleted before the next watch begins.
			lavassert.NoError(t, fake.Delete(t.Context(), "m/1", rev))
			began := time.Now()
			entries, _, err := s.Watch(t.Context(), "m/", after, time.Minute)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "entries", len(entries), 1)
			lavassert.AtMost(t, "time", time.Since(began), time.Second)
		})
	})
	t.Run("a watch without a change ends after its wait time", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
			mustSwap(t, s, "other", 0, "x")
			_, after, err := s.Watch(t.Context(), "m/", 0, time.Minute)
			lavassert.NoError(t, err)
			began := time.Now()
			_, again, err := s.Watch(t.Context(), "m/", after, time.Minute)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "revision", again, after)
			lavassert.AtLeast(t, "time", time.Since(began), time.Minute)
		})
	})
	t.Run("a store restored from an older backup returns its lower revision", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
			mustSwap(t, s, "m/1", 0, "x")
			_, revision, err := s.Watch(t.Context(), "m/", 1000, time.Second)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "revision", revision, 1)
		})
	})
	t.Run("the outcome of a lost reply is unknown until the key is read back", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, fake *lavfake.Store, s lavstore.Store) {
			fake.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			_, err := s.CompareAndSwap(t.Context(), "k", 0, []byte("1"), "")
			lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
			_, writes := fake.Calls()
			lavassert.Equal(t, "writes that reached the store", writes, 1)
			same := func(e lavstore.Entry) bool { return string(e.Value) == "2" }
			_, err = lavstore.PutVerified(t.Context(), s, "k2", 0, []byte("2"), "", same)
			lavassert.NoError(t, err)
		})
	})
	t.Run("a lease expires if the reply to its grant is lost", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, fake *lavfake.Store, s lavstore.Store) {
			fake.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			_, err := s.Grant(t.Context(), 10*time.Second)
			lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
			fake.SetFaults(lavfake.StoreFaults{})
			lavassert.Equal(t, "leases", fake.Leases(), 1)
			time.Sleep(11 * time.Second)
			lavassert.Equal(t, "leases", fake.Leases(), 0)
		})
	})
	t.Run("a write under a lease that has ended is refused", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
			lease, err := s.Grant(t.Context(), 10*time.Second)
			lavassert.NoError(t, err)
			lavassert.NoError(t, s.Revoke(t.Context(), lease))
			_, err = s.CompareAndSwap(t.Context(), "k", 0, nil, lease)
			lavassert.ErrorIs(t, err, lavstore.ErrLeaseGone)
			lavassert.ErrorIs(t, s.Renew(t.Context(), lease), lavstore.ErrLeaseGone)
		})
	})
	t.Run("a write that the store refuses is not executed", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, fake *lavfake.Store, s lavstore.Store) {
			fake.SetFaults(lavfake.StoreFaults{Down: true})
			_, err := s.CompareAndSwap(t.Context(), "k", 0, nil, "")
			lavassert.ErrorIs(t, err, lavstore.ErrUnavailable)
		})
	})
	t.Run("a value over 1 MB is not sent", func(t *testing.T) {
		withHTTPStore(t, nil, func(t *testing.T, fake *lavfake.Store, s lavstore.Store) {
			_, err := s.CompareAndSwap(t.Context(), "k", 0, bytes.Repeat([]byte("x"), 1<<20+1), "")
			lavassert.True(t, "refused", err != nil && strings.Contains(err.Error(), "over"))
			_, writes := fake.Calls()
			lavassert.Equal(t, "writes", writes, 0)
		})
	})
	t.Run("a write goes to the next address only if the first one cannot have executed it", func(t *testing.T) {
		fake := lavfake.NewStore()
		unreachable, err := net.Listen("tcp", "127.0.0.1:0")
		lavassert.NoError(t, err)
		lavassert.NoError(t, unreachable.Close())
		l, err := net.Listen("tcp", "127.0.0.1:0")
		lavassert.NoError(t, err)
		server := &http.Server{Handler: fake.Handler()}
		go func() { _ = server.Serve(l) }()
		defer func() { _ = server.Close() }()
		s := lavstore.NewHTTP(&http.Client{}, "http://"+unreachable.Addr().String(), "http://"+l.Addr().String())
		mustSwap(t, s, "k", 0, "1")
		fake.SetFaults(lavfake.StoreFaults{LoseReplies: true})
		duplicated := lavstore.NewHTTP(&http.Client{}, "http://"+l.Addr().String(), "http://"+l.Addr().String())
		_, err = duplicated.CompareAndSwap(t.Context(), "k2", 0, nil, "")
		lavassert.ErrorIs(t, err, lavstore.ErrOutcomeUnknown)
		_, writes := fake.Calls()
		lavassert.Equal(t, "writes", writes, 2)
	})
}

// withoutIndex removes the revision header from a response.
type withoutIndex struct{ http.ResponseWriter }

func (w *withoutIndex) Write(text []byte) (int, error) {
	w.Header().Del("X-Consul-Index")
	return w.ResponseWriter.Write(text)
}
