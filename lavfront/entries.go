package lavfront

import (
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavmember"
)

// EntryValidity is the time for which callers may cache the list of entry hosts.
// A draining host keeps serving for this time, because callers with a cached list
// still connect to it.
const EntryValidity = 10 * time.Second

// Directory is the response body of GET /v1/entries.
type Directory struct {
	Entries []Entry
	// Validity is the time for which callers may cache the list, as a Go
	// duration such as "10s".
	Validity string
}

// Entry is the address and failure domain of an entry host that callers may
// connect to.
type Entry struct {
	Addr          netip.AddrPort
	FailureDomain string
}

// handleEntries lists the entry hosts that are neither leaving nor out of service.
// Hosts in the caller's failure domain come first. Both groups are shuffled to
// spread callers over the hosts.
func (f *Front) handleEntries(w http.ResponseWriter, r *http.Request) {
	callerDomain := r.URL.Query().Get("near")
	state := f.config.Releases.State()
	var sameDomain, otherDomains []Entry
	for _, m := range f.config.Members.View().Members {
		if m.Leaving || isOutOfService(state.Out.FailureDomains, m) || isOutOfService(state.Out.Hosts, m) {
			continue
		}
		e := Entry{Addr: m.Entry, FailureDomain: m.FailureDomain}
		if m.FailureDomain == callerDomain {
			sameDomain = append(sameDomain, e)
		} else {
			otherDomains = append(otherDomains, e)
		}
	}
	shuffle(sameDomain)
	shuffle(otherDomains)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(EntryValidity.Seconds())))
	_ = json.NewEncoder(w).Encode(Directory{Entries: append(sameDomain, otherDomains...), Validity: EntryValidity.String()})
}

// isOutOfService reports whether out contains the member's host or failure domain.
func isOutOfService(out []string, m lavmember.Member) bool {
	for _, name := range out {
		if name == m.Host || name == m.FailureDomain {
			return true
		}
	}
	return false
}

func shuffle(entries []Entry) {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	rand.New(rand.NewChaCha8(seed)).Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
}
