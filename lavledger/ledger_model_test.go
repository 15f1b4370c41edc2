package lavledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavrequest"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// told is what a caller of Run was told.
type told int

const (
	toldDone told = iota
	toldNotRun
	toldUnknown
)

func toldOf(result lavledger.Result, err error) told {
	switch {
	case errors.Is(err, lavledger.ErrUncertain):
		return toldUnknown
	case errors.Is(err, lavledger.ErrNotClaimed):
		return toldNotRun
	case err != nil:
		return toldUnknown
	case result.Outcome == lavrequest.OutcomeDone:
		return toldDone
	case result.Outcome == lavrequest.OutcomeNotRun:
		return toldNotRun
	default:
		return toldUnknown
	}
}

// onceModel is a call that runs at most once: its state says whether it has
// run. Done makes it run or finds that it has; NotRun is true only of one that
// has not; Unknown may have run it or not.
func onceModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[string][]porcupine.Operation)
			for _, o := range history {
				byKey[o.Input.(string)] = append(byKey[o.Input.(string)], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{false} },
		Step: func(state, _, output any) []any {
			switch output.(told) {
			case toldDone:
				return []any{true}
			case toldNotRun:
				if state.(bool) {
					return nil
				}
				return []any{false}
			default:
				return []any{state, true}
			}
		},
	}
	return model.ToModel()
}

// TestLinearizable runs calls at three hosts at once while the store fails and
// mends, and looks for an order of them that explains what each was told.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	store := lavfake.NewStore()
	var mu sync.Mutex
	var history []porcupine.Operation
	runs := make(map[string]int)
	began := time.Now()
	var hosts []*lavledger.Ledger
	for range 3 {
		hosts = append(hosts, lavledger.New(store))
	}
	var callers sync.WaitGroup
	for client := range 6 {
		own := rand.New(rand.NewPCG(seed, uint64(client)+10))
		callers.Go(func() {
			for range 6 {
				key := fmt.Sprint("key-", own.IntN(5))
				host := hosts[own.IntN(len(hosts))]
				time.Sleep(time.Duration(own.IntN(400)) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				called := time.Since(began)
				result, err := host.Run(ctx, lavledger.Call{Customer: "till", Key: key, Fingerprint: 7}, func(context.Context) (lavledger.Answer, error) {
					mu.Lock()
					runs[key]++
					mu.Unlock()
					time.Sleep(30 * time.Millisecond)
					return lavledger.Answer{Status: 200, Body: []byte(key)}, nil
				})
				cancel()
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: key, Output: toldOf(result, err), Call: int64(called), Return: int64(time.Since(began))})
				mu.Unlock()
			}
		})
	}
	for range 8 {
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		store.SetFaults(faultOf(random.IntN(4)))
	}
	store.SetFaults(lavfake.StoreFaults{})
	callers.Wait()
	for _, h := range hosts {
		lavassert.NoError(t, h.Flush(t.Context()))
	}
	for key, n := range runs {
		lavassert.AtMost(t, "runs of "+key, n, 1)
	}
	lavassert.True(t, "the history is linearizable", porcupine.CheckOperations(onceModel(), history))
}

// faultOf numbers the faults of a store.
func faultOf(i int) lavfake.StoreFaults {
	return []lavfake.StoreFaults{
		{},
		{Down: true},
		{LoseReplies: true},
		{LateWrites: 400 * time.Millisecond},
	}[i]
}

// ledgerSystem is two hosts' ledgers, with what their endpoint counted.
type ledgerSystem struct {
	ctx   context.Context
	store *lavfake.Store
	hosts []*lavledger.Ledger
	runs  map[string]int
}

// ledgerCall calls a key at a host while the store has a fault.
type ledgerCall struct{ key, host, fault int }

// String names the command in a counterexample.
func (c *ledgerCall) String() string { return fmt.Sprintf("%+v", *c) }

// Run implements commands.Command.
func (c *ledgerCall) Run(sut commands.SystemUnderTest) commands.Result {
	s, key := sut.(*ledgerSystem), fmt.Sprint("key-", c.key)
	s.store.SetFaults(faultOf(c.fault))
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	result, err := s.hosts[c.host].Run(ctx, lavledger.Call{Customer: "till", Key: key, Fingerprint: 7}, func(context.Context) (lavledger.Answer, error) {
		s.runs[key]++
		return lavledger.Answer{Status: 200, Body: []byte(fmt.Sprint(key, " run ", s.runs[key]))}, nil
	})
	s.store.SetFaults(lavfake.StoreFaults{})
	return ledgerResult{told: toldOf(result, err), body: string(result.Answer.Body), runs: s.runs[key]}
}

