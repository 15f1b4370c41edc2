package lavstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavresponse"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// HTTP is a Store that calls the key-value service through its HTTP API.
type HTTP struct {
	client   *http.Client
	baseURLs []string
	// replies is what the replies that are held may take together.
	replies *lavresponse.Budget
}

// indexHeader is the response header that contains the revision of the store.
const indexHeader = "X-Consul-Index"

// keysPath begins the paths of entries.
const keysPath = "/v1/kv/"

// errForeignReply means that a reply is not the store's to this call.
var errForeignReply = errors.New("reply is none of the store to this call")

// NewHTTP returns a store that is reached at the given base URLs, tried in
// order.
func NewHTTP(client *http.Client, baseURLs ...string) *HTTP {
	return &HTTP{client: lavresponse.NewClient(client), baseURLs: baseURLs, replies: lavresponse.NewBudget(maxReplyBytes)}
}

type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex Revision
	Session     LeaseID `json:",omitempty"`
}

type session struct {
	ID       LeaseID `json:",omitempty"`
	TTL      string  `json:",omitempty"`
	Behavior string  `json:",omitempty"`
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	entries, _, err := h.read(ctx, lavstep.StoreRead, keysPath+escapePath(key), nil)
	if err != nil {
		return Entry{}, err
	}
	if len(entries) == 0 {
		return Entry{}, lavstep.Wrap(ErrNotFound, lavstep.StoreRead, key)
	}
	return entries[0], nil
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	return h.read(ctx, lavstep.StoreRead, keysPath+escapePath(prefix), url.Values{"recurse": {"true"}})
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error) {
	query := url.Values{
		"recurse": {"true"},
		"index":   {strconv.FormatUint(uint64(after), 10)},
		"wait":    {fmt.Sprintf("%dms", wait.Milliseconds())},
	}
	return h.read(ctx, lavstep.StoreWatch, keysPath+escapePath(prefix), query)
}

// CompareAndSwap implements Store.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, expected Revision, value []byte, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, lavstep.Errorf(lavstep.StoreWrite, key, "value of %d bytes is over the limit of %d bytes", len(value), MaxValueBytes)
	}
	query := url.Values{"cas": {strconv.FormatUint(uint64(expected), 10)}}
	if lease != "" {
		query.Set("acquire", string(lease))
	}
	body, header, err := h.write(ctx, http.MethodPut, keysPath+escapePath(key), query, value)
	if errors.Is(err, ErrNotFound) {
		err = ErrLeaseGone
	}
	if err != nil {
		return 0, lavstep.Wrap(err, lavstep.StoreWrite, key)
	}
	if err := decodeWritten(body); err != nil {
		return 0, lavstep.Wrap(err, lavstep.StoreWrite, key)
	}
	if revision := revisionFrom(header); revision > 0 {
		return revision, nil
	}
	return h.readRevision(ctx, key, value, lease)
}

// readRevision reads the revision of a write that the service confirmed without
// reporting the revision. If another write has come since, the revision cannot
// be determined, and the caller has to read back as after a lost reply.
func (h *HTTP) readRevision(ctx context.Context, key string, value []byte, lease LeaseID) (Revision, error) {
	e, err := h.Get(ctx, key)
	if err != nil || e.Lease != lease || !bytes.Equal(e.Value, value) {
		return 0, lavstep.Wrap(ErrOutcomeUnknown, lavstep.StoreWrite, key)
	}
	return e.Revision, nil
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, expected Revision) error {
	query := url.Values{"cas": {strconv.FormatUint(uint64(expected), 10)}}
	body, _, err := h.write(ctx, http.MethodDelete, keysPath+escapePath(key), query, nil)
	if err != nil {
		return lavstep.Wrap(err, lavstep.StoreWrite, key)
	}
	return lavstep.Wrap(decodeWritten(body), lavstep.StoreWrite, key)
}

