package lavhost

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
)

// Bounds of callers' connections. The operators' limits bound well-behaved
// callers more narrowly; these keep what others may hold.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
)

// face is a listener with its handler.
type face struct {
	name     string
	listener net.Listener
	handler  http.Handler
	logger   *log.Logger
}

// Serve implements suture.Service.
func (f *face) Serve(ctx context.Context) error {
	server := &http.Server{
		Handler:           f.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          f.logger.Std("http", 0),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(f.listener) }()
	select {
	case <-ctx.Done():
		// Requests have been drained before the context ends.
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			f.logger.Warn().Err(err).Str("Face", f.name).Msg("listener ended")
		}
		return ctx.Err()
	case err := <-ended:
		f.logger.Error().Err(err).Str("Face", f.name).Msg("listener ended")
		return suture.ErrTerminateSupervisorTree
	}
}
