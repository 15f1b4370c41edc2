//go:build review

package main

import "time"

// config is a desired state as the operator writes it. It has the limits of the pages, one host name and one
// tenant with its keys.
type config struct {
	Version  int
	Host     string
	Keys     []string
	Routes   []route
	Services []service
	// Idle is the text of further routes, which get no requests.
	Idle string
}

// route is a route to a service.
type route struct {
	Service, Prefix, Kind string
	Timeout, Goal         time.Duration
	Attempts              int
	// Prompts is true for a route whose requests are prompts, which are answered with resumable streams, and
	// Pause the longest one between two events.
	Prompts bool
	Pause   time.Duration
}

// service is a service. Engine is true if it has the engine of the sheet of the sticker shop.
type service struct {
	Name            string
	Channels        int
	Warmup          time.Duration
	WarmupPerSecond int
	Engine          bool
}

// Kinds of routes.
const (
	kindSafe      = "safe"
	kindUnsafe    = "unsafe"
	kindStreaming = "streaming"
)

// Names that all cases use.
const (
	hostName = "shop.example"
	apiKey   = "key-1"
)

// newConfig returns a desired state without routes and services.
func newConfig() config { return config{Host: hostName, Keys: []string{apiKey}} }

// add adds a service with a route to it.
func (c *config) add(s service, r route) {
	r.Service = s.Name
	c.Services = append(c.Services, s)
	c.Routes = append(c.Routes, r)
}

// plainRoute returns a route to a service that is no model engine, with the times of the sheet.
func plainRoute(prefix, kind string, attempts int) route {
	return route{Prefix: prefix, Kind: kind, Timeout: 800 * time.Millisecond, Goal: 300 * time.Millisecond, Attempts: attempts}
}

// plainChannels and modelChannels are how many channels a server takes, as on the sheet.
const (
	plainChannels = 96
	modelChannels = 424
)

// Figures of a service whose servers are cold after a start, as on the sheet.
const (
	warmup          = 3 * time.Second
	warmupPerSecond = 36
)
