package lavfake

import (
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// ControlPath is the HTTP path at which a fake accepts a Control by POST. The
// real systems have no such path.
const ControlPath = "/standin/control"

// Control injects faults into a fake that runs as a separate process. Each fake
// applies the fields that it supports and ignores the others. The zero value
// clears the faults of a store or an order server.
type Control struct {
	// Die kills an engine, and Chill makes an engine cold.
	Die   bool
	Chill bool
	// Down makes a store fail every call, or an order server close the
	// connection of every call.
	Down bool
	// LoseReplies drops the reply after a write or an order has taken effect.
	LoseReplies bool
	// Delay is added to every call.
	Delay lavrelease.Duration
}

// withControl returns a handler that serves ControlPath and passes all other
// requests to handler.
func withControl(handler http.Handler, apply func(c Control)) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("POST "+ControlPath, func(w http.ResponseWriter, r *http.Request) {
		if c, ok := decode[Control](w, r); ok {
			apply(c)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

// ControlledHandler returns Handler with ControlPath added.
func (e *Engine) ControlledHandler() http.Handler {
	return withControl(e.Handler(), func(c Control) {
		if c.Die {
			e.Restart()
		}
		if c.Chill {
			e.MakeCold()
		}
	})
}

// ControlledHandler returns Handler with ControlPath added.
func (s *Store) ControlledHandler() http.Handler {
	return withControl(s.Handler(), func(c Control) {
		s.SetFaults(StoreFaults{Down: c.Down, LoseReplies: c.LoseReplies, Delay: time.Duration(c.Delay)})
	})
}

// ControlledHandler returns Handler with ControlPath added.
func (o *OrderServer) ControlledHandler() http.Handler {
	return withControl(o.Handler(), func(c Control) {
		o.SetFaults(OrderFaults{Down: c.Down, LoseReplies: c.LoseReplies, Delay: time.Duration(c.Delay)})
	})
}
