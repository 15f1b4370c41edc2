package lavdemo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavstore"
)

// fleetNote returns the release note that registers the complete fleet: models,
// services, failure domains, hosts, endpoints and customers.
func fleetNote(p *platform, entryHosts []*entryHost) *lavrelease.Note {
	note := &lavrelease.Note{Comment: "Register the fleet"}
	note.Add.Models = []lavrelease.Model{{Name: modelName, Version: "1", Replicas: 1}}
	note.Add.Services = []lavrelease.Service{{Name: serviceName, NotRepeatable: []string{"/orders"}, Timeout: lavrelease.Duration(serviceTimeout)}}
	for _, domain := range failureDomains {
		note.Add.FailureDomains = append(note.Add.FailureDomains, lavrelease.FailureDomain{Name: domain, Region: "demo"})
	}
	for _, e := range entryHosts {
		note.Add.Hosts = append(note.Add.Hosts, lavrelease.Host{
			Name: e.settings.Host, FailureDomain: e.settings.FailureDomain, Entry: e.settings.Entry, Mesh: e.settings.Mesh,
		})
	}
	for i, e := range p.engines {
		note.Add.Hosts = append(note.Add.Hosts, lavrelease.Host{Name: e.host, FailureDomain: e.failureDomain})
		note.Add.Endpoints = append(note.Add.Endpoints, lavrelease.Endpoint{
			Name: e.name, Host: e.host, Addr: e.addr, MemoryTokens: engineMemoryTokens, IgnoresFence: i%2 != 0,
		})
	}
	for _, server := range p.orderServers {
		note.Add.Hosts = append(note.Add.Hosts, lavrelease.Host{Name: server.host, FailureDomain: server.failureDomain})
		note.Add.Endpoints = append(note.Add.Endpoints, lavrelease.Endpoint{Name: server.name, Host: server.host, Addr: server.addr, Service: serviceName})
	}
	for i := range customerCount {
		note.Add.Customers = append(note.Add.Customers, lavrelease.Customer{
			Name: customerName(i), Share: customerWeight(i), Credentials: []string{lavfront.HashCredential(credential(i))},
		})
	}
	return note
}

// operator publishes releases. Each release adds a probe customer. An entry host
// at which the release is in force accepts the credential of that customer,
// which lets the release watcher observe the release from outside.
type operator struct {
	store   lavstore.Store
	watcher *releaseWatcher

	mu      sync.Mutex
	version lavrelease.Version
}

func newOperator(p *platform, w *releaseWatcher) *operator {
	return &operator{store: lavstore.NewHTTP(&http.Client{}, "http://"+p.storeAddr.String()), watcher: w}
}

// publish publishes the note as the next release, starts to watch that release,
// and returns the time at which the store accepted it.
func (o *operator) publish(ctx context.Context, note *lavrelease.Note) (time.Time, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	note.Base = o.version
	note.ID = fmt.Sprintf("demo-%d", o.version+1)
	probe := fmt.Sprintf("probe-of-%s", note.ID)
	note.Add.Customers = append(note.Add.Customers, lavrelease.Customer{Name: probe, Share: 1, Credentials: []string{lavfront.HashCredential(probe)}})
	version, err := lavrelease.Publish(ctx, o.store, note)
	if err != nil {
		return time.Time{}, err
	}
	o.version = version
	acceptedAt := time.Now()
	o.watcher.watch(probe, acceptedAt)
	return acceptedAt, nil
}
