package lavsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavjson"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// Limits on settings.
const (
	maxDrainTimeout  = time.Hour
	maxDialTimeout   = time.Minute
	minTokenKeyBytes = 16
)

// logLevels are the valid values of LogLevel.
var logLevels = []string{"debug", "info", "warn", "error"}

// checker finds values that have the right type but are invalid, and collects the faults.
type checker struct {
	document *lavjson.Document
	faults   lavjson.Faults
}

// addFault adds a fault at the position of the setting with the given path.
func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, c.document.At(path, fmt.Sprintf(format, args...)))
}

// check checks all settings.
func (c *checker) check(s *Settings) {
	c.checkName("Host", s.Host)
	c.checkName("FailureDomain", s.FailureDomain)
	c.checkAddresses(s)
	c.checkPlatformURLs(s)
	c.checkDuration("DrainTimeout", s.DrainTimeout, maxDrainTimeout)
	c.checkDuration("DialTimeout", s.DialTimeout, maxDialTimeout)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.addFault("LogLevel", "LogLevel is %q, want one of %s", s.LogLevel, strings.Join(logLevels, ", "))
	}
	c.checkKeyFiles(s)
}

// checkName checks that a name is set and has no spaces, control characters or slashes.
func (c *checker) checkName(path, name string) {
	switch {
	case name == "":
		c.addFault(path, "%s is missing, want the name that releases use", path)
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }):
		c.addFault(path, "%s is %q, want a name without spaces or slashes", path, name)
	}
}

// checkAddresses checks that all addresses are set, have a port and are distinct. An
// advertised address must also have a specific IP address, because others can't connect
// to a wildcard address such as 0.0.0.0.
func (c *checker) checkAddresses(s *Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, a := range []struct {
		path string
		addr netip.AddrPort
		// advertised is true for an address that other hosts or callers connect to.
		advertised bool
	}{{"Entry", s.Entry, true}, {"Mesh", s.Mesh, true}, {"Admin", s.Admin, false}} {
		switch {
		case !a.addr.IsValid():
			c.addFault(a.path, `%s is missing, want an address with a port, such as "10.0.0.1:8080"`, a.path)
		case a.addr.Port() == 0:
			c.addFault(a.path, "%s has port 0, want the port to listen on", a.path)
		case a.advertised && a.addr.Addr().IsUnspecified():
			c.addFault(a.path, "%s is %v, want the address by which others reach this host", a.path, a.addr)
		case seen[a.addr] != "":
			c.addFault(a.path, "%s is %v like %s, want a different address for each", a.path, a.addr, seen[a.addr])
		}
		seen[a.addr] = a.path
	}
}

// checkPlatformURLs checks the URLs of the key-value service, the host list and the
// weight store.
func (c *checker) checkPlatformURLs(s *Settings) {
	if len(s.Stores) == 0 {
		c.addFault("Stores", "Stores is missing, want the base URLs of the key-value service")
	}
	for i, store := range s.Stores {
		c.checkURL(fmt.Sprintf("Stores[%d]", i), store)
		if slices.Index(s.Stores, store) < i {
			c.addFault(fmt.Sprintf("Stores[%d]", i), "Stores[%d] is listed twice", i)
		}
	}
	if s.HostList == "" {
		c.addFault("HostList", "HostList is missing, want the URL of the host list")
	} else {
		c.checkURL("HostList", s.HostList)
	}
	if s.WeightStore != "" {
		c.checkURL("WeightStore", s.WeightStore)
	}
}

// checkURL checks that a text is an absolute HTTP or HTTPS URL.
func (c *checker) checkURL(path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.addFault(path, `%s is %q, want a URL such as "http://10.0.0.5:8500"`, path, text)
	}
}

// checkDuration checks that a duration is positive and at most maximum.
func (c *checker) checkDuration(path string, d lavrelease.Duration, maximum time.Duration) {
	if d <= 0 || time.Duration(d) > maximum {
		c.addFault(path, "%s is %v, want a duration above 0 and up to %v", path, time.Duration(d), maximum)
	}
}

// checkKeyFiles checks that the TLS files are either all set or all empty, and that the
// token key, if it is set, is long enough.
func (c *checker) checkKeyFiles(s *Settings) {
	k := s.Keys
	if k != (Keys{}) && (k.Cert == "" || k.Key == "" || k.CA == "") {
		c.addFault("Keys", "Keys has only some of the files, want Cert, Key and CA or none of them")
	}
	if s.TokenKey != "" && len(s.TokenKey) < minTokenKeyBytes {
		c.addFault("TokenKey", "TokenKey has %d bytes, want at least %d", len(s.TokenKey), minTokenKeyBytes)
	}
}
