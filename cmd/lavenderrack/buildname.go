package main

import (
	"runtime/debug"
	"time"
)

// Settings of a build, as the Go command records them.
const (
	settingRevision = "vcs.revision"
	settingTime     = "vcs.time"
	settingModified = "vcs.modified"
)

// unknownBuild is the name of a build whose commit isn't recorded.
const unknownBuild = "unknown"

// buildName returns the commit that a program was built from, such as
// "bf41370a of 2026-12-05T10:17:18Z, modified", so that a host's log shows whether it ran the code that was meant.
func buildName(info *debug.BuildInfo, ok bool) string {
	if !ok {
		return unknownBuild
	}
	settings := make(map[string]string)
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	name := settings[settingRevision]
	if name == "" {
		return unknownBuild
	}
	if at, err := time.Parse(time.RFC3339, settings[settingTime]); err == nil {
		name += " of " + at.UTC().Format(time.RFC3339)
	}
	if settings[settingModified] == "true" {
		name += ", modified"
	}
	return name
}
