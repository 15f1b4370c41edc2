package lavexperiment

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavfront"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// initialNote starts the engines and servers and returns the release note that
// adds them and all other parts of the fleet.
func (sys *System) initialNote() (*lavrelease.Note, error) {
	f := sys.scenario.Fleet
	n := &lavrelease.Note{}
	for _, name := range f.Models {
		n.Add.Models = append(n.Add.Models, lavrelease.Model{Name: name, Version: "1"})
	}
	for _, name := range f.FailureDomains {
		n.Add.FailureDomains = append(n.Add.FailureDomains, lavrelease.FailureDomain{Name: name, Region: "one"})
	}
	for _, c := range sys.scenario.Customers {
		n.Add.Customers = append(n.Add.Customers, lavrelease.Customer{Name: c.Name, Share: c.Share, Credentials: []string{lavfront.HashCredential(credential(c.Name))}})
	}
	n.Add.Services = []lavrelease.Service{{Name: serviceName, NotRepeatable: []string{"/orders"}}}
	for i := range f.EntryHosts {
		n.Add.Hosts = append(n.Add.Hosts, lavrelease.Host{Name: entryHost(i), FailureDomain: sys.domain(i)})
	}
	for i := range f.Engines {
		e := lavfake.NewEngine(sys.engineSettings(i))
		sys.engines = append(sys.engines, e)
		if err := sys.addEndpoint(n, engineHost(i), i, lavrelease.Endpoint{MemoryTokens: f.Engine.MemoryTokens}, e.Handler()); err != nil {
			return nil, err
		}
	}
	for i := range f.Servers {
		host := serverHost(i)
		server := lavfake.NewOrderServer(sys.orderBook)
		sys.servers = append(sys.servers, server)
		if err := sys.addEndpoint(n, host, f.Engines+i, lavrelease.Endpoint{Service: serviceName}, server.Handler()); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// addEndpoint adds an endpoint and its host to the note and serves the handler
// at the endpoint's address.
func (sys *System) addEndpoint(n *lavrelease.Note, host string, i int, e lavrelease.Endpoint, handler http.Handler) error {
	e.Name, e.Host = host, host
	e.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8000)
	n.Add.Hosts = append(n.Add.Hosts, lavrelease.Host{Name: host, FailureDomain: sys.domain(i)})
	n.Add.Endpoints = append(n.Add.Endpoints, e)
	return sys.serve(lavfakenet.HostInfo{Host: host, FailureDomain: sys.domain(i)}, e.Addr.String(), handler)
}

// engineSettings returns the settings of the fake engine with index i.
func (sys *System) engineSettings(i int) lavfake.EngineSettings {
	e := sys.scenario.Fleet.Engine
	return lavfake.EngineSettings{
		Name:         engineHost(i),
		MemoryTokens: e.MemoryTokens,
		CacheTokens:  e.CacheTokens,
		Seed:         uint64(i) + 1,
		EventLoss:    eventLoss,
		PrefillRate:  e.PrefillRate,
		DecodeRate:   e.DecodeRate,
		Step:         time.Duration(e.Step),
		ColdLimit:    e.ColdLimit,
		ColdTime:     time.Duration(e.ColdTime),
		Lag:          time.Duration(e.Lag),
		Models:       sys.scenario.Fleet.Models,
		ChecksFence:  true,
		CrashMarker:  crashMarker,
	}
}

// eventLoss is the fraction of cache events that an engine loses.
const eventLoss = 0.01

// crashMarker is the text in a prompt that crashes the engine that runs it.
const crashMarker = "\x01crash\x01"

func engineHost(i int) string { return fmt.Sprintf("engine-%d", i) }

func serverHost(i int) string { return fmt.Sprintf("server-%d", i) }

func entryHost(i int) string { return fmt.Sprintf("entry-%d", i) }

// credential returns the credential of a customer.
func credential(customer string) string { return "token-of-" + customer }
