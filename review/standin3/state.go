//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// The service, the routes and the keys of the drills.
const (
	service     = "orders"
	safePath    = "/lookup/"
	unsafePath  = "/pay/"
	keptKey     = "kept0123456789abcdef"
	revokedKey  = "gone0123456789abcdef"
	customer    = "c1"
	idlePathLen = 8
)

// state is a desired state as the operator writes it.
type state struct {
	// idleRoutes is the number of routes without requests.
	idleRoutes int
	keys       []string
	draw       *rand.Rand
}

// encode returns the state with a version. The idle routes are the same in all versions.
func (s state) encode(version int) ([]byte, error) {
	routes := []map[string]any{route("lookup", stateHost, safePath, "safe", 2), route("pay", stateHost, unsafePath, "unsafe", 1)}
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range s.idleRoutes {
		routes = append(routes, route(fmt.Sprintf("r-%07d", i), word(draw)+".example", "/"+word(draw)+"/", "safe", 2))
	}
	return json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 424, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": customer, "api_keys": s.keys, "priority": 1}},
	})
}

func route(name, host, path, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, wire.Prefix: path, "route_type": kind, "timeout_ms": 1200, "goal_ms": 300, "priority": 1,
		"backend": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

// word returns a random word.
func word(draw *rand.Rand) string {
	letters := make([]byte, idlePathLen)
	for i := range letters {
		letters[i] = byte('a' + draw.IntN(26))
	}
	return string(letters)
}
