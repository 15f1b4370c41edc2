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

// callResult is what Run reported to its caller about a call.
type callResult int

const (
	resultDone callResult = iota
	resultNotRun
	resultUnknown
)

func callResultOf(result lavledger.Result, err error) callResult {
	switch {
	case errors.Is(err, lavledger.ErrUncertain):
		return resultUnknown
	case errors.Is(err, lavledger.ErrNotClaimed):
		return resultNotRun
	case err != nil:
		return resultUnknown
	case result.Outcome == lavrequest.OutcomeDone:
		return resultDone
	case result.Outcome == lavrequest.OutcomeNotRun:
		return resultNotRun
	default:
		return resultUnknown
	}
}

// atMostOnceModel is the sequential specification of a call that runs at most
// once. Its state is whether the call has run. The result Done means that the
// call has run now or earlier. NotRun means that it has not run. After Unknown
// it may or may not have run.
func atMostOnceModel() porcupine.Model {
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
			switch output.(callResult) {
			case resultDone:
				return []any{true}
			case resultNotRun:
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

// TestLinearizable runs calls concurrently at three hosts while the store fails
// and recovers. It checks that the results are consistent with a sequential
// order of the calls.
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
	start := time.Now()
	var hosts []*lavledger.Ledger
	for range 3 {
		hosts = append(hosts, lavledger.New(store))
	}
	var clients sync.WaitGroup
	for client := range 6 {
		clientRandom := rand.New(rand.NewPCG(seed, uint64(client)+10))
		clients.Go(func() {
			for range 6 {
				key := fmt.Sprint("key-", clientRandom.IntN(5))
				host := hosts[clientRandom.IntN(len(hosts))]
				time.Sleep(time.Duration(clientRandom.IntN(400)) * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				calledAt := time.Since(start)
				result, err := host.Run(ctx, lavledger.Call{Customer: "till", Key: key, Fingerprint: 7}, func(context.Context) (lavledger.Answer, error) {
					mu.Lock()
					runs[key]++
					mu.Unlock()
					time.Sleep(30 * time.Millisecond)
					return lavledger.Answer{Status: 200, Body: []byte(key)}, nil
				})
				cancel()
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: key, Output: callResultOf(result, err), Call: int64(calledAt), Return: int64(time.Since(start))})
				mu.Unlock()
			}
		})
	}
	for range 8 {
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		store.SetFaults(storeFault(random.IntN(4)))
	}
	store.SetFaults(lavfake.StoreFaults{})
	clients.Wait()
	for _, h := range hosts {
		lavassert.NoError(t, h.Flush(t.Context()))
	}
	for key, n := range runs {
		lavassert.AtMost(t, "runs of "+key, n, 1)
	}
	lavassert.True(t, "the history is linearizable", porcupine.CheckOperations(atMostOnceModel(), history))
}

// storeFault returns the i-th of the faults that the tests inject into a store.
func storeFault(i int) lavfake.StoreFaults {
	return []lavfake.StoreFaults{
		{},
		{Down: true},
		{LoseReplies: true},
		{LateWriteDelay: 400 * time.Millisecond},
	}[i]
}

// ledgerSystem is the ledgers of two hosts on one store. The field runs counts how often
// the endpoint ran the call of each key.
type ledgerSystem struct {
	ctx   context.Context
	store *lavfake.Store
	hosts []*lavledger.Ledger
	runs  map[string]int
}

// ledgerCall is a command that runs the call of a key at a host while the store
// has a fault.
type ledgerCall struct{ key, host, fault int }

// String returns the command's description in a counterexample.
func (c *ledgerCall) String() string { return fmt.Sprintf("%+v", *c) }

