package lavhost

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/platform"
)

// directoryTTL is how long callers keep an answer; some keep it three times as
// long.
const directoryTTL = 1500 * time.Millisecond

// directoryValidity returns the validity of answers under a bound, 0 for none.
func directoryValidity(bound time.Duration) time.Duration {
	if bound <= 0 {
		return directoryTTL
	}
	return min(directoryTTL, bound)
}

// directory tells callers where to connect.
type directory struct {
	peers *peers
	// ttl is the validity of its answers.
	ttl time.Duration
}

// ServeHTTP implements http.Handler.
func (d *directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathResolve {
		http.NotFound(w, r)
		return
	}
	q := platform.DecodeDirectoryQuery(r.URL.Query())
	addresses := choose(d.peers.Alive(), q.FailureDomain)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeDirectory(addresses, d.ttl)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// choose returns the addresses for a caller in a failure domain. All hosts are
// named as long as they fit, since few hosts may stand near many callers; of
// more, the near ones come first and others are drawn at random.
func choose(alive []lavmember.Member, domain string) []netip.AddrPort {
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	slices.SortStableFunc(alive, func(a, b lavmember.Member) int {
		return distance(a, domain) - distance(b, domain)
	})
	alive = alive[:min(len(alive), platform.MaxDirectoryAddresses)]
	addresses := make([]netip.AddrPort, 0, len(alive))
	for _, m := range alive {
		addresses = append(addresses, m.Entry)
	}
	return addresses
}

// distance is 0 for a member in a failure domain and 1 for the others.
func distance(m lavmember.Member, domain string) int {
	if m.FailureDomain == domain {
		return 0
	}
	return 1
}
