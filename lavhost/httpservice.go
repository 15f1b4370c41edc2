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
	server   *http.Server
	logger   *log.Logger
}

func newHTTPService(name string, l net.Listener, h http.Handler, logger *log.Logger) *httpService {
	return &httpService{name: name, listener: l, logger: logger, server: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logger.Std("http", 0),
	}}
}

// Serve implements suture.Service.
func (s *httpService) Serve(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.server.Serve(s.listener) }()
	select {
	case <-ctx.Done():
		// The caller of shutdown has waited for the requests that must be answered.
		_ = s.server.Close()
		s.logEnd(<-ended)
		return ctx.Err()
	case err := <-ended:
		s.logEnd(err)
		if !errors.Is(err, http.ErrServerClosed) {
			return suture.ErrTerminateSupervisorTree
		}
		<-ctx.Done()
		return ctx.Err()
	}
}

// logEnd logs the end of the listener unless the service has closed it.
func (s *httpService) logEnd(err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error().Err(err).Str("Face", s.name).Msg("listener ended")
	}
}

// shutdown closes the listener and waits until the requests that have been accepted are
// answered, or until the context ends.
func (s *httpService) shutdown(ctx context.Context) {
	if err := s.server.Shutdown(ctx); err != nil {
		s.logger.Warn().Err(err).Str("Face", s.name).Msg("requests are still running")
	}
}
