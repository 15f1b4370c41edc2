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
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// dialDelay is the time between the loss of a response and the attempt to
// connect that shows whether the endpoint is still running. Further requests
// that are lost in this time are part of the same report.
const dialDelay = 30 * time.Millisecond

// answerConfirmTime is how long after an answer the store must still name the incarnation that is
// said to have crashed. An endpoint that has started again under its ID says so within a few of its
// heartbeats, and an endpoint that is silent for that long is no longer listed.
const answerConfirmTime = 5 * time.Second

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
	// dials counts the connection attempts in progress.
	dials sync.WaitGroup

	mu          sync.Mutex
	attribution *lavcrash.Attribution
	// lost are the traits of the requests that were lost with each endpoint
	// that is being probed.
	lost map[lavconfig.Incarnation][]lavcrash.Trait
	// answered is when endpoints first answered after their crash, which may have been those that
	// started again under their IDs.
	answered map[lavconfig.Incarnation]time.Time
	// isCurrent reports whether the store names an incarnation as the one that runs, as far as
	// this host knows what the store says now.
	isCurrent func(life lavconfig.Incarnation) bool
	// blocked are the traits that were blocked when the blocks were last logged, and
	// byOwnReport those of them that a report of this host led to.
	blocked, byOwnReport map[lavcrash.Trait]bool
	// stored are the revisions of the blocks that the store has.
	stored map[lavcrash.Trait]lavstore.Revision
	// probes lets blocked requests through.
	probes *probeClaims
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
		answered:      make(map[lavconfig.Incarnation]time.Time),
		isCurrent:     func(lavconfig.Incarnation) bool { return false },
		blocked:       make(map[lavcrash.Trait]bool),
		byOwnReport:   make(map[lavcrash.Trait]bool),
		stored:        make(map[lavcrash.Trait]lavstore.Revision),
		probes:        newProbeClaims(nil, logger, s),
	}
}

// Blocked implements lavrelay.Suspects.
func (c *crashTracker) Blocked(call *lavrelay.Call) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, blocked := c.attribution.Blocked(time.Now(), call.Traits)
	if !blocked {
		return "", false
	}
	return b.Trait.Kind.String() + " " + b.Trait.ID, true
}

// ConnectionLost implements lavrelay.Suspects. A response may be lost for many reasons.
// The endpoint counts as crashed only if a new connection to it fails.
func (c *crashTracker) ConnectionLost(call *lavrelay.Call, e lavconfig.Endpoint, survived bool) {
	c.logger.Warn().Str("Request", call.ID).Strs("Segments", call.PromptSegments).Str("Endpoint", e.ID).Msg("connection lost with a request")
	if survived {
		// An endpoint crashes when it begins to run a request that crashes it.
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	traits, dialling := c.lost[e.Incarnation()]
	c.lost[e.Incarnation()] = append(traits, call.Traits...)
	if !dialling {
		c.dials.Go(func() { c.checkRunning(e) })
	}
}

// Survived implements lavrelay.Suspects. It says as much for a request as its completion.
func (c *crashTracker) Survived(call *lavrelay.Call) { c.Completed(call) }

// Completed implements lavrelay.Suspects. It informs the peers if the request's
// traits were suspected of a crash.
func (c *crashTracker) Completed(call *lavrelay.Call) {
	c.mu.Lock()
	cleared := c.attribution.RecordCompletion(time.Now(), call.Traits)
	c.updateBlocks()
	c.mu.Unlock()
	if len(cleared) > 0 {
		c.broadcast(crashMessage{Completed: cleared})
	}
}

// Answered implements lavrelay.Suspects. An endpoint that answers a request
// that was sent after its crash has not crashed, and this host could not reach it,
// unless it has started again under its ID.
func (c *crashTracker) Answered(e lavconfig.Endpoint, sentAt time.Time) {
	life := e.Incarnation()
	c.mu.Lock()
	defer c.mu.Unlock()
	crashedAt, crashed := c.attribution.CrashedAt(life)
	if _, known := c.answered[life]; crashed && !known && sentAt.After(crashedAt) {
		c.answered[life] = sentAt
	}
}

// retractAnswered drops the crashes of endpoints that have answered since and that have not started
// again, and informs the peers.
func (c *crashTracker) retractAnswered() {
	now := time.Now()
	c.mu.Lock()
	var due []lavconfig.Incarnation
	for life, at := range c.answered {
		if now.Sub(at) >= answerConfirmTime {
			due = append(due, life)
			delete(c.answered, life)
		}
	}
	c.mu.Unlock()
	for _, life := range due {
		if c.isCurrent(life) {
			c.retract(life)
		}
	}
}

// retract drops the crash of an endpoint that has not crashed.
func (c *crashTracker) retract(life lavconfig.Incarnation) {
	c.mu.Lock()
	c.recordAlive(life)
	c.mu.Unlock()
	c.metrics.retracted.Inc(1)
	c.logger.Info().Str("Endpoint", life.ID).Msg("endpoint has not crashed")
	c.broadcast(crashMessage{Alive: &life})
}

// Wait returns once no connection attempt is in progress. Each one has a
// timeout.
func (c *crashTracker) Wait() { c.dials.Wait() }

// checkRunning tries to connect to an endpoint and reports a crash if that fails.
func (c *crashTracker) checkRunning(e lavconfig.Endpoint) {
	time.Sleep(dialDelay)
	ctx, cancel := context.WithTimeout(context.Background(), lavconn.DialTimeout)
	defer cancel()
	connection, err := c.dial(ctx, e.Address)
	c.mu.Lock()
	traits := c.lost[e.Incarnation()]
	delete(c.lost, e.Incarnation())
	c.mu.Unlock()
	if err != nil {
		c.reportCrash(e, traits)
		return
	}
	// The connection serves only to show that the endpoint is running.
	_ = connection.Close()
}

// reportCrash records that an endpoint crashed with some requests, and informs
// the peers.
func (c *crashTracker) reportCrash(e lavconfig.Endpoint, traits []lavcrash.Trait) {
	c.metrics.crashes.Inc(1)
	c.logger.Warn().Str("Endpoint", e.ID).Int("Traits", len(traits)).Msg("endpoint crashed")
	r := lavcrash.Report{Endpoint: e.Incarnation(), Traits: traits}
	c.recordCrash(r, true)
	c.broadcast(crashMessage{Crash: &r})
}

// recordCrash records a crash that this host or a peer has observed.
func (c *crashTracker) recordCrash(r lavcrash.Report, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.answered, r.Endpoint)
	c.attribution.RecordCrash(time.Now(), r)
	for _, t := range c.updateBlocks() {
		c.byOwnReport[t] = own
	}
}

