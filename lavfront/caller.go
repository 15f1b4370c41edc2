package lavfront

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// HashCredential returns the hexadecimal SHA-256 hash of a bearer token. Releases
// list the credentials of customers by this hash.
func HashCredential(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authenticate returns the customer that the bearer token of the Authorization
// header belongs to.
func (f *Front) authenticate(r *http.Request) (lavrelease.Customer, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return lavrelease.Customer{}, unauthorized()
	}
	state := f.config.Releases.State()
	if state.Version == 0 {
		return lavrelease.Customer{}, noReleaseYet(r)
	}
	c, ok := state.Customer(HashCredential(token))
	if !ok {
		return lavrelease.Customer{}, unauthorized()
	}
	return c, nil
}

// requestTimeout returns the timeout that the caller sets in a header, or
// defaultTimeout if the header is missing.
func requestTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(lavrequest.HeaderTimeout)
	if text == "" {
		return defaultTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, badRequest(lavrequest.HeaderTimeout + " must be a duration above 0 and up to " + maxTimeout.String() + `, such as "1.5s"`)
	}
	return d, nil
}

// requestKind returns the request kind that the caller sets in a header, or
// fallback if the header is missing.
func requestKind(r *http.Request, fallback lavrequest.Kind) (lavrequest.Kind, error) {
	name := r.Header.Get(lavrequest.HeaderKind)
	if name == "" {
		return fallback, nil
	}
	k, ok := lavrequest.ParseKind(name)
	if !ok {
		return 0, badRequest("unknown " + lavrequest.HeaderKind + " " + name)
	}
	return k, nil
}
