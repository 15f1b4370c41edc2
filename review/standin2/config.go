//go:build review

package main

// config is a desired state as the operator writes it.
type config struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	RouteType   string  `json:"route_type"`
	TimeoutMS   float64 `json:"timeout_ms"`
	GoalMS      float64 `json:"goal_ms"`
	Priority    int     `json:"priority"`
	Backend     string  `json:"backend"`
	MaxAttempts int     `json:"max_attempts"`
	Public      bool    `json:"public"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
	GapAimMS    float64 `json:"gap_aim_ms,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmup_s"`
	WarmupPerS float64 `json:"warmup_per_s"`
	Engine     *engine `json:"engine,omitempty"`
}

type engine struct {
	Slots       int                `json:"slots"`
	KVCapacity  int                `json:"kv_capacity_tokens"`
	Stride      int                `json:"stride"`
	StepMS      float64            `json:"step_ms"`
	PerSeqMS    float64            `json:"per_seq_ms"`
	ContextPerK float64            `json:"context_per_k"`
	ReadPerS    float64            `json:"read_per_s"`
	PairsPerM   float64            `json:"pairs_per_m"`
	Chunk       int                `json:"chunk"`
	HopMS       float64            `json:"hop_ms"`
	Usual       map[string]float64 `json:"usual"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
}

// Names that all cases use.
const (
	hostName   = "shop.example"
	tenantName = "t-1"
	apiKey     = "key-1"
)

// newConfig returns a desired state with the limits of the pages and one tenant.
func newConfig() config {
	return config{
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []tenant{{Name: tenantName, APIKeys: []string{apiKey}}},
	}
}

// addService adds a service that is no model engine, with a route to it.
func (c *config) addService(s service, r route) {
	s.HealthPath, s.Protocol = "/health", "h1"
	r.Name, r.Host, r.Backend = "r-"+s.Name, hostName, s.Name
	c.Services = append(c.Services, s)
	c.Routes = append(c.Routes, r)
}
