package main

import (
	"runtime/debug"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
)

func TestBuildName(t *testing.T) {
	setting := func(key, value string) debug.BuildSetting { return debug.BuildSetting{Key: key, Value: value} }
	revision, at := setting("vcs.revision", "bf41370a"), setting("vcs.time", "2026-12-05T10:17:18Z")
	tests := []struct {
		name, want string
		settings   []debug.BuildSetting
		ok         bool
	}{
		{"Commit", "bf41370a of 2026-12-05T10:17:18Z", []debug.BuildSetting{revision, at}, true},
		{"Modified", "bf41370a of 2026-12-05T10:17:18Z, modified", []debug.BuildSetting{revision, at, setting("vcs.modified", "true")}, true},
		{"WithoutTime", "bf41370a", []debug.BuildSetting{revision}, true},
		{"WithoutCommit", "unknown", []debug.BuildSetting{at}, true},
		{"WithoutInfo", "unknown", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lavassert.Equal(t, "build", buildName(&debug.BuildInfo{Settings: test.settings}, test.ok), test.want)
		})
	}
}
