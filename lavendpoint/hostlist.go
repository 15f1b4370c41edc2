package lavendpoint

import (
	"context"
	"net/http"
	"slices"

	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// HostState is one host's entry in the platform's host list.
type HostState struct {
	Name    string
	Leaving bool
}

// HostList is the platform's list of present and leaving hosts. It is updated with
// a delay.
type HostList interface {
	Hosts(ctx context.Context) ([]HostState, error)
}

// maxHostListBytes bounds the size of a host list response.
const maxHostListBytes = 4 << 20

// HTTPHostList reads the host list over HTTP.
type HTTPHostList struct {
	client *http.Client
	url    string
}

// NewHTTPHostList returns an HTTPHostList that reads from url.
func NewHTTPHostList(client *http.Client, url string) *HTTPHostList {
	return &HTTPHostList{client: client, url: url}
}

// Hosts implements HostList.
func (h *HTTPHostList) Hosts(ctx context.Context) ([]HostState, error) {
	if err := lavstep.Failpoint(ctx, lavstep.HostList, h.url); err != nil {
		return nil, err
	}
	hosts, err := lavjson.Get[[]HostState](ctx, h.client, h.url, maxHostListBytes)
	if err == nil {
		err = checkHostList(hosts)
	}
	return hosts, lavstep.Wrap(err, lavstep.HostList, h.url)
}

// errNoHostList means that a response is no list of hosts.
var errNoHostList = errors.New("response is no list of hosts")

// checkHostList returns an error if a response has no list, or one of something else. All hosts would
// seem to have left.
func checkHostList(hosts []HostState) error {
	isNameless := func(h HostState) bool { return h.Name == "" }
	if hosts == nil || slices.ContainsFunc(hosts, isNameless) {
		return errNoHostList
	}
	return nil
}
