package lavhost

import (
	"sync"

	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// schedulerChoice says which host is the scheduler of a cell.
type schedulerChoice struct {
	views lavmesh.Membership

	mu sync.Mutex
	// schedulers are those of the view, as far as they were asked for.
	view       *lavmember.View
	schedulers map[cellID]lavmember.Member
}

// active reports whether the fleet is large enough for schedulers. Hosts of a smaller one learn each
// other's loads at once.
func (c *schedulerChoice) active() bool { return len(c.views.View().Members) > maxDirectHosts }

// schedulerOf returns the scheduler of a cell in this host's view, a host that isn't leaving.
func (c *schedulerChoice) schedulerOf(cell cellID) (lavmember.Member, bool) {
	view := c.views.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != view {
		c.view, c.schedulers = view, make(map[cellID]lavmember.Member)
	}
	if m, ok := c.schedulers[cell]; ok {
		return m, true
	}
	m, ok := lavmember.Owner(view, cell.ownerKey())
	if ok {
		c.schedulers[cell] = m
	}
	return m, ok
}
