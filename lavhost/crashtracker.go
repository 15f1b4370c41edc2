package lavhost

import (
	"context"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavconn"
	"lavenderrack.example/lavenderrack/lavcrash"
	"lavenderrack.example/lavenderrack/lavmesh"
	"lavenderrack.example/lavenderrack/lavrelay"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// probeDelay is the time between the loss of a response and the attempt to
// connect that shows whether the endpoint is still running. Further requests
// that are lost in this time are part of the same report.
const probeDelay = 30 * time.Millisecond

// crashMessage tells peers of a crash, of completed requests, or of an endpoint
// that has answered after its reported crash.
type crashMessage struct {
	Crash     *lavcrash.Report       `cbor:"1,keyasint,omitempty"`
	Completed []lavcrash.Trait       `cbor:"2,keyasint,omitempty"`
	Alive     *lavconfig.Incarnation `cbor:"3,keyasint,omitempty"`
}

// crashTracker identifies requests that crash endpoints, by the crashes that
// this host and its peers observe.
type crashTracker struct {
	mesh    *lavmesh.Mesh
	dial    lavconn.Dialer
	logger  *log.Logger
	metrics crashMetrics
	// blocksChanged signals that the blocks may have changed.
	blocksChanged chan struct{}
	// probes counts the connection attempts in progress.
	probes sync.WaitGroup

	mu          sync.Mutex
	attribution *lavcrash.Attribution
	// lost are the traits of the requests that were lost with each endpoint
	// that is being probed.
	lost map[lavconfig.Incarnation][]lavcrash.Trait
	// blocked are the traits that were blocked when the blocks were last logged,
	// reported those of them that a report of this host led to, and stored those
	// whose block the store has.
	blocked, reported, stored map[lavcrash.Trait]bool
}

// crashMetrics count crashes and the blocks that follow from them.
type crashMetrics struct {
	crashes, retracted tally.Counter
	blocks             tally.Gauge
}

func newCrashTracker(mesh *lavmesh.Mesh, dial lavconn.Dialer, logger *log.Logger, scope tally.Scope) *crashTracker {
	s := scope.SubScope("crashes")
	return &crashTracker{
		mesh:          mesh,
		dial:          dial,
		logger:        logger,
		metrics:       crashMetrics{crashes: s.Counter("observed"), retracted: s.Counter("retracted"), blocks: s.Gauge("blocks")},
		blocksChanged: make(chan struct{}, 1),
		attribution:   lavcrash.NewAttribution(),
		lost:          make(map[lavconfig.Incarnation][]lavcrash.Trait),
		blocked:       make(map[lavcrash.Trait]bool),
		reported:      make(map[lavcrash.Trait]bool),
		stored:        make(map[lavcrash.Trait]bool),
	}
}

// Blocked implements lavrelay.Suspects.
func (s *crashTracker) Blocked(c *lavrelay.Call) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, blocked := s.attribution.Blocked(time.Now(), c.Traits)
	if !blocked {
		return "", false
	}
	return b.Trait.Kind.String() + " " + b.Trait.ID, true
}

// ConnectionLost implements lavrelay.Suspects. A response may be lost for many reasons.
// The endpoint counts as crashed only if a new connection to it fails.
func (s *crashTracker) ConnectionLost(c *lavrelay.Call, e lavconfig.Endpoint) {
	s.logger.Warn().Str("Request", c.ID).Strs("Segments", c.PromptSegments).Str("Endpoint", e.ID).Msg("connection lost with a request")
	s.mu.Lock()
	defer s.mu.Unlock()
	traits, probing := s.lost[e.Incarnation()]
	s.lost[e.Incarnation()] = append(traits, c.Traits...)
	if !probing {
		s.probes.Go(func() { s.probe(e) })
	}
}

// Completed implements lavrelay.Suspects. It informs the peers if the request's
// traits were suspected of a crash.
func (s *crashTracker) Completed(c *lavrelay.Call) {
	s.mu.Lock()
	cleared := s.attribution.RecordCompletion(time.Now(), c.Traits)
	s.logBlocks()
	s.mu.Unlock()
	if len(cleared) > 0 {
		s.broadcast(crashMessage{Completed: cleared})
	}
}

// Answered implements lavrelay.Suspects. An endpoint that answers a request
// that was sent after its crash has not crashed: this host could not reach it.
func (s *crashTracker) Answered(e lavconfig.Endpoint, sentAt time.Time) {
	life := e.Incarnation()
	s.mu.Lock()
	crashedAt, crashed := s.attribution.CrashedAt(life)
	retract := crashed && sentAt.After(crashedAt)
	if retract {
		s.recordAlive(life)
	}
	s.mu.Unlock()
	if retract {
		s.metrics.retracted.Inc(1)
		s.logger.Info().Str("Endpoint", e.ID).Msg("endpoint has not crashed")
		s.broadcast(crashMessage{Alive: &life})
	}
}

