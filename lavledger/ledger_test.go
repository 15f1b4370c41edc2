package lavledger_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstep"

	"github.com/cockroachdb/errors"
)

// testSetup is a store, the ledgers of two hosts, and a simulated endpoint that
// counts how often it runs a call.
type testSetup struct {
	store *lavfake.Store
	a, b  *lavledger.Ledger
	runs  atomic.Int64
	// runDuration is how long the endpoint takes for a call. runErr is the
	// error that it returns.
	runDuration time.Duration
	runErr      error
}

// withSetup runs body with a new setup and waits until both ledgers are
// flushed.
func withSetup(t *testing.T, body func(t *testing.T, s *testSetup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := lavfake.NewStore()
		s := &testSetup{store: store, a: lavledger.New(store), b: lavledger.New(store), runDuration: 10 * time.Millisecond}
		body(t, s)
		lavassert.NoError(t, s.a.Flush(t.Context()))
		lavassert.NoError(t, s.b.Flush(t.Context()))
	})
}

// send is a SendFunc that runs the call at the endpoint.
func (s *testSetup) send(ctx context.Context) (lavledger.Answer, error) {
	s.runs.Add(1)
	select {
	case <-time.After(s.runDuration):
	case <-ctx.Done():
		return lavledger.Answer{}, ctx.Err()
	}
	return lavledger.Answer{Status: 200, Body: []byte("paid")}, s.runErr
}

// run runs the call with the key at ledger l, with a timeout.
func (s *testSetup) run(ctx context.Context, l *lavledger.Ledger, key string, timeout time.Duration) (lavledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.Run(ctx, lavledger.Call{Customer: "till", Key: key, Fingerprint: 7}, s.send)
}

// assertOutcome runs the call with the key at ledger l and checks its outcome.
func (s *testSetup) assertOutcome(t *testing.T, l *lavledger.Ledger, key string, want lavrequest.Outcome) lavledger.Result {
	t.Helper()
	result, err := s.run(t.Context(), l, key, 10*time.Second)
	lavassert.NoError(t, err)
	lavassert.Equal(t, "outcome of "+key, result.Outcome, want)
	return result
}

// withFaultAt returns a context in which the first call that reaches a step
// fails.
func withFaultAt(ctx context.Context, at lavstep.Step) context.Context {
	var once sync.Once
	return lavstep.WithFaultInjector(ctx, func(_ context.Context, step lavstep.Step, _ string) error {
		var err error
		if step == at {
			once.Do(func() { err = errors.New("fault") })
		}
		return err
	})
}

func TestOutcomes(t *testing.T) {
	t.Run("a repeated call gets the first answer at any host", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			first := s.assertOutcome(t, s.a, "k", lavrequest.OutcomeDone)
			lavassert.NoError(t, s.a.Flush(t.Context()))
			again := s.assertOutcome(t, s.b, "k", lavrequest.OutcomeDone)
			lavassert.Equal(t, "answer", again.Answer, first.Answer)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
	t.Run("a repeated call waits for the call in progress", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.runDuration = 3 * time.Second
			ended := make(chan lavledger.Result, 1)
			go func() {
				result, _ := s.run(t.Context(), s.a, "k", 10*time.Second)
				ended <- result
			}()
			time.Sleep(time.Second)
			s.assertOutcome(t, s.b, "k", lavrequest.OutcomeDone)
			lavassert.Equal(t, "first outcome", (<-ended).Outcome, lavrequest.OutcomeDone)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
	t.Run("a key reused for different content is rejected", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.assertOutcome(t, s.a, "k", lavrequest.OutcomeDone)
			_, err := s.b.Run(t.Context(), lavledger.Call{Customer: "till", Key: "k", Fingerprint: 8}, s.send)
			lavassert.ErrorIs(t, err, lavledger.ErrKeyReused)
		})
	})
	t.Run("a call whose answer was lost stays Unknown", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.runErr = errors.New("connection reset")
			s.assertOutcome(t, s.a, "k", lavrequest.OutcomeUnknown)
			s.assertOutcome(t, s.b, "k", lavrequest.OutcomeUnknown)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
	t.Run("a call that was not sent can run later", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.runErr = errors.Mark(errors.New("refused"), lavledger.ErrNotSent)
			s.assertOutcome(t, s.a, "k", lavrequest.OutcomeNotRun)
			s.runErr = nil
			s.assertOutcome(t, s.b, "k", lavrequest.OutcomeDone)
		})
	})
	t.Run("a long answer is stored truncated and marked", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			long := func(context.Context) (lavledger.Answer, error) {
				return lavledger.Answer{Status: 200, Body: []byte(strings.Repeat("x", 2*lavledger.MaxStoredBodyBytes))}, nil
			}
			call := lavledger.Call{Customer: "till", Key: "k", Fingerprint: 7}
			first, err := s.a.Run(t.Context(), call, long)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body bytes of the first answer", len(first.Answer.Body), 2*lavledger.MaxStoredBodyBytes)
			first.Answer.Body[0] = 'y'
			lavassert.NoError(t, s.a.Flush(t.Context()))
			known, err := s.a.Run(t.Context(), call, long)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "first byte that is stored, of another slice", string(known.Answer.Body[:1]), "x")
			again, err := s.b.Run(t.Context(), call, long)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "body bytes of the repeated answer", len(again.Answer.Body), lavledger.MaxStoredBodyBytes)
			lavassert.True(t, "marked as truncated", again.Answer.Truncated)
		})
	})
	t.Run("concurrent calls with one key at many hosts run once", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			var running sync.WaitGroup
			for range 40 {
				running.Go(func() {
					l := lavledger.New(s.store)
					result, err := s.run(t.Context(), l, "k", 20*time.Second)
					lavassert.NoError(t, l.Flush(t.Context()))
					if err != nil || result.Outcome != lavrequest.OutcomeDone {
						t.Errorf("outcome %v, error %v", result.Outcome, err)
					}
				})
			}
			running.Wait()
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
}

