package lavfake

import (
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// ControlPath is where a stand-in takes a Control by POST. Real systems have no
// such path.
const ControlPath = "/standin/control"

// Control brings faults about in a stand-in that runs as a process of its own.
// Each stand-in heeds what it knows; all that is left out is well.
type Control struct {
	// Die kills an engine; Chill makes it cold.
	Die   bool
	Chill bool
	// Down refuses or cuts every call of a store or an order server.
	Down bool
	// LoseReplies loses the replies after a write or an order.
	LoseReplies bool
	// Delay slows every call.
	Delay lavrelease.Duration
}

// controlled serves a control beside a handler.
func controlled(handler http.Handler, heed func(c Control)) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("POST "+ControlPath, func(w http.ResponseWriter, r *http.Request) {
		if c, ok := decode[Control](w, r); ok {
			heed(c)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

// ControlledHandler is Handler with a control.
func (e *Engine) ControlledHandler() http.Handler {
	return controlled(e.Handler(), func(c Control) {
		if c.Die {
			e.Restart()
		}
		if c.Chill {
			e.MakeCold()
		}
	})
}

// ControlledHandler is Handler with a control.
func (s *Store) ControlledHandler() http.Handler {
	return controlled(s.Handler(), func(c Control) {
		s.SetFaults(StoreFaults{Down: c.Down, LoseReplies: c.LoseReplies, Delay: time.Duration(c.Delay)})
	})
}

// ControlledHandler is Handler with a control.
func (o *OrderServer) ControlledHandler() http.Handler {
	return controlled(o.Handler(), func(c Control) {
		o.SetFaults(OrderFaults{Down: c.Down, LoseReplies: c.LoseReplies, Delay: time.Duration(c.Delay)})
	})
}