// decodeWritten decodes the reply to a conditional write. A truncated reply doesn't say
// whether the write took effect.
func decodeWritten(body []byte) error {
	switch strings.TrimSpace(string(body)) {
	case "true":
		return nil
	case "false":
		return ErrConflict
	default:
		return errors.Mark(errors.Newf("reply %.20q to a write", body), ErrOutcomeUnknown)
	}
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	request, err := json.Marshal(session{TTL: ttl.String(), Behavior: "delete"})
	if err != nil {
		return "", err
	}
	body, _, err := h.write(ctx, http.MethodPut, "/v1/session/create", nil, request)
	if err != nil {
		return "", lavstep.Wrap(err, lavstep.StoreLease, "")
	}
	var created session
	if err := json.Unmarshal(body, &created); err != nil {
		return "", lavstep.Wrap(errors.Mark(err, ErrOutcomeUnknown), lavstep.StoreLease, "")
	}
	if created.ID == "" {
		return "", lavstep.Wrap(errors.Mark(errForeignReply, ErrOutcomeUnknown), lavstep.StoreLease, "")
	}
	return created.ID, nil
}

// Renew implements Store.
func (h *HTTP) Renew(ctx context.Context, lease LeaseID) error {
	body, _, err := h.write(ctx, http.MethodPut, "/v1/session/renew/"+escapePath(string(lease)), nil, nil)
	if errors.Is(err, ErrNotFound) {
		err = ErrLeaseGone
	}
	if err == nil {
		err = checkRenewed(body, lease)
	}
	return lavstep.Wrap(err, lavstep.StoreLease, string(lease))
}

// checkRenewed returns an error unless the reply to a renewal lists the lease.
func checkRenewed(body []byte, lease LeaseID) error {
	var renewed []session
	if err := json.Unmarshal(body, &renewed); err != nil {
		return errors.Mark(err, ErrOutcomeUnknown)
	}
	if !slices.ContainsFunc(renewed, func(s session) bool { return s.ID == lease }) {
		return errors.Mark(errForeignReply, ErrOutcomeUnknown)
	}
	return nil
}

// Revoke implements Store.
func (h *HTTP) Revoke(ctx context.Context, lease LeaseID) error {
	body, _, err := h.write(ctx, http.MethodPut, "/v1/session/destroy/"+escapePath(string(lease)), nil, nil)
	if err == nil {
		err = decodeWritten(body)
	}
	return lavstep.Wrap(err, lavstep.StoreLease, string(lease))
}

func (h *HTTP) read(ctx context.Context, step lavstep.Step, path string, query url.Values) ([]Entry, Revision, error) {
	if err := lavstep.Failpoint(ctx, step, path); err != nil {
		return nil, 0, err
	}
	body, header, err := h.tryBaseURLs(ctx, http.MethodGet, path, query, nil, false)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return nil, 0, lavstep.Wrap(err, step, path)
	}
	if _, err := strconv.ParseUint(header.Get(indexHeader), 10, 64); err != nil {
		// Without it, a page that says that nothing is there would be an empty store.
		return nil, 0, lavstep.Wrap(errors.Mark(errForeignReply, ErrUnavailable), step, path)
	}
	if err != nil {
		return nil, revisionFrom(header), nil
	}
	var pairs []kvPair
	if err := json.Unmarshal(body, &pairs); err != nil {
		return nil, 0, lavstep.Wrap(errors.Mark(err, ErrUnavailable), step, path)
	}
	entries := make([]Entry, 0, len(pairs))
	for _, p := range pairs {
		if !strings.HasPrefix(keysPath+escapePath(p.Key), path) {
			return nil, 0, lavstep.Wrap(errors.Mark(errForeignReply, ErrUnavailable), step, path)
		}
		entries = append(entries, Entry{Key: p.Key, Value: p.Value, Revision: p.ModifyIndex, Lease: p.Session})
	}
	return entries, revisionFrom(header), nil
}

func (h *HTTP) write(ctx context.Context, method, path string, query url.Values, value []byte) ([]byte, http.Header, error) {
	if err := lavstep.Failpoint(ctx, writeStep(path), path); err != nil {
		return nil, nil, err
	}
	return h.tryBaseURLs(ctx, method, path, query, value, true)
}

// writeStep returns the protocol step of a write to path.
func writeStep(path string) lavstep.Step {
	if strings.HasPrefix(path, "/v1/session/") {
		return lavstep.StoreLease
	}
	return lavstep.StoreWrite
}

func revisionFrom(header http.Header) Revision {
	n, err := strconv.ParseUint(header.Get(indexHeader), 10, 64)
	if err != nil {
		return 0
	}
	return Revision(n)
}

func escapePath(key string) string {
	return (&url.URL{Path: key}).EscapedPath()
}
