//go:build review

package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

// wireFiles hold what the pages of the platform name. A test of the project keeps these names out of all Go
// files outside of its platform folder.
//
//go:embed wire
var wireFiles embed.FS

// names are the names of headers, paths, keys and variables.
type names struct {
	RequestID, Deadline, Stamp, Load, Expected, Instance, NotRun, LastEvent string
	Model, Tokens, Segments                                                 string
	PathReady, PathResolve, PathReport, PathWatch                           string
	PrefixServers, KeyConfig, SettingsVariable                              string
}

var (
	wire      = readNames()
	templates = template.Must(template.ParseFS(wireFiles, "wire/*.tmpl"))
)

func readNames() names {
	text, err := wireFiles.ReadFile("wire/names.json")
	if err != nil {
		panic(err)
	}
	var n names
	if err := json.Unmarshal(text, &n); err != nil {
		panic(err)
	}
	return n
}

// fill returns the text of a template with values.
func fill(name string, values any) string {
	var text strings.Builder
	if err := templates.ExecuteTemplate(&text, name, values); err != nil {
		panic(err)
	}
	return strings.TrimSpace(text.String())
}
