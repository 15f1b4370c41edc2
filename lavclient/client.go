package lavclient

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavresponse"

	"github.com/cockroachdb/errors"
)

// Limits on fetching the entry addresses, and on avoiding hosts after a failure.
const (
	maxEntriesBytes = 1 << 20
	entriesTimeout  = 2 * time.Second
	// failurePenaltyTime is how long an entry host is tried last after a failure.
	failurePenaltyTime = 5 * time.Second
)

// Settings configures a Client.
type Settings struct {
	// Seeds are the entry addresses to use until the fleet has returned its list,
	// and whenever the listed hosts don't respond.
	Seeds []netip.AddrPort
	// FailureDomain is the failure domain of the client, or empty if it is unknown.
	// The fleet lists the hosts nearest to it first.
	FailureDomain string
	// Credential identifies the customer. It is sent as a bearer token.
	Credential string
}

// Client calls a fleet of entry hosts. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client

	mu         sync.Mutex
	entries    []netip.AddrPort
	validUntil time.Time
	// refreshing is true while one goroutine fetches the entries. Meanwhile, the
	// others use the cached entries even if these have expired.
	refreshing bool
	// failedAt holds the time of the last failure by entry.
	failedAt map[netip.AddrPort]time.Time
}

// New returns a Client that calls hosts like the given HTTP client, on connections of its
// own. The HTTP client must not have a timeout, because that would end streams and long
// calls early.
func New(settings Settings, client *http.Client) *Client {
	return &Client{settings: settings, http: lavresponse.NewClient(client), failedAt: make(map[netip.AddrPort]time.Time)}
}

// CloseIdleConnections closes the connections that no call uses.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// NewKey returns a unique idempotency key.
func NewKey() string { return rand.Text() }

// Entries returns the entry addresses in the order in which to try them. If the cached
// entries have expired, it fetches them from the first host that responds. If no host
// responds, it returns the expired entries and the seeds.
func (c *Client) Entries(ctx context.Context) []netip.AddrPort {
	known, valid := c.cachedEntries()
	if valid {
		return c.sortByPenalty(known)
	}
	defer c.endRefresh()
	fallback := mergeUnique(known, c.settings.Seeds)
	for _, entry := range c.sortByPenalty(fallback) {
		found, validity, err := c.fetchEntries(ctx, entry)
		if err != nil || len(found) == 0 {
			c.markFailed(entry)
			continue
		}
		c.mu.Lock()
		c.entries, c.validUntil = found, time.Now().Add(validity)
		c.mu.Unlock()
		return c.sortByPenalty(found)
	}
	return c.sortByPenalty(fallback)
}

// cachedEntries returns the cached entries and whether the caller can use them. If not,
// the caller must fetch the entries and then call endRefresh.
func (c *Client) cachedEntries() ([]netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) > 0 && (c.refreshing || time.Now().Before(c.validUntil)) {
		return c.entries, true
	}
	c.refreshing = true
	return c.entries, false
}

// endRefresh lets other goroutines fetch the entries again.
func (c *Client) endRefresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
}

// mergeUnique returns the known entries and the seeds that are not among them.
func mergeUnique(known, seeds []netip.AddrPort) []netip.AddrPort {
	all := slices.Clone(known)
	for _, s := range seeds {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// sortByPenalty returns the entries with those that failed recently moved to the end.
// Otherwise, the order stays the same.
func (c *Client) sortByPenalty(entries []netip.AddrPort) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b netip.AddrPort) int {
		return c.penalty(a, now) - c.penalty(b, now)
	})
	return ordered
}

// penalty returns 1 for an entry that failed recently and 0 for any other.
func (c *Client) penalty(entry netip.AddrPort, now time.Time) int {
	if at, ok := c.failedAt[entry]; ok && now.Sub(at) < failurePenaltyTime {
		return 1
	}
	return 0
}

// markFailed records a failure of an entry, so that sortByPenalty moves it to the end
// for failurePenaltyTime. It also deletes failures that are older than that.
func (c *Client) markFailed(entry netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for known, at := range c.failedAt {
		if now.Sub(at) >= failurePenaltyTime {
			delete(c.failedAt, known)
		}
	}
	c.failedAt[entry] = now
}

// entriesResponse holds the fields of the response to GET /v1/entries that are used.
type entriesResponse struct {
	Entries  []struct{ Addr netip.AddrPort }
	Validity string
}

// fetchEntries fetches the list of entry addresses and its validity from an entry host.
func (c *Client) fetchEntries(ctx context.Context, entry netip.AddrPort) ([]netip.AddrPort, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	target := "http://" + entry.String() + "/v1/entries?near=" + url.QueryEscape(c.settings.FailureDomain)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, 0, errors.Newf("entry host %s: status %d", entry, response.StatusCode)
	}
	var body entriesResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEntriesBytes)).Decode(&body); err != nil {
		return nil, 0, err
	}
	validity, err := time.ParseDuration(body.Validity)
	if err != nil {
		return nil, 0, err
	}
	var found []netip.AddrPort
	for _, e := range body.Entries {
		found = append(found, e.Addr)
	}
	return found, validity, nil
}
