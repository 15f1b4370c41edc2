//go:build review

package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

// wireFiles hold what the pages of the platform name. A test of the project keeps these names out of all
// Go files but those of the adapter.
//
//go:embed wire
var wireFiles embed.FS

// wireNames are names of headers, paths and keys.
type wireNames struct {
	RequestID, Deadline, LastEvent             string
	Stamp, Expected, Instance                  string
	NotRun, Load, Leaving                      string
	PathResolve, PathReady                     string
	KeyConfig, PrefixServers, SettingsVariable string
}

// wire are the names in names.json, and templates the other files.
var (
	wire      = readNames()
	templates = template.Must(template.ParseFS(wireFiles, "wire/*.tmpl"))
)

func readNames() wireNames {
	text, err := wireFiles.ReadFile("wire/names.json")
	if err != nil {
		panic(err)
	}
	var names wireNames
	if err := json.Unmarshal(text, &names); err != nil {
		panic(err)
	}
	return names
}

// fill returns the text of a template for some values.
func fill(name string, values any) string {
	var text strings.Builder
	if err := templates.ExecuteTemplate(&text, name, values); err != nil {
		panic(err)
	}
	return strings.TrimSuffix(text.String(), "\n")
}