// Wait returns once no connection attempt is in progress. Each one has a
// timeout.
func (s *crashTracker) Wait() { s.probes.Wait() }

// probe tries to connect to an endpoint and reports a crash if that fails.
func (s *crashTracker) probe(e lavconfig.Endpoint) {
	time.Sleep(probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), lavconn.DialTimeout)
	defer cancel()
	connection, err := s.dial(ctx, e.Address)
	s.mu.Lock()
	traits := s.lost[e.Incarnation()]
	delete(s.lost, e.Incarnation())
	s.mu.Unlock()
	if err != nil {
		s.reportCrash(e, traits)
		return
	}
	// The connection serves only to show that the endpoint is running.
	_ = connection.Close()
}

// reportCrash records that an endpoint crashed with some requests, and informs
// the peers.
func (s *crashTracker) reportCrash(e lavconfig.Endpoint, traits []lavcrash.Trait) {
	s.metrics.crashes.Inc(1)
	s.logger.Warn().Str("Endpoint", e.ID).Int("Traits", len(traits)).Msg("endpoint crashed")
	r := lavcrash.Report{Endpoint: e.Incarnation(), Traits: traits}
	s.recordCrash(r, true)
	s.broadcast(crashMessage{Crash: &r})
}

// recordCrash records a crash that this host or a peer has observed.
func (s *crashTracker) recordCrash(r lavcrash.Report, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attribution.RecordCrash(time.Now(), r)
	for _, t := range s.logBlocks() {
		s.reported[t] = own
	}
}

// recordAlive drops the crash of an endpoint. The caller holds the lock.
func (s *crashTracker) recordAlive(life lavconfig.Incarnation) {
	s.attribution.RecordAlive(time.Now(), life)
	s.logBlocks()
}

func (s *crashTracker) broadcast(m crashMessage) {
	if _, err := s.mesh.Broadcast(lavmesh.TopicCrash, m); err != nil {
		s.logger.Warn().Err(err).Msg("failed to send crash to peers")
	}
}

// handleMessage records what a peer observed.
func (s *crashTracker) handleMessage(_ context.Context, _ string, body []byte) (any, error) {
	var m crashMessage
	if err := lavmesh.Decode(body, &m); err != nil {
		return nil, err
	}
	if m.Crash != nil {
		s.recordCrash(*m.Crash, false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(m.Completed) > 0 {
		s.attribution.RecordCompletion(time.Now(), m.Completed)
		s.logBlocks()
	}
	if m.Alive != nil {
		s.recordAlive(*m.Alive)
	}
	return nil, nil
}

// currentBlocks returns the blocks in force.
func (s *crashTracker) currentBlocks() []lavcrash.Block {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attribution.Blocks(time.Now())
}

// addBlocks adds blocks that a peer or the store reports.
func (s *crashTracker) addBlocks(blocks ...lavcrash.Block) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range blocks {
		s.attribution.AddBlock(time.Now(), b)
	}
	s.logBlocks()
}

// removeBlock ends a block that was removed from the store.
func (s *crashTracker) removeBlock(t lavcrash.Trait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attribution.RecordCompletion(time.Now(), []lavcrash.Trait{t})
	s.logBlocks()
}

// logBlocks logs the blocks that have begun or ended, and signals their change. It
// returns the traits that are newly blocked. The caller holds the lock.
func (s *crashTracker) logBlocks() []lavcrash.Trait {
	var begun []lavcrash.Trait
	now := make(map[lavcrash.Trait]bool)
	for _, b := range s.attribution.Blocks(time.Now()) {
		now[b.Trait] = true
		if !s.blocked[b.Trait] {
			begun = append(begun, b.Trait)
			s.logger.Warn().Str("Kind", b.Trait.Kind.String()).Str("ID", b.Trait.ID).Time("Until", b.Until).Msg("blocked what crashes endpoints")
		}
	}
	for t := range s.blocked {
		if !now[t] {
			delete(s.reported, t)
			s.logger.Info().Str("Kind", t.Kind.String()).Str("ID", t.ID).Msg("unblocked")
		}
	}
	changed := len(begun) > 0 || len(now) != len(s.blocked)
	s.blocked = now
	s.metrics.blocks.Update(float64(len(now)))
	if changed {
		select {
		case s.blocksChanged <- struct{}{}:
		default:
		}
	}
	return begun
}
