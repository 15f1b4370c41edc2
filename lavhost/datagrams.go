package lavhost

import (
	"lavenderrack.example/lavenderrack/lavdatagram"

	"github.com/phuslu/log"
)

// handleDatagrams sets the handler for a kind of datagrams, whose bodies are encoded values of type
// T. A datagram that can't be decoded is ignored.
func handleDatagrams[T any](socket *lavdatagram.Socket, kind lavdatagram.Kind, logger *log.Logger, handle func(T)) {
	socket.Handle(kind, func(body []byte) {
		var m T
		if err := lavdatagram.Decode(body, &m); err != nil {
			logger.Warn().Err(err).Str("Kind", kind.String()).Msg("ignoring invalid datagram")
			return
		}
		handle(m)
	})
}
