package lavnode

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// headerTimeout is the maximum time for reading the header of a request.
const headerTimeout = 10 * time.Second

// httpService is an HTTP server that implements suture.Service.
type httpService struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// newHTTPService returns a server whose requests inherit the values of ctx but not
// its cancellation, so that running requests can finish while the host drains.
func newHTTPService(ctx context.Context, name string, listener net.Listener, handler http.Handler) *httpService {
	base := context.WithoutCancel(ctx)
	return &httpService{
		name:     name,
		listener: listener,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			BaseContext:       func(net.Listener) context.Context { return base },
		},
	}
}

// String returns the name of the service in supervisor events.
func (s *httpService) String() string { return s.name }

// Serve implements suture.Service.
func (s *httpService) Serve(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- s.serve() }()
	select {
	case <-ctx.Done():
		return errors.CombineErrors(errors.CombineErrors(s.server.Close(), <-served), ctx.Err())
	case err := <-served:
		return err
	}
}

func (s *httpService) serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown stops accepting connections and waits for the running requests. After
// the given time it closes their connections.
func (s *httpService) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}

// serviceFunc is a named function that implements suture.Service.
type serviceFunc struct {
	name string
	run  func(ctx context.Context) error
}

// String returns the name of the service in supervisor events.
func (s serviceFunc) String() string { return s.name }

// Serve implements suture.Service.
func (s serviceFunc) Serve(ctx context.Context) error { return s.run(ctx) }
