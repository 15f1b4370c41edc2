//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/platform/standin"
)

// Bounds of the deployment, as on the sheets of the small ones.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
	// heartbeatInterval is the time between two reports of a server to the store. An entry is
	// removed after silentHeartbeats of them without a report.
	heartbeatInterval = 1200 * time.Millisecond
	silentHeartbeats  = 3
)

// hostName is the name in the consumers' requests, and apiKey their key.
const (
	hostName = "shop.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
)

// zones are those of the deployment, and hostZones those of the entry hosts.
var (
	zones     = []string{"khomas-a", "khomas-b", "khomas-c"}
	hostZones = []string{"khomas-a", "khomas-a", "khomas-a", "khomas-b", "khomas-b", "khomas-c"}
)

// deployment is the platform's store, the servers and the entry hosts.
type deployment struct {
	record *record
	store  *standin.Store
	hosts  []*host
	// dir is the directory of the hosts' settings and logs.
	dir       string
	keepsLogs bool

	storeServers []*http.Server

	mu      sync.Mutex
	servers []*server
	// entries are the servers' entries as the servers last wrote them, and reported when each last
	// did so.
	entries  map[string]string
	reported map[string]time.Time
	version  int
	// away is true while the store takes no writes.
	away bool

	ending     context.Context
	end        context.CancelFunc
	background sync.WaitGroup
}

// network are the first three bytes of the loopback addresses of this run.
var network = [3]byte{127, byte(64 + os.Getpid()>>8&63), byte(os.Getpid())}

func loopback(last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{network[0], network[1], network[2], last})
}

// newDeployment starts the store. The cases start servers and hosts.
func newDeployment(ctx context.Context, binary, logs string, r *record) (*deployment, error) {
	dir := logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return nil, err
		}
	}
	d := &deployment{record: r, store: standin.NewStore(), dir: dir, keepsLogs: logs != "", entries: make(map[string]string), reported: make(map[string]time.Time)}
	d.ending, d.end = context.WithCancel(ctx)
	d.background.Go(d.expireEntries)
	for i, zone := range hostZones {
		h := newHost(d, binary, i, zone)
		d.hosts = append(d.hosts, h)
		if err := d.startStore(ctx, h); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// startHosts starts all hosts and waits until they are ready.
func (d *deployment) startHosts(ctx context.Context) error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// prepare publishes the desired state, and starts servers and hosts. It returns when the hosts have
// been in touch for a while.
func (d *deployment) prepare(ctx context.Context, servers int, set func(*server)) error {
	d.publishConfig()
	for i := range servers {
		s, err := d.newServer(ctx, zones[i%len(zones)])
		if err != nil {
			return err
		}
		set(s)
	}
	if err := d.startHosts(ctx); err != nil {
		return err
	}
	return pause(ctx, contactTime+time.Second)
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	d.end()
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		s.shut()
	}
	for _, s := range d.storeServers {
		_ = s.Close()
	}
	d.background.Wait()
	if !d.keepsLogs {
		_ = os.RemoveAll(d.dir)
	}
}

// service is the only service of a deployment, a plain one.
const service = "xano55b"

// Paths of the routes.
const (
	pathLookup  = "/cuti104/"
	pathPay     = "/puxa403/"
	pathCaption = "/lohu930/"
)

// publishConfig writes the first desired state.
func (d *deployment) publishConfig() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.store.Put(wire.KeyConfig, fill("desired.json.tmpl", struct {
		Version                    int
		Host, Service, Tenant, Key string
		Lookup, Pay, Caption       string
		Health                     string
	}{
		Version: d.version, Host: hostName, Service: service, Tenant: tenant, Key: apiKey,
		Lookup: pathLookup, Pay: pathPay, Caption: pathCaption, Health: healthPath,
	}))
	d.record.add("operator writes desired state %d", d.version)
}

// register writes the entry of a server, if more than its count of reports has changed.
func (d *deployment) register(s *server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := s.entry()
	if d.away {
		return
	}
	d.reported[s.id] = time.Now()
	if d.entries[s.id] == entry {
		return
	}
	d.entries[s.id] = entry
	d.store.Put(wire.PrefixServers+s.id, entry)
	d.record.add("server %s writes its entry: %s", s.id, entry)
}

// setAway sets whether the store takes no writes of servers.
func (d *deployment) setAway(away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
}

// unregister removes the entry of a server.
func (d *deployment) unregister(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(id)
}

// remove removes the entry of a server. The caller holds the lock.
func (d *deployment) remove(id string) {
	if _, ok := d.entries[id]; !ok {
		return
	}
	delete(d.entries, id)
	d.store.Remove(wire.PrefixServers + id)
	d.record.add("entry of server %s is removed", id)
}

// expireEntries removes the entries of servers that are silent, until the deployment ends.
func (d *deployment) expireEntries() {
	for pause(d.ending, heartbeatInterval/20) == nil {
		d.mu.Lock()
		for id := range d.entries {
			if !d.away && time.Since(d.reported[id]) > silentHeartbeats*heartbeatInterval {
				d.remove(id)
			}
		}
		d.mu.Unlock()
	}
}

// newID returns a random identifier.
func newID(prefix string) string { return fmt.Sprintf("%s%016x", prefix, rand.Uint64()) }

// pause waits, or returns an error if the case ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
