package lavnode

import "lavenderrack.example/lavenderrack/lavrelease"

// Release returns the version of the release that is in force on this host, or
// zero if there is none.
func (n *Node) Release() lavrelease.Version { return n.releases.State().Version }
