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

	"github.com/cockroachdb/errors"
)

// Bounds of the directory's answer.
const (
	maxDirectoryBytes = 1 << 20
	directoryTimeout  = 2 * time.Second
	// avoidFor is how long an entry that failed is asked last.
	avoidFor = 5 * time.Second
)

// Settings are what a client needs to know.
type Settings struct {
	// Seeds are entry addresses to ask first.
	Seeds []netip.AddrPort
	// FailureDomain names the failure domain that the client is in, if any.
	FailureDomain string
	// Credential names the customer.
	Credential string
}

// Client calls a fleet of entry hosts. It is safe for use by many goroutines.
type Client struct {
	settings Settings
	http     *http.Client

	mu      sync.Mutex
	entries []netip.AddrPort
	until   time.Time
	// asking is true while a call asks for the entries; the others use the
	// last answer meanwhile.
	asking bool
	// failed holds when an entry last failed.
	failed map[netip.AddrPort]time.Time
}

// New returns a client. The HTTP client must not set a timeout.
func New(settings Settings, client *http.Client) *Client {
	return &Client{settings: settings, http: client, failed: make(map[netip.AddrPort]time.Time)}
}

// NewKey returns an idempotency key that no other call has.
func NewKey() string { return rand.Text() }

// Entries returns the entry addresses in the order in which to try them. It
// asks for them if the last answer is no longer valid; if no host answers, the
// last known ones and the seeds have to do.
func (c *Client) Entries(ctx context.Context) []netip.AddrPort {
	known, valid := c.known()
	if valid {
		return c.order(known)
	}
	defer c.asked()
	fallback := unique(known, c.settings.Seeds)
	for _, ask := range c.order(fallback) {
		found, validity, err := c.directory(ctx, ask)
		if err != nil || len(found) == 0 {
			c.avoid(ask)
			continue
		}
		c.mu.Lock()
		c.entries, c.until = found, time.Now().Add(validity)
		c.mu.Unlock()
		return c.order(found)
	}
	return c.order(fallback)
}

// known returns the last answer and whether to use it. If not, the caller asks
// for another and calls asked then.
func (c *Client) known() ([]netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) > 0 && (c.asking || time.Now().Before(c.until)) {
		return c.entries, true
	}
	c.asking = true
	return c.entries, false
}

func (c *Client) asked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking = false
}

func unique(known, seeds []netip.AddrPort) []netip.AddrPort {
	all := slices.Clone(known)
	for _, s := range seeds {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// order puts entries that failed lately last.
func (c *Client) order(entries []netip.AddrPort) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(a, b netip.AddrPort) int {
		return c.penalty(a, now) - c.penalty(b, now)
	})
	return ordered
}

func (c *Client) penalty(entry netip.AddrPort, now time.Time) int {
	if at, ok := c.failed[entry]; ok && now.Sub(at) < avoidFor {
		return 1
	}
	return 0
}

// avoid puts an entry that failed last for a while.
func (c *Client) avoid(entry netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for known, at := range c.failed {
		if now.Sub(at) >= avoidFor {
			delete(c.failed, known)
		}
	}
	c.failed[entry] = now
}

// directoryBody is the answer of GET /v1/entries, as far as it is read.
type directoryBody struct {
	Entries  []struct{ Addr netip.AddrPort }
	Validity string
}

func (c *Client) directory(ctx context.Context, ask netip.AddrPort) ([]netip.AddrPort, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	target := "http://" + ask.String() + "/v1/entries?near=" + url.QueryEscape(c.settings.FailureDomain)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, 0, err
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, 0, errors.Newf("entry host %s: status %d", ask, answer.StatusCode)
	}
	var body directoryBody
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxDirectoryBytes)).Decode(&body); err != nil {
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
