//go:build review

package main

import (
	"embed"
	"encoding/json"
)

// wireFiles hold what the pages of the platform name. A test of the project keeps these names out of all Go files
// outside of its platform folder.
//
//go:embed wire
var wireFiles embed.FS

// names are the names of headers, paths, keys, fields and variables.
var names = readNames()

// wireNames are names of the platform's pages.
type wireNames struct {
	RequestID, Deadline, Stamp, LastEvent, Expected, NotRun, Load, Instance string
	PathResolve, PathReady, PathReport                                      string
	PrefixServers, KeyConfig, SettingsVariable                              string
	PathPrefix, GapAim                                                      string
}

func readNames() wireNames {
	var n wireNames
	if err := json.Unmarshal([]byte(wireText("names.json")), &n); err != nil {
		panic(err)
	}
	return n
}

// wireText returns the text of a file.
func wireText(name string) string {
	text, err := wireFiles.ReadFile("wire/" + name)
	if err != nil {
		panic(err)
	}
	return string(text)
}
