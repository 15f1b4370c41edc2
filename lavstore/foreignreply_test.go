package lavstore_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavstore"
)

// TestForeignReplyIsLost guards against a reply of something else than the store that counts as an empty store, as
// other keys, or as a lease.
func TestForeignReplyIsLost(t *testing.T) {
	calls := []struct {
		name string
		lost error
		call func(ctx context.Context, s lavstore.Store) error
	}{
		{"Get", lavstore.ErrUnavailable, func(ctx context.Context, s lavstore.Store) error { _, err := s.Get(ctx, "a/x"); return err }},
		{"List", lavstore.ErrUnavailable, func(ctx context.Context, s lavstore.Store) error { _, _, err := s.List(ctx, "a/"); return err }},
		{"Watch", lavstore.ErrUnavailable, func(ctx context.Context, s lavstore.Store) error {
			_, _, err := s.Watch(ctx, "a/", 1, time.Second)
			return err
		}},
		{"Grant", lavstore.ErrOutcomeUnknown, func(ctx context.Context, s lavstore.Store) error { _, err := s.Grant(ctx, time.Minute); return err }},
	}
	replies := []struct {
		name, index, body string
		status            int
	}{
		{"NoIndex", "", "[]", http.StatusOK},
		{"NotFoundPage", "", "<html>not found</html>", http.StatusNotFound},
		{"IndexOfNoNumber", "x", "[]", http.StatusOK},
		{"Page", "", "<html>ok</html>", http.StatusOK},
		{"PageWithIndex", "7", "<html>ok</html>", http.StatusOK},
		{"Object", "7", "{}", http.StatusOK},
		{"OtherKeys", "7", `[{"Key":"b/x","ModifyIndex":3}]`, http.StatusOK},
		{"Half", "7", `[{"Key":"a/x"`, http.StatusOK},
	}
	for _, c := range calls {
		for _, r := range replies {
			if c.name == "Grant" && r.status == http.StatusNotFound {
				// It grants nothing in any case.
				continue
			}
			t.Run(c.name+r.name, func(t *testing.T) {
				respond := func(http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						if r.index != "" {
							w.Header().Set("X-Consul-Index", r.index)
						}
						w.WriteHeader(r.status)
						_, _ = io.WriteString(w, r.body)
					})
				}
				withHTTPStore(t, respond, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) {
					lavassert.ErrorIs(t, c.call(t.Context(), s), c.lost)
				})
			})
		}
	}
}

// TestForeignReplyRenewsNoLease guards against a success of something else than the store that counts as the renewal or the end of a lease.
func TestForeignReplyRenewsNoLease(t *testing.T) {
	const lease lavstore.LeaseID = "l-1"
	calls := []struct {
		name, reply string
		call        func(ctx context.Context, s lavstore.Store) error
	}{
		{"Renew", `[{"ID":"l-1","TTL":"15s","Behavior":"delete"}]`, func(ctx context.Context, s lavstore.Store) error { return s.Renew(ctx, lease) }},
		{"Revoke", "true\n", func(ctx context.Context, s lavstore.Store) error { return s.Revoke(ctx, lease) }},
	}
	foreign := map[string]string{
		"Empty": "", "Page": "<html>ok</html>", "Null": "null", "Object": "{}", "List": "[]", "Half": `[{"ID":"l-1"`,
		"OtherLease": `[{"ID":"l-2"}]`, "Grant": `{"ID":"l-1"}`, "Entries": `[{"Key":"a/x","ModifyIndex":3}]`,
	}
	for _, c := range calls {
		t.Run(c.name, func(t *testing.T) {
			assertReply(t, c.reply, func(t *testing.T, s lavstore.Store) { lavassert.NoError(t, c.call(t.Context(), s)) })
			for name, body := range foreign {
				t.Run(name, func(t *testing.T) {
					assertReply(t, body, func(t *testing.T, s lavstore.Store) {
						lavassert.ErrorIs(t, c.call(t.Context(), s), lavstore.ErrOutcomeUnknown)
					})
				})
			}
		})
	}
}

// assertReply runs a check with a store that answers each call with a body.
func assertReply(t *testing.T, body string, check func(t *testing.T, s lavstore.Store)) {
	t.Helper()
	respond := func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	}
	withHTTPStore(t, respond, func(t *testing.T, _ *lavfake.Store, s lavstore.Store) { check(t, s) })
}
