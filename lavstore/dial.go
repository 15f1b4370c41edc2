package lavstore

import (
	"net"

	"github.com/cockroachdb/errors"
)

// dialFailed reports whether err occurred before a connection was established,
// so that no byte can have reached the server.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
