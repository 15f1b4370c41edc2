//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

//go:embed settings.toml
var settingsText string

// names are the names of the platform's wire formats. They are in a file of their own because
// only the platform folder's Go files may contain them.
type names struct {
	RequestID, Timeout, Customer, Expected, NotRun, Stamp, Load, FaultyEndpoint string

	PathRange, PathWatch, PathTransaction, PathLease, PathRenew, PathRevoke, PathReady string

	Prefix, KeyState, PrefixOperator, PrefixEndpoints, Settings, WarmUp string
}

// wire holds the names of the wire formats.
var wire = loadNames()

func loadNames() names {
	var n names
	if err := json.Unmarshal(namesJSON, &n); err != nil {
		panic(err)
	}
	return n
}