func TestFaults(t *testing.T) {
	t.Run("calls run once although the store's replies are lost", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			for i := range 5 {
				s.assertOutcome(t, s.a, fmt.Sprint("k", i), lavrequest.OutcomeDone)
				s.assertOutcome(t, s.b, fmt.Sprint("k", i), lavrequest.OutcomeDone)
			}
			lavassert.Equal(t, "runs", s.runs.Load(), int64(5))
		})
	})
	t.Run("an unavailable store causes a prompt refusal without a run", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.store.SetFaults(lavfake.StoreFaults{Down: true})
			start := time.Now()
			_, err := s.run(t.Context(), s.a, "k", time.Minute)
			lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
			lavassert.AtMost(t, "elapsed time", time.Since(start), 3*time.Second)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(0))
			s.store.SetFaults(lavfake.StoreFaults{})
			s.assertOutcome(t, s.b, "k", lavrequest.OutcomeDone)
		})
	})
	t.Run("a ledger can be closed while the store is down", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			l := lavledger.New(s.store)
			s.assertOutcome(t, l, "k", lavrequest.OutcomeDone)
			s.store.SetFaults(lavfake.StoreFaults{Down: true})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			start := time.Now()
			lavassert.ErrorIs(t, l.Close(ctx), context.DeadlineExceeded)
			lavassert.AtMost(t, "elapsed time", time.Since(start), 5*time.Second)
			_, err := s.run(t.Context(), l, "k2", time.Minute)
			lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
	t.Run("a host that has not joined the fleet refuses with an uncertain outcome", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			l := lavledger.NewWithPeers(s.store, notJoinedPeers{})
			_, err := s.run(t.Context(), l, "k", time.Minute)
			lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
			lavassert.ErrorIs(t, err, lavledger.ErrUncertain)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(0))
		})
	})
	t.Run("a store that is too slow for a claim causes a prompt refusal", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.store.SetFaults(lavfake.StoreFaults{Delay: 5 * time.Second})
			_, err := s.run(t.Context(), s.a, "k", time.Minute)
			lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
			s.store.SetFaults(lavfake.StoreFaults{})
			s.assertOutcome(t, s.b, "k", lavrequest.OutcomeDone)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
	t.Run("a claim that takes effect late is voided and doesn't block the call", func(t *testing.T) {
		for _, delay := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
			withSetup(t, func(t *testing.T, s *testSetup) {
				store := &delayedWriteStore{Store: s.store, delay: delay, until: time.Now().Add(4 * time.Second)}
				a := lavledger.New(store)
				_, err := s.run(t.Context(), a, "k", time.Minute)
				lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
				lavassert.Equal(t, "runs", s.runs.Load(), int64(0))
				time.Sleep(8 * time.Second)
				s.assertOutcome(t, s.b, "k", lavrequest.OutcomeDone)
				lavassert.NoError(t, a.Flush(t.Context()))
				lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
			})
		}
	})
	t.Run("a host that dies before committing the outcome leaves Unknown", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			result, err := s.run(withFaultAt(t.Context(), lavstep.LedgerSettle), s.a, "k", time.Second)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "outcome at the first host", result.Outcome, lavrequest.OutcomeDone)
			start := time.Now()
			s.assertOutcome(t, s.b, "k", lavrequest.OutcomeUnknown)
			lavassert.AtMost(t, "waiting time", time.Since(start), 8*time.Second)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
	t.Run("a call that fails before its claim or before it is sent has not run", func(t *testing.T) {
		for _, step := range []lavstep.Step{lavstep.LedgerClaim, lavstep.LedgerSend} {
			withSetup(t, func(t *testing.T, s *testSetup) {
				result, err := s.run(withFaultAt(t.Context(), step), s.a, "k", time.Second)
				if err == nil {
					lavassert.Equal(t, "outcome", result.Outcome, lavrequest.OutcomeNotRun)
				} else {
					lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
				}
				s.assertOutcome(t, s.b, "k", lavrequest.OutcomeDone)
				lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
			})
		}
	})
	t.Run("a waiting caller tolerates a failed read", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.runDuration = 2 * time.Second
			go func() { _, _ = s.run(t.Context(), s.a, "k", 10*time.Second) }()
			time.Sleep(time.Second)
			result, err := s.run(withFaultAt(t.Context(), lavstep.LedgerReadBack), s.b, "k", 10*time.Second)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "outcome", result.Outcome, lavrequest.OutcomeDone)
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
}

