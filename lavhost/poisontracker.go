package lavhost

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavrelay"
	"lavenderrack.example/lavenderrack/lavretry"

	"github.com/phuslu/log"
)

// probeDelay is the time between the loss of a response and the attempt to
// connect that shows whether the endpoint is still running.
const probeDelay = 30 * time.Millisecond

// poisonTracker identifies requests that crash endpoints, by the crashes that
// this host and its peers observe.
type poisonTracker struct {
	mesh   *lavmesh.Mesh
	dial   lavconn.Dialer
	logger *log.Logger
	// probes counts the connection attempts in progress.
	probes sync.WaitGroup

	mu    sync.Mutex
	guard *lavretry.Guard
}

// Blocked implements lavrelay.Suspects.
func (s *poisonTracker) Blocked(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Check(time.Now(), fingerprint).Action == lavretry.ActionRefuse
}

// ConnectionLost implements lavrelay.Suspects. A response may be lost for many reasons.
// The endpoint counts as crashed only if a new connection to it fails.
func (s *poisonTracker) ConnectionLost(c *lavrelay.Call, e lavconfig.Endpoint) {
	s.probes.Go(func() { s.probe(c, e) })
}

// Wait returns once no connection attempt is in progress. Each one has a
// timeout.
func (s *poisonTracker) Wait() { s.probes.Wait() }

// probe tries to connect to an endpoint and reports a crash if that fails.
func (s *poisonTracker) probe(c *lavrelay.Call, e lavconfig.Endpoint) {
	time.Sleep(probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), lavconn.DialTimeout)
	defer cancel()
	connection, err := s.dial(ctx, e.Address)
	if err != nil {
		s.reportDeath(c, e)
		return
	}
	// The connection serves only to show that the endpoint is running.
	_ = connection.Close()
}

// reportDeath records that an endpoint crashed with a request, and informs the
// peers.
func (s *poisonTracker) reportDeath(c *lavrelay.Call, e lavconfig.Endpoint) {
	d := lavretry.Death{
		Fingerprint: c.Fingerprint,
		Endpoint:    e.ID,
		Incarnation: lavengine.Incarnation(e.StartedAt.UTC().Format(time.RFC3339Nano)),
		At:          time.Now(),
	}
	count := s.recordDeath(d)
	s.logger.Warn().Str("Request", c.ID).Strs("Segments", c.PromptSegments).Uint64("Fingerprint", c.Fingerprint).
		Str("Endpoint", e.ID).Int("Deaths", count).Msg("endpoint died with a request")
	if _, err := s.mesh.Broadcast(lavmesh.TopicQuarantine, d); err != nil {
		s.logger.Warn().Err(err).Msg("failed to send endpoint crash to peers")
	}
}

// recordDeath records a crash and returns how many are known for the request.
func (s *poisonTracker) recordDeath(d lavretry.Death) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.RecordDeath(time.Now(), d)
}

// handleDeath records a crash that a peer observed.
func (s *poisonTracker) handleDeath(_ context.Context, _ string, body []byte) (any, error) {
	var d lavretry.Death
	if err := lavmesh.Decode(body, &d); err != nil {
		return nil, err
	}
	s.recordDeath(d)
	return nil, nil
}
