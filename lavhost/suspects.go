package lavhost

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavretry"

	"github.com/phuslu/log"
)

// checkPause is the time between a lost answer and the look whether the
// endpoint is still there.
const checkPause = 30 * time.Millisecond

// suspects knows the requests that kill endpoints, by what all hosts saw.
type suspects struct {
	mesh   *lavmesh.Mesh
	dial   lavconn.Dialer
	logger *log.Logger
	// running counts the looks under way.
	running sync.WaitGroup

	mu    sync.Mutex
	guard *lavretry.Guard
}

// Refused implements lavrelay.Suspects.
func (s *suspects) Refused(fingerprint uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.Check(time.Now(), fingerprint).Action == lavretry.ActionRefuse
}

// Lost implements lavrelay.Suspects. An answer is lost for many reasons; only
// if nobody listens at the endpoint any more has it died.
func (s *suspects) Lost(fingerprint uint64, e lavconfig.Endpoint) {
	s.running.Go(func() { s.check(fingerprint, e) })
}

// Wait returns once no look is under way. All are bounded in time.
func (s *suspects) Wait() { s.running.Wait() }

// check looks whether anybody listens at an endpoint.
func (s *suspects) check(fingerprint uint64, e lavconfig.Endpoint) {
	time.Sleep(checkPause)
	ctx, cancel := context.WithTimeout(context.Background(), lavconn.DialTimeout)
	defer cancel()
	c, err := s.dial(ctx, e.Address)
	if err != nil {
		s.died(fingerprint, e)
		return
	}
	// It was opened to see whether it could be.
	_ = c.Close()
}

func (s *suspects) died(fingerprint uint64, e lavconfig.Endpoint) {
	d := lavretry.Death{
		Fingerprint: fingerprint,
		Endpoint:    e.ID,
		Incarnation: lavengine.Incarnation(e.StartedAt.UTC().Format(time.RFC3339Nano)),
		At:          time.Now(),
	}
	count := s.record(d)
	s.logger.Warn().Uint64("Fingerprint", fingerprint).Str("Endpoint", e.ID).Int("Deaths", count).Msg("endpoint died with a request")
	if _, err := s.mesh.Broadcast(lavmesh.TopicQuarantine, d); err != nil {
		s.logger.Warn().Err(err).Msg("death not spread")
	}
}

func (s *suspects) record(d lavretry.Death) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.guard.RecordDeath(time.Now(), d)
}

// hear is the mesh's handler of deaths that peers saw.
func (s *suspects) hear(_ context.Context, _ string, body []byte) (any, error) {
	var d lavretry.Death
	if err := lavmesh.Decode(body, &d); err != nil {
		return nil, err
	}
	s.record(d)
	return nil, nil
}
