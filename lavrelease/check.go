package lavrelease

import (
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"strings"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstore"
)

// Size limits of names, notes and states.
const (
	maxNameBytes = 128
	// maxNoteBytes is the size limit of an encoded note. It leaves 4 KiB below
	// the store's limit for the overhead that the store adds to a value.
	maxNoteBytes = lavstore.MaxValueBytes - 4<<10
	// maxStateBytes is the size limit of an encoded state, over all its chunks.
	maxStateBytes = 16 << 20
)

// Check returns all problems that prevent publishing n on top of base.
func Check(base *State, n *Note) []Problem {
	c := &checker{base: base, note: n, paths: make(map[string]string)}
	c.checkNote()
	c.checkNames()
	c.next = apply(&c.problems, base, n)
	c.checkModels()
	c.checkHosts()
	c.checkEndpoints()
	c.checkServices()
	c.checkCustomers()
	c.checkObjectives()
	c.checkAllServed()
	c.checkSize()
	return c.list
}

// checker validates one note.
type checker struct {
	problems
	base, next *State
	note       *Note
	// paths maps each item that the note touches, by section and name, to its
	// path in the note.
	paths map[string]string
}

func (c *checker) checkNote() {
	if c.note.ID == "" || len(c.note.ID) > maxNameBytes {
		c.add("ID", "must be 1 to %d bytes long", maxNameBytes)
	}
}

// checkNames validates the names of the items that the note touches and records
// the path of each item.
func (c *checker) checkNames() {
	for s := range sectionEnd {
		seen := make(map[string]string)
		for _, list := range []struct {
			action Action
			names  []string
		}{
			{ActionAdd, c.note.Add.itemNames(s)},
			{ActionChange, c.note.Change.itemNames(s)},
			{ActionWithdraw, c.note.Withdraw.sectionNames(s)},
		} {
			for i, name := range list.names {
				path := itemPath(list.action, s, i)
				c.checkName(path, s, name)
				if first, ok := seen[name]; ok {
					c.add(path, "%q is listed twice, first at %s", name, first)
				}
				seen[name] = path
				c.paths[itemKey(s, name)] = path
			}
		}
	}
}

