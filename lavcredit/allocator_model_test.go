package lavcredit_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavcredit"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// Sizes of the modelled endpoint.
const (
	modelLimit       = 1_000
	modelHolders     = 3
	modelEndpoint    = "engine"
	modelIncarnation = "incarnation-1"
)

// creditSystem models a cold endpoint, its owner's allocator and its holders, in
// the same way as spec/credit.pml. Its clock is virtual.
type creditSystem struct {
	now        time.Time
	allocator  *lavcredit.Allocator
	claim      lavcredit.Claim
	status     lavcredit.EndpointStatus
	holders    [modelHolders]creditHolder
	maxRunning int
}

// creditHolder models a host that begins work under an allowance.
type creditHolder struct {
	allowance int
	expires   time.Time
	running   int
}

func newCreditSystem() *creditSystem {
	s := &creditSystem{now: time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)}
	s.changeOwner()
	// Skip the first owner's wait for earlier grants to expire. Later owners have
	// to wait.
	s.now = s.now.Add(time.Minute)
	s.takeReport()
	return s
}

func (s *creditSystem) running() int {
	total := 0
	for _, h := range s.holders {
		total += h.running
	}
	return total
}

// changeOwner replaces the owner. The new owner doesn't know the allowances that
// the holders still have.
func (s *creditSystem) changeOwner() {
	s.allocator = lavcredit.NewAllocator()
	s.claim = lavcredit.Claim{Fence: s.claim.Fence + 1, Since: s.now, Until: s.now.Add(time.Hour)}
}

func (s *creditSystem) takeReport() {
	s.status = lavcredit.EndpointStatus{Incarnation: modelIncarnation, Limit: modelLimit, Cold: true, Running: s.running(), Taken: s.now, Holders: modelHolders}
}

// renew renews a holder's allowance. If the reply is lost, the holder keeps the
// allowance that it has.
func (s *creditSystem) renew(i, want int, lost bool) {
	h := &s.holders[i]
	if s.now.After(h.expires) {
		h.allowance = 0
	}
	ask := lavcredit.Ask{Endpoint: modelEndpoint, Incarnation: modelIncarnation, Have: h.allowance, Used: h.running, Want: h.running + want}
	grant := s.allocator.Grant(s.now, fmt.Sprint("host-", i), ask, s.status, s.claim)
	if !lost {
		h.allowance, h.expires = grant.Tokens, s.now.Add(lavcredit.GrantTTL)
	}
}

// beginWork begins as much work as the holder's allowance permits.
func (s *creditSystem) beginWork(i int) {
	h := &s.holders[i]
	if s.now.Before(h.expires) && h.allowance > h.running {
		h.running = h.allowance
	}
	s.maxRunning = max(s.maxRunning, s.running())
}

// creditCommand is one command of a random sequence. Its kinds are listed in
// String.
type creditCommand struct{ kind, holder, size int }

// String describes the command in a counterexample.
func (c *creditCommand) String() string {
	return fmt.Sprintf("%s holder %d size %d", [...]string{"renew", "renew, reply lost", "begin work", "end work", "take report", "advance clock", "change owner"}[c.kind], c.holder, c.size)
}

// Run implements commands.Command.
func (c *creditCommand) Run(system commands.SystemUnderTest) commands.Result {
	s := system.(*creditSystem)
	switch c.kind {
	case 0, 1:
		s.renew(c.holder, 100*c.size, c.kind == 1)
	case 2:
		s.beginWork(c.holder)
	case 3:
		s.holders[c.holder].running = 0
	case 4:
		s.takeReport()
	case 5:
		s.now = s.now.Add(time.Duration(c.size) * 200 * time.Millisecond)
	case 6:
		s.changeOwner()
	}
	return s.maxRunning
}

// NextState implements commands.Command. The property depends only on results, so
// there is no model state to update.
func (c *creditCommand) NextState(state commands.State) commands.State { return state }

// PreCondition implements commands.Command.
func (c *creditCommand) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command.
func (c *creditCommand) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	return gopter.NewPropResult(result.(int) <= modelLimit, fmt.Sprintf("%v: %d tokens ran at an endpoint with a limit of %d", c, result, modelLimit))
}

// TestAllocatorCommands checks the invariant of spec/credit.pml on the allocator
// with random sequences of commands: whatever replies are lost and however often
// the owner changes, a cold endpoint never runs more tokens than its limit.
func TestAllocatorCommands(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests, parameters.MaxSize = 1_000, 60
	properties := gopter.NewProperties(parameters)
	sequencesWithWork := 0
	properties.Property("a cold endpoint never runs more tokens than its limit", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newCreditSystem() },
		DestroySystemUnderTestFunc: func(system commands.SystemUnderTest) {
			if system.(*creditSystem).maxRunning > 0 {
				sequencesWithWork++
			}
		},
		InitialStateGen: gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.IntRange(0, 7*modelHolders*10-1).Map(func(n int) commands.Command {
				return &creditCommand{kind: n % 7, holder: n / 7 % modelHolders, size: 1 + n/(7*modelHolders)}
			})
		},
	}))
	properties.TestingRun(t)
	if sequencesWithWork < parameters.MinSuccessfulTests/10 {
		t.Errorf("work began in only %d command sequences", sequencesWithWork)
	}
}
