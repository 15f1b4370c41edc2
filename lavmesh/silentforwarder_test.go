package lavmesh_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavmesh"
)

// TestSilentForwarder guards against broadcasts that are lost for the members to which a peer
// should forward them that has become unreachable, while links to it are still open.
func TestSilentForwarder(t *testing.T) {
	const members, silent = 25, 12
	withFleet(t, members, nil, func(t *testing.T, f *fleet) {
		for i := range members {
			if i != silent {
				f.network.SetPartitioned(f.members[i].Host, f.members[silent].Host, true)
			}
		}
		missed := 2*lavmesh.DefaultTiming().Ping + lavmesh.DefaultTiming().Ping/2
		time.Sleep(missed)
		for i, p := range f.peers {
			if i == silent {
				continue
			}
			_, err := p.mesh.Broadcast(lavmesh.TopicLoad, fmt.Sprint(i))
			lavassert.NoError(t, err)
		}
		time.Sleep(500 * time.Millisecond)
		for i, p := range f.peers {
			if i != silent {
				lavassert.Equal(t, fmt.Sprint("broadcasts that member ", i, " received"), len(p.messages()), members-2)
			}
		}
	})
}