type ledgerResult struct {
	told told
	body string
	runs int
}

// NextState implements commands.Command: the state is the set of keys that
// were told Done.
func (c *ledgerCall) NextState(state commands.State) commands.State { return state }

// PreCondition implements commands.Command.
func (c *ledgerCall) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command: the transitions of the model in
// spec/ledger.pml.
func (c *ledgerCall) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	r := result.(ledgerResult)
	first := fmt.Sprintf("key-%d run 1", c.key)
	holds := r.runs <= 1 &&
		(r.told != toldDone || r.runs == 1 && r.body == first) &&
		(r.told != toldNotRun || r.runs == 0) &&
		(c.fault != 0 || r.told != toldNotRun)
	return gopter.NewPropResult(holds, fmt.Sprintf("%v gave %+v", c, r))
}

// TestLedgerCommands holds the ledger to the transitions of its model.
func TestLedgerCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parameters := gopter.DefaultTestParametersWithSeed(11)
		parameters.MinSuccessfulTests, parameters.MaxSize = 60, 30
		properties := gopter.NewProperties(parameters)
		properties.Property("a call runs at most once and its callers are told the truth", commands.Prop(&commands.ProtoCommands{
			NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
				store := lavfake.NewStore()
				return &ledgerSystem{ctx: t.Context(), store: store, runs: make(map[string]int), hosts: []*lavledger.Ledger{lavledger.New(store), lavledger.New(store)}}
			},
			DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
				for _, h := range sut.(*ledgerSystem).hosts {
					lavassert.NoError(t, h.Flush(t.Context()))
				}
			},
			InitialStateGen: gen.Const(0),
			GenCommandFunc: func(commands.State) gopter.Gen {
				return gen.IntRange(0, 3*2*4-1).Map(func(n int) commands.Command {
					return &ledgerCall{key: n % 3, host: n / 3 % 2, fault: n / 6}
				})
			},
		}))
		properties.TestingRun(t)
	})
}

// peersOf is the Peers of ledgers that ask each other whether a call was seen.
type peersOf struct{ others func() []*lavledger.Ledger }

func (peersOf) Owner(int) string { return "" }

func (peersOf) Joined() bool { return true }

func (peersOf) Replicates(int) bool { return true }

func (peersOf) Commit(context.Context, string, lavledger.Op) (lavledger.Record, error) {
	return lavledger.Record{}, errors.New("there is no peer")
}

func (p peersOf) ConfirmUnclaimed(_ context.Context, key lavledger.CallKey, _ time.Time) bool {
	for _, l := range p.others() {
		if l.MayBeClaimed(key) {
			return false
		}
	}
	return true
}

// TestConcurrentResend sends a call again to another host, which gives up while
// the first still tries and then runs it.
func TestConcurrentResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := lavfake.NewStore()
		first := lavledger.New(store)
		second := lavledger.NewWithPeers(store, peersOf{others: func() []*lavledger.Ledger { return []*lavledger.Ledger{first} }})
		warm, cancel := context.WithCancel(t.Context())
		go func() { _ = second.Serve(warm) }()
		time.Sleep(10 * time.Second)
		cancel()
		run := func(l *lavledger.Ledger, timeout time.Duration) told {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return toldOf(l.Run(ctx, lavledger.Call{Customer: "till", Key: "k", Fingerprint: 7}, func(context.Context) (lavledger.Answer, error) {
				return lavledger.Answer{Status: 200}, nil
			}))
		}
		store.SetFaults(lavfake.StoreFaults{Down: true})
		ended := make(chan told, 1)
		go func() { ended <- run(first, 10*time.Second) }()
		time.Sleep(time.Second)
		told := run(second, 500*time.Millisecond)
		store.SetFaults(lavfake.StoreFaults{})
		lavassert.Equal(t, "first", <-ended, toldDone)
		lavassert.Equal(t, "second", told, toldUnknown)
		lavassert.NoError(t, first.Flush(t.Context()))
		lavassert.NoError(t, second.Flush(t.Context()))
	})
}
