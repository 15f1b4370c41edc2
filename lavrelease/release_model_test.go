package lavrelease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"

	"github.com/anishathalye/porcupine"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// headOp is an operation on the head: it publishes a note with the given base,
// or reads the head if the note is empty.
type headOp struct {
	note string
	base lavrelease.Version
}

// headResult is the verdict on a published note, or the version that a read
// returned.
type headResult struct {
	verdict lavrelease.Verdict
	version lavrelease.Version
}

// headModel is the sequential specification of the release history. Its state
// lists the IDs of the published notes, joined by spaces, and the version is
// their number.
func headModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, output any) []any {
			notes := strings.Fields(state.(string))
			in, out := input.(headOp), output.(headResult)
			known := slices.Contains(notes, in.note)
			baseMatches := int(in.base) == len(notes)
			added := strings.Join(append(notes, in.note), " ")
			switch {
			case out.verdict == lavrelease.VerdictFailed:
				return []any{state}
			case in.note == "" && int(out.version) == len(notes), known && out.verdict == lavrelease.VerdictInForce:
				return []any{state}
			case in.note == "":
				return nil
			case out.verdict == lavrelease.VerdictInForce && baseMatches:
				return []any{added}
			case out.verdict == lavrelease.VerdictConflict && !known && !baseMatches:
				return []any{state}
			case out.verdict == lavrelease.VerdictUnknown && baseMatches && !known:
				return []any{state, added}
			case out.verdict == lavrelease.VerdictUnknown:
				return []any{state}
			default:
				return nil
			}
		},
	}
	return model.ToModel()
}

// TestLinearizable lets operators publish concurrently while replies are lost
// and the store is down at times. The recorded history of results must be
// linearizable.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
		})
	}
}

func raceOperators(t *testing.T, seed uint64) {
	store := lavfake.NewStore()
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, in headOp, operation func() headResult) headResult {
		called := time.Since(began)
		out := operation()
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(called), Return: int64(time.Since(began))})
		return out
	}
	var operators sync.WaitGroup
	for client := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		operators.Go(func() {
			for i := range 4 {
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				read := record(client, headOp{}, func() headResult {
					state, err := lavrelease.Load(t.Context(), store)
					if err != nil {
						return headResult{verdict: lavrelease.VerdictFailed}
					}
					return headResult{version: state.Version}
				})
				n := &lavrelease.Note{ID: fmt.Sprintf("note-%d-%d", client, i), Base: read.version}
				n.Add.Models = []lavrelease.Model{{Name: n.ID, Version: "1"}}
				for range 2 {
					record(client, headOp{note: n.ID, base: n.Base}, func() headResult {
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						defer cancel()
						_, err := lavrelease.Publish(ctx, store, n)
						return headResult{verdict: lavrelease.VerdictOf(err)}
					})
				}
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 99))
	for range 6 {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		store.SetFaults([]lavfake.StoreFaults{{}, {Down: true}, {LoseReplies: true}, {Delay: 50 * time.Millisecond}}[random.IntN(4)])
	}
	store.SetFaults(lavfake.StoreFaults{})
	operators.Wait()
	if !porcupine.CheckOperations(headModel(), history) {
		for _, o := range history {
			t.Logf("%d %+v %+v %v-%v", o.ClientId, o.Input, o.Output, time.Duration(o.Call), time.Duration(o.Return))
		}
		t.Error("the history is not linearizable")
	}
}

// adoptCommand offers a state of the given version to a follower.
type adoptCommand struct{ version lavrelease.Version }

// String describes the command in a counterexample.
func (a *adoptCommand) String() string { return fmt.Sprint("adopt ", a.version) }

// Run implements commands.Command.
func (a *adoptCommand) Run(sut commands.SystemUnderTest) commands.Result {
	f := sut.(*lavrelease.Follower)
	changed := f.Changed()
	state := &lavrelease.State{Version: a.version, NoteID: fmt.Sprint("note-", a.version)}
	for v := a.version - 1; v > 0; v-- {
		state.Recent = append(state.Recent, lavrelease.HistoryEntry{Version: v, ID: fmt.Sprint("note-", v)})
	}
	adopted := f.Adopt(context.Background(), state)
	select {
	case <-changed:
		return adoptionResult{adopted: adopted, notified: true, version: f.State().Version}
	default:
		return adoptionResult{adopted: adopted, version: f.State().Version}
	}
}

type adoptionResult struct {
	adopted, notified bool
	version           lavrelease.Version
}

// NextState implements commands.Command. The state is the version in force.
func (a *adoptCommand) NextState(state commands.State) commands.State {
	return max(state.(lavrelease.Version), a.version)
}

// PreCondition implements commands.Command.
func (a *adoptCommand) PreCondition(commands.State) bool { return true }

// PostCondition implements commands.Command. The state is the one that NextState
// returned.
func (a *adoptCommand) PostCondition(state commands.State, result commands.Result) *gopter.PropResult {
	r := result.(adoptionResult)
	holds := r.version == state.(lavrelease.Version) && r.adopted == r.notified && (!r.adopted || r.version == a.version)
	return gopter.NewPropResult(holds, fmt.Sprintf("%v gave %+v, want version %d", a, r, state))
}

// TestFollowerCommands checks a follower against the transitions in
// spec/release.pml.
func TestFollowerCommands(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	properties := gopter.NewProperties(parameters)
	properties.Property("a follower holds the highest version offered to it", commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			return lavrelease.NewFollower(lavfake.NewStore())
		},
		InitialStateGen: gen.Const(lavrelease.Version(0)),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.UInt64Range(1, 12).Map(func(v uint64) commands.Command { return &adoptCommand{version: lavrelease.Version(v)} })
		},
	}))
	properties.TestingRun(t)
}