// Run implements commands.Command.
func (c *ledgerCall) Run(sut commands.SystemUnderTest) commands.Result {
	s, key := sut.(*ledgerSystem), fmt.Sprint("key-", c.key)
	s.store.SetFaults(storeFault(c.fault))
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	result, err := s.hosts[c.host].Run(ctx, lavledger.Call{Customer: "till", Key: key, Fingerprint: 7}, func(context.Context) (lavledger.Answer, error) {
		s.runs[key]++
		return lavledger.Answer{Status: 200, Body: []byte(fmt.Sprint(key, " run ", s.runs[key]))}, nil
	})
	s.store.SetFaults(lavfake.StoreFaults{})
	return ledgerResult{reported: callResultOf(result, err), body: string(result.Answer.Body), runs: s.runs[key]}
}

// ledgerResult is the result of a ledgerCall, with the number of runs of its
// key.
type ledgerResult struct {
	reported callResult
	body     string
	runs     int
}

// NextState implements commands.Command. The model has no state besides the
// counted runs.
func (c *ledgerCall) NextState(state commands.State) commands.State { return state }

// PreCondition implements commands.Command.
func (c *ledgerCall) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command. It checks the transitions of the
// model in spec/ledger.pml.
func (c *ledgerCall) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	r := result.(ledgerResult)
	first := fmt.Sprintf("key-%d run 1", c.key)
	holds := r.runs <= 1 &&
		(r.reported != resultDone || r.runs == 1 && r.body == first) &&
		(r.reported != resultNotRun || r.runs == 0) &&
		(c.fault != 0 || r.reported != resultNotRun)
	return gopter.NewPropResult(holds, fmt.Sprintf("%v gave %+v", c, r))
}

// TestLedgerCommands runs random sequences of calls and faults and checks each
// result against the transitions of the ledger's model.
func TestLedgerCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parameters := gopter.DefaultTestParametersWithSeed(11)
		parameters.MinSuccessfulTests, parameters.MaxSize = 60, 30
		properties := gopter.NewProperties(parameters)
		properties.Property("a call runs at most once and its reported results are correct", commands.Prop(&commands.ProtoCommands{
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

// queryPeers implements Peers for ledgers that ask each other whether a call
// was claimed.
type queryPeers struct{ others func() []*lavledger.Ledger }

func (queryPeers) Owner(int) string { return "" }

func (queryPeers) Joined() bool { return true }

func (queryPeers) Replicates(int) bool { return true }

func (queryPeers) Commit(context.Context, string, lavledger.Op) (lavledger.Record, error) {
	return lavledger.Record{}, errors.New("peer can't be reached")
}

func (p queryPeers) ConfirmUnclaimed(_ context.Context, key lavledger.CallKey, _ time.Time) bool {
	for _, l := range p.others() {
		if l.MayBeClaimed(key) {
			return false
		}
	}
	return true
}

// TestConcurrentResend repeats a call at a second host while the first host
// still tries to claim it. The second host gives up before the first one runs
// the call, so it must report Unknown instead of NotRun.
func TestConcurrentResend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := lavfake.NewStore()
		first := lavledger.New(store)
		second := lavledger.NewWithPeers(store, queryPeers{others: func() []*lavledger.Ledger { return []*lavledger.Ledger{first} }})
		refreshCtx, cancel := context.WithCancel(t.Context())
		go func() { _ = second.Serve(refreshCtx) }()
		time.Sleep(10 * time.Second)
		cancel()
		run := func(l *lavledger.Ledger, timeout time.Duration) callResult {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return callResultOf(l.Run(ctx, lavledger.Call{Customer: "till", Key: "k", Fingerprint: 7}, func(context.Context) (lavledger.Answer, error) {
				return lavledger.Answer{Status: 200}, nil
			}))
		}
		store.SetFaults(lavfake.StoreFaults{Down: true})
		firstResult := make(chan callResult, 1)
		go func() { firstResult <- run(first, 10*time.Second) }()
		time.Sleep(time.Second)
		secondResult := run(second, 500*time.Millisecond)
		store.SetFaults(lavfake.StoreFaults{})
		lavassert.Equal(t, "result at the first host", <-firstResult, resultDone)
		lavassert.Equal(t, "result at the second host", secondResult, resultUnknown)
		lavassert.NoError(t, first.Flush(t.Context()))
		lavassert.NoError(t, second.Flush(t.Context()))
	})
}