// recordAlive drops the crash of an endpoint. The caller holds the lock.
func (c *crashTracker) recordAlive(life lavconfig.Incarnation) {
	c.attribution.RecordAlive(time.Now(), life)
	c.updateBlocks()
}

func (c *crashTracker) broadcast(m crashMessage) {
	if _, err := c.mesh.Broadcast(lavmesh.TopicCrash, m); err != nil {
		c.logger.Warn().Err(err).Msg("failed to send crash to peers")
	}
}

// handleMessage records what a peer observed.
func (c *crashTracker) handleMessage(_ context.Context, _ string, body []byte) (any, error) {
	var m crashMessage
	if err := lavmesh.Decode(body, &m); err != nil {
		return nil, err
	}
	if m.Crash != nil {
		c.recordCrash(*m.Crash, false)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(m.Completed) > 0 {
		c.attribution.RecordCompletion(time.Now(), m.Completed)
		c.updateBlocks()
	}
	if m.Alive != nil {
		c.recordAlive(*m.Alive)
	}
	return nil, nil
}

// currentBlocks returns the blocks in force.
func (c *crashTracker) currentBlocks() []lavcrash.Block {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attribution.Blocks(time.Now())
}

// addBlocks adds blocks that a peer or the store reports.
func (c *crashTracker) addBlocks(blocks ...lavcrash.Block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range blocks {
		c.attribution.AddBlock(time.Now(), b)
	}
	c.updateBlocks()
}

// removeBlock ends a block that was removed from the store.
func (c *crashTracker) removeBlock(t lavcrash.Trait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attribution.RecordCompletion(time.Now(), []lavcrash.Trait{t})
	c.updateBlocks()
}

// updateBlocks logs the blocks that have begun or ended, and signals their change. It
// returns the traits that are newly blocked. The caller holds the lock.
func (c *crashTracker) updateBlocks() []lavcrash.Trait {
	var begun []lavcrash.Trait
	now := make(map[lavcrash.Trait]bool)
	for _, b := range c.attribution.Blocks(time.Now()) {
		now[b.Trait] = true
		if !c.blocked[b.Trait] {
			begun = append(begun, b.Trait)
			c.logger.Warn().Str("Kind", b.Trait.Kind.String()).Str("ID", b.Trait.ID).Time("Until", b.Until).Msg("blocked what crashes endpoints")
		}
	}
	for t := range c.blocked {
		if !now[t] {
			delete(c.byOwnReport, t)
			c.logger.Info().Str("Kind", t.Kind.String()).Str("ID", t.ID).Msg("unblocked")
		}
	}
	c.probes.forget(now)
	changed := len(begun) > 0 || len(now) != len(c.blocked)
	c.blocked = now
	c.metrics.blocks.Update(float64(len(now)))
	if changed {
		select {
		case c.blocksChanged <- struct{}{}:
		default:
		}
	}
	return begun
}
