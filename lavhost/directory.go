package lavhost

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/platform"
)

// directoryTTL is how long callers may cache a directory response. Some callers
// cache it for three times as long.
const directoryTTL = 1500 * time.Millisecond

// boundedDirectoryTTL returns the lesser of directoryTTL and a bound from the
// settings, where 0 means no bound.
func boundedDirectoryTTL(bound time.Duration) time.Duration {
	if bound <= 0 {
		return directoryTTL
	}
	return min(directoryTTL, bound)
}

// directory answers callers' lookups of entry host addresses.
type directory struct {
	peers *peers
	// ttl is the validity of the responses in nanoseconds.
	ttl atomic.Int64
}

func newDirectory(p *peers, ttl time.Duration) *directory {
	d := &directory{peers: p}
	d.setTTL(ttl)
	return d
}

func (d *directory) setTTL(ttl time.Duration) { d.ttl.Store(int64(ttl)) }

// ServeHTTP implements http.Handler.
func (d *directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathResolve {
		http.NotFound(w, r)
		return
	}
	query := platform.DecodeDirectoryQuery(r.URL.Query())
	addresses := selectAddresses(d.peers.Alive(), query.FailureDomain)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeDirectory(addresses, time.Duration(d.ttl.Load()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// selectAddresses returns the addresses for a caller in a failure domain. It
// returns all live hosts if the response has room for them, since a domain may
// have few hosts for many callers. Otherwise hosts in the caller's domain come
// first, and those that fit are chosen at random.
func selectAddresses(alive []lavmember.Member, domain string) []netip.AddrPort {
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	slices.SortStableFunc(alive, func(a, b lavmember.Member) int {
		return domainDistance(a, domain) - domainDistance(b, domain)
	})
	alive = alive[:min(len(alive), platform.MaxDirectoryAddresses)]
	addresses := make([]netip.AddrPort, 0, len(alive))
	for _, m := range alive {
		addresses = append(addresses, m.Entry)
	}
	return addresses
}

// domainDistance returns 0 for a member in the failure domain and 1 for any
// other.
func domainDistance(m lavmember.Member, domain string) int {
	if m.FailureDomain == domain {
		return 0
	}
	return 1
}