func (c *checker) checkName(path string, s Section, name string) {
	if name == "" || len(name) > maxNameBytes {
		c.add(path+".Name", "a name must be 1 to %d bytes long", maxNameBytes)
		return
	}
	allowed := "-_.:"
	if s == SectionModels || s == SectionAdapters {
		allowed += "/"
	}
	for _, r := range name {
		if !isAlphanumeric(r) && !strings.ContainsRune(allowed, r) {
			c.add(path+".Name", "%q contains %q; a name may contain only letters, digits and %s", name, r, allowed)
			return
		}
	}
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

func itemKey(s Section, name string) string { return s.String() + "/" + name }

// notePath returns the path of an item in the note, or "" if the note does not
// touch the item.
func (c *checker) notePath(s Section, name string) string { return c.paths[itemKey(s, name)] }

// reportDangling reports a reference to an item that does not exist. The problem
// is located at the referring item if the note touches it, and otherwise at the
// withdrawal of the missing item.
func (c *checker) reportDangling(s Section, name, field string, to Section, missing string) {
	if path := c.notePath(s, name); path != "" {
		c.add(path+"."+field, "%q is not listed in %v", missing, to)
		return
	}
	path := c.notePath(to, missing)
	if path == "" {
		// The reference was already dangling before this note.
		return
	}
	c.add(path, "%q is still referenced by %v %q; withdraw or change that item in the same note", missing, s, name)
}

func (c *checker) checkModels() {
	models := setOf(c.next.itemNames(SectionModels))
	for _, m := range c.next.Models {
		path := c.notePath(SectionModels, m.Name)
		if path != "" && (m.Replicas < 0 || m.MemoryTokens < 0) {
			c.add(path, "Replicas and MemoryTokens must not be negative")
		}
	}
	for _, a := range c.next.Adapters {
		if !models[a.Model] {
			c.reportDangling(SectionAdapters, a.Name, "Model", SectionModels, a.Model)
		}
	}
}

func (c *checker) checkHosts() {
	domains := setOf(c.next.itemNames(SectionFailureDomains))
	addresses := make(map[netip.AddrPort]string)
	for _, h := range c.next.Hosts {
		if !domains[h.FailureDomain] {
			c.reportDangling(SectionHosts, h.Name, "FailureDomain", SectionFailureDomains, h.FailureDomain)
		}
		if h.Entry.IsValid() != h.Mesh.IsValid() && c.notePath(SectionHosts, h.Name) != "" {
			c.add(c.notePath(SectionHosts, h.Name), "Entry and Mesh must be set together, and on entry hosts only")
		}
		c.checkAddress(addresses, SectionHosts, h.Name, "Entry", h.Entry)
		c.checkAddress(addresses, SectionHosts, h.Name, "Mesh", h.Mesh)
	}
	for _, e := range c.next.Endpoints {
		c.checkAddress(addresses, SectionEndpoints, e.Name, "Addr", e.Addr)
	}
}

// checkAddress reports an address that is assigned to two items.
func (c *checker) checkAddress(seen map[netip.AddrPort]string, s Section, name, field string, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	other, duplicate := seen[a]
	seen[a] = itemKey(s, name)
	if path := c.notePath(s, name); duplicate && path != "" {
		c.add(path+"."+field, "address %v is already used by %s", a, other)
	}
}

func (c *checker) checkEndpoints() {
	hosts, services := setOf(c.next.itemNames(SectionHosts)), setOf(c.next.itemNames(SectionServices))
	for _, e := range c.next.Endpoints {
		if !hosts[e.Host] {
			c.reportDangling(SectionEndpoints, e.Name, "Host", SectionHosts, e.Host)
		}
		if e.Service != "" && !services[e.Service] {
			c.reportDangling(SectionEndpoints, e.Name, "Service", SectionServices, e.Service)
		}
		path := c.notePath(SectionEndpoints, e.Name)
		if path == "" {
			continue
		}
		if !e.Addr.IsValid() {
			c.add(path+".Addr", `must be an IP address and port, such as "10.0.0.1:8000"`)
		}
		if e.MemoryTokens < 0 {
			c.add(path+".MemoryTokens", "must not be negative")
		}
	}
}

func (c *checker) checkServices() {
	for _, v := range c.next.Services {
		path := c.notePath(SectionServices, v.Name)
		if path == "" {
			continue
		}
		if v.Timeout < 0 {
			c.add(path+".Timeout", "must not be negative")
		}
		for _, prefix := range v.NotRepeatable {
			if !strings.HasPrefix(prefix, "/") {
				c.add(path+".NotRepeatable", "%q must begin with /", prefix)
			}
		}
	}
}

// credentialHexDigits is the length of a SHA-256 hash in hex.
const credentialHexDigits = 64

func (c *checker) checkCustomers() {
	owner := make(map[string]string)
	for _, v := range c.next.Customers {
		path := c.notePath(SectionCustomers, v.Name)
		if path != "" && (!(v.Share > 0) || math.IsInf(v.Share, 0)) {
			c.add(path+".Share", "must be finite and greater than 0; it is the weight of the customer in fair sharing")
		}
		for _, hash := range v.Credentials {
			if path != "" && !isSHA256Hex(hash) {
				c.add(path+".Credentials", "%q is not a SHA-256 hash of %d lower-case hex digits", hash, credentialHexDigits)
			}
			if other, duplicate := owner[hash]; duplicate && (path != "" || c.notePath(SectionCustomers, other) != "") {
				c.add(firstNonEmpty(path, c.notePath(SectionCustomers, other))+".Credentials", "the credential %q is listed for both customer %q and customer %q", hash, other, v.Name)
			}
			owner[hash] = v.Name
		}
	}
}

func firstNonEmpty(path, other string) string {
	if path == "" {
		return other
	}
	return path
}

func isSHA256Hex(text string) bool {
	return len(text) == credentialHexDigits && strings.Trim(text, "0123456789abcdef") == ""
}

func (c *checker) checkObjectives() {
	for _, o := range c.next.Objectives {
		path := c.notePath(SectionObjectives, o.Name)
		if path == "" {
			continue
		}
		if _, ok := lavrequest.ParseKind(o.Kind); o.Kind != "" && !ok {
			c.add(path+".Kind", "%q is not a kind of request", o.Kind)
		}
		if o.Class != "" && !isClass(o.Class) {
			c.add(path+".Class", "%q is not a prompt length class", o.Class)
		}
		if !(o.Target > 0 && o.Target < 1) {
			c.add(path+".Target", "must be greater than 0 and less than 1, such as 0.99")
		}
		if o.FirstToken < 0 {
			c.add(path+".FirstToken", "must not be negative")
		}
	}
}

func isClass(name string) bool {
	return slices.ContainsFunc(lavrequest.Classes(), func(c lavrequest.LengthClass) bool { return c.String() == name })
}

// checkAllServed reports models and services that are served before the note but
// have no endpoint in service after it.
func (c *checker) checkAllServed() {
	for _, m := range c.next.Models {
		canServe := func(e Endpoint) bool {
			return e.Service == "" && (e.MemoryTokens == 0 || e.MemoryTokens >= m.MemoryTokens)
		}
		c.checkStillServed("model", m.Name, canServe)
	}
	for _, v := range c.next.Services {
		c.checkStillServed("service", v.Name, func(e Endpoint) bool { return e.Service == v.Name })
	}
}

func (c *checker) checkStillServed(kind, name string, canServe func(Endpoint) bool) {
	if countInService(c.base, canServe) == 0 || countInService(c.next, canServe) > 0 {
		return
	}
	c.add(c.withdrawalPath(canServe), "this takes the last endpoint of %s %q out of service", kind, name)
}

func countInService(s *State, canServe func(Endpoint) bool) int {
	out := make(map[string]bool, len(s.Hosts))
	for _, h := range s.Hosts {
		out[h.Name] = slices.Contains(s.Out.Hosts, h.Name) || slices.Contains(s.Out.FailureDomains, h.FailureDomain)
	}
	n := 0
	for _, e := range s.Endpoints {
		if canServe(e) && !out[e.Host] {
			n++
		}
	}
	return n
}

// withdrawalPath returns the path at which the note withdraws a matching
// endpoint, or its host or failure domain.
func (c *checker) withdrawalPath(canServe func(Endpoint) bool) string {
	for _, e := range c.base.Endpoints {
		if !canServe(e) {
			continue
		}
		host, _ := c.base.Host(e.Host)
		for _, path := range []string{
			c.notePath(SectionEndpoints, e.Name),
			c.notePath(SectionHosts, e.Host),
			c.notePath(SectionFailureDomains, host.FailureDomain),
		} {
			if path != "" {
				return path
			}
		}
	}
	return ""
}

func (c *checker) checkSize() {
	if text, err := json.Marshal(c.note); err != nil || len(text) > maxNoteBytes {
		c.add("", "the note has %d bytes, the maximum is %d; split it into several notes", len(text), maxNoteBytes)
	}
	if text, err := json.Marshal(c.next); err != nil || len(text) > maxStateBytes {
		c.add("", "the resulting state has %d bytes, the maximum is %d", len(text), maxStateBytes)
	}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
