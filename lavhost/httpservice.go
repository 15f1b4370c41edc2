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

// Limits on client connections. The operators' limits are stricter for
// well-behaved callers. These limits bound the resources that any other client
// can hold.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// httpService serves HTTP on a listener.
type httpService struct {
	name     string
	listener net.Listener
	handler  http.Handler
	logger   *log.Logger
}

// Serve implements suture.Service.
func (s *httpService) Serve(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.logger.Std("http", 0),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(s.listener) }()
	select {
	case <-ctx.Done():
		// All requests have been drained before the context ends.
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			s.logger.Warn().Err(err).Str("Face", s.name).Msg("listener ended")
		}
		return ctx.Err()
	case err := <-ended:
		s.logger.Error().Err(err).Str("Face", s.name).Msg("listener ended")
		return suture.ErrTerminateSupervisorTree
	}
}
