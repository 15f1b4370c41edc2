package lavsettings

import (
	"net/netip"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// Settings holds the configuration of an entry host, which is read at startup.
type Settings struct {
	// Host and FailureDomain are the names of this host and its failure domain in
	// releases.
	Host          string
	FailureDomain string
	// Entry, Mesh and Admin are the listen addresses for callers, for other hosts
	// and for operators.
	Entry netip.AddrPort
	Mesh  netip.AddrPort
	Admin netip.AddrPort
	// Stores are the base URLs of the key-value service.
	Stores []string
	// HostList and WeightStore are the URLs of the host list and, optionally, the
	// weight store of the platform.
	HostList    string
	WeightStore string
	// DrainTimeout is the maximum duration of a graceful shutdown.
	DrainTimeout lavrelease.Duration
	// DialTimeout is the time limit for opening any outgoing connection.
	DialTimeout lavrelease.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// Keys are the files with the key pair and CA with which hosts authenticate each
	// other. If they are empty, traffic on the mesh is not encrypted.
	Keys Keys
	// TokenKey is the key that signs resume tokens. It must be the same on all entry
	// hosts. If it is empty, the key is derived from the credentials in the release.
	TokenKey string
}

// Keys holds the names of PEM files. The files are reloaded when they change.
type Keys struct {
	Cert string
	Key  string
	// CA is the file with the certificates that sign those of the other hosts.
	CA string
}

// Default durations. The drain timeout allows for the longest request.
const (
	defaultDrainTimeout = lavrelease.Duration(10 * time.Minute)
	defaultDialTimeout  = lavrelease.Duration(2 * time.Second)
)

// Default returns the settings that apply where a file sets none.
func Default() Settings {
	return Settings{DrainTimeout: defaultDrainTimeout, DialTimeout: defaultDialTimeout, LogLevel: "info"}
}