// TestOutageUncertainty checks that a call that fails while the store is
// unavailable has an uncertain outcome, unless this host has read the ledger
// and its peers confirm that no host has claimed the call.
func TestOutageUncertainty(t *testing.T) {
	run := func(t *testing.T, peers lavledger.Peers, follow bool) error {
		t.Helper()
		var err error
		withSetup(t, func(t *testing.T, s *testSetup) {
			l := lavledger.NewWithPeers(s.store, peers)
			ctx, cancel := context.WithCancel(t.Context())
			if follow {
				ended := make(chan error, 1)
				go func() { ended <- l.Serve(ctx) }()
				defer func() { lavassert.ErrorIs(t, <-ended, context.Canceled) }()
			}
			synctest.Wait()
			s.store.SetFaults(lavfake.StoreFaults{Down: true})
			_, err = s.run(t.Context(), l, "k", time.Minute)
			cancel()
			lavassert.NoError(t, l.Flush(t.Context()))
		})
		lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
		return err
	}
	t.Run("no host has claimed the call", func(t *testing.T) {
		lavassert.True(t, "the call has certainly not run", !errors.Is(run(t, unreachablePeers{unclaimed: true}, true), lavledger.ErrUncertain))
	})
	t.Run("a peer may have claimed the call", func(t *testing.T) {
		lavassert.ErrorIs(t, run(t, unreachablePeers{}, true), lavledger.ErrUncertain)
	})
	t.Run("this host has never read the ledger", func(t *testing.T) {
		lavassert.ErrorIs(t, run(t, unreachablePeers{unclaimed: true}, false), lavledger.ErrUncertain)
	})
	t.Run("a cached outcome is returned while the store is unavailable", func(t *testing.T) {
		withSetup(t, func(t *testing.T, s *testSetup) {
			s.assertOutcome(t, s.a, "k", lavrequest.OutcomeDone)
			s.store.SetFaults(lavfake.StoreFaults{Down: true})
			s.assertOutcome(t, s.a, "k", lavrequest.OutcomeDone)
			s.store.SetFaults(lavfake.StoreFaults{})
			lavassert.Equal(t, "runs", s.runs.Load(), int64(1))
		})
	})
}

func TestGroupCommitAndBounds(t *testing.T) {
	withSetup(t, func(t *testing.T, s *testSetup) {
		const hosts, perSecond, seconds = 7, 500, 30
		ledgers := []*lavledger.Ledger{lavledger.NewWithPeers(s.store, &forwardingPeers{})}
		for range hosts - 1 {
			ledgers = append(ledgers, lavledger.NewWithPeers(s.store, &forwardingPeers{first: ledgers[0]}))
		}
		var running sync.WaitGroup
		for i := range perSecond * seconds {
			running.Go(func() {
				result, err := s.run(t.Context(), ledgers[i%hosts], fmt.Sprint("k", i), 10*time.Second)
				if err != nil || result.Outcome != lavrequest.OutcomeDone {
					t.Errorf("outcome %v, error %v", result.Outcome, err)
				}
			})
			time.Sleep(time.Second / perSecond)
		}
		running.Wait()
		for _, l := range ledgers {
			lavassert.NoError(t, l.Flush(t.Context()))
		}
		reads, writes := s.store.Calls()
		calls := perSecond * seconds
		t.Logf("%d calls at %d hosts: %d writes, %d reads, %.3f writes a call", calls, hosts, writes, reads, float64(writes)/float64(calls))
		lavassert.Equal(t, "runs", s.runs.Load(), int64(calls))
		lavassert.AtMost(t, "writes", writes, calls/10)

		largest, total := s.storedBytes(t)
		t.Logf("%d bytes in the store, largest value %d", total, largest)
		lavassert.AtMost(t, "largest value", largest, 128<<10)

		// Calls after the retention period make the ledger delete expired records.
		time.Sleep(lavledger.OutcomeRetention + time.Minute)
		for i := range 64 {
			s.assertOutcome(t, ledgers[0], fmt.Sprint("late", i), lavrequest.OutcomeDone)
		}
		lavassert.NoError(t, ledgers[0].Flush(t.Context()))
		_, left := s.storedBytes(t)
		t.Logf("%d bytes left", left)
		lavassert.AtMost(t, "bytes left", left, 32<<10)
		s.assertOutcome(t, s.b, "late1", lavrequest.OutcomeDone)
		lavassert.Equal(t, "runs", s.runs.Load(), int64(calls+64))
	})
}

// storedBytes returns the size of the largest value of the ledger in the store
// and the total size of all its values.
func (s *testSetup) storedBytes(t *testing.T) (largest, total int) {
	t.Helper()
	entries, _, err := s.store.List(t.Context(), "ledger/")
	lavassert.NoError(t, err)
	for _, e := range entries {
		largest = max(largest, len(e.Value))
		total += len(e.Value)
	}
	return largest, total
}
