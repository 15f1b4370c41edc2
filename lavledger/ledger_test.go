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
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// world is a store, two hosts' ledgers and an endpoint that counts its runs.
type world struct {
	store *lavfake.Store
	a, b  *lavledger.Ledger
	runs  atomic.Int64
	// takes is how long a run takes; fails is what it returns.
	takes time.Duration
	fails error
}

func inWorld(t *testing.T, body func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := lavfake.NewStore()
		w := &world{store: store, a: lavledger.New(store), b: lavledger.New(store), takes: 10 * time.Millisecond}
		body(t, w)
		lavassert.NoError(t, w.a.Flush(t.Context()))
		lavassert.NoError(t, w.b.Flush(t.Context()))
	})
}

func (w *world) send(ctx context.Context) (lavledger.Answer, error) {
	w.runs.Add(1)
	select {
	case <-time.After(w.takes):
	case <-ctx.Done():
		return lavledger.Answer{}, ctx.Err()
	}
	return lavledger.Answer{Status: 200, Body: []byte("paid")}, w.fails
}

// run runs the call of that key with a timeout.
func (w *world) run(ctx context.Context, l *lavledger.Ledger, key string, timeout time.Duration) (lavledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.Run(ctx, lavledger.Call{Customer: "till", Key: key, Fingerprint: 7}, w.send)
}

func (w *world) expect(t *testing.T, l *lavledger.Ledger, key string, want lavrequest.Outcome) lavledger.Result {
	t.Helper()
	result, err := w.run(t.Context(), l, key, 10*time.Second)
	lavassert.NoError(t, err)
	lavassert.Equal(t, "outcome of "+key, result.Outcome, want)
	return result
}

// failAt makes the first reach of a step fail.
func failAt(ctx context.Context, at lavstep.Step) context.Context {
	var once sync.Once
	return lavstep.WithProbe(ctx, func(_ context.Context, step lavstep.Step, _ string) error {
		var err error
		if step == at {
			once.Do(func() { err = errors.New("fault") })
		}
		return err
	})
}

func TestOutcomes(t *testing.T) {
	t.Run("a resent call gets the first answer at any host", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			first := w.expect(t, w.a, "k", lavrequest.OutcomeDone)
			lavassert.NoError(t, w.a.Flush(t.Context()))
			again := w.expect(t, w.b, "k", lavrequest.OutcomeDone)
			lavassert.Equal(t, "answer", again.Answer, first.Answer)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
	t.Run("a resent call waits for one that runs", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.takes = 3 * time.Second
			ended := make(chan lavledger.Result, 1)
			go func() {
				result, _ := w.run(t.Context(), w.a, "k", 10*time.Second)
				ended <- result
			}()
			time.Sleep(time.Second)
			w.expect(t, w.b, "k", lavrequest.OutcomeDone)
			lavassert.Equal(t, "first outcome", (<-ended).Outcome, lavrequest.OutcomeDone)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
	t.Run("other content under the same key is refused", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.expect(t, w.a, "k", lavrequest.OutcomeDone)
			_, err := w.b.Run(t.Context(), lavledger.Call{Customer: "till", Key: "k", Fingerprint: 8}, w.send)
			lavassert.ErrorIs(t, err, lavledger.ErrKeyReused)
		})
	})
	t.Run("a lost answer is Unknown for good", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.fails = errors.New("connection reset")
			w.expect(t, w.a, "k", lavrequest.OutcomeUnknown)
			w.expect(t, w.b, "k", lavrequest.OutcomeUnknown)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
	t.Run("a call that was not sent may run later", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.fails = errors.Mark(errors.New("refused"), lavledger.ErrNotSent)
			w.expect(t, w.a, "k", lavrequest.OutcomeNotRun)
			w.fails = nil
			w.expect(t, w.b, "k", lavrequest.OutcomeDone)
		})
	})
	t.Run("a long answer is kept cut and says so", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			long := func(context.Context) (lavledger.Answer, error) {
				return lavledger.Answer{Status: 200, Body: []byte(strings.Repeat("x", 2*lavledger.MaxKeptBody))}, nil
			}
			call := lavledger.Call{Customer: "till", Key: "k", Fingerprint: 7}
			first, err := w.a.Run(t.Context(), call, long)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "first", len(first.Answer.Body), 2*lavledger.MaxKeptBody)
			lavassert.NoError(t, w.a.Flush(t.Context()))
			again, err := w.b.Run(t.Context(), call, long)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "again", len(again.Answer.Body), lavledger.MaxKeptBody)
			lavassert.True(t, "marked as cut", again.Answer.Truncated)
		})
	})
	t.Run("many hosts with one key run it once", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			var running sync.WaitGroup
			for range 40 {
				running.Go(func() {
					l := lavledger.New(w.store)
					result, err := w.run(t.Context(), l, "k", 20*time.Second)
					lavassert.NoError(t, l.Flush(t.Context()))
					if err != nil || result.Outcome != lavrequest.OutcomeDone {
						t.Errorf("outcome %v, error %v", result.Outcome, err)
					}
				})
			}
			running.Wait()
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
}

func TestFaults(t *testing.T) {
	t.Run("lost replies run the call once", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.store.SetFaults(lavfake.StoreFaults{LoseReplies: true})
			for i := range 5 {
				w.expect(t, w.a, fmt.Sprint("k", i), lavrequest.OutcomeDone)
				w.expect(t, w.b, fmt.Sprint("k", i), lavrequest.OutcomeDone)
			}
			lavassert.Equal(t, "runs", w.runs.Load(), int64(5))
		})
	})
	t.Run("a store that is down refuses in time and truthfully", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.store.SetFaults(lavfake.StoreFaults{Down: true})
			began := time.Now()
			_, err := w.run(t.Context(), w.a, "k", time.Minute)
			lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
			lavassert.AtMost(t, "time", time.Since(began), 3*time.Second)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(0))
			w.store.SetFaults(lavfake.StoreFaults{})
			w.expect(t, w.b, "k", lavrequest.OutcomeDone)
		})
	})
	t.Run("a ledger can be closed while the store is down", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			l := lavledger.New(w.store)
			w.expect(t, l, "k", lavrequest.OutcomeDone)
			w.store.SetFaults(lavfake.StoreFaults{Down: true})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := time.Now()
			lavassert.ErrorIs(t, l.Close(ctx), context.DeadlineExceeded)
			lavassert.AtMost(t, "time", time.Since(began), 5*time.Second)
			_, err := w.run(t.Context(), l, "k2", time.Minute)
			lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
	t.Run("a host that has not joined claims nothing, and says so", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			l := lavledger.NewWithPeers(w.store, newcomer{})
			_, err := w.run(t.Context(), l, "k", time.Minute)
			lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
			lavassert.ErrorIs(t, err, lavledger.ErrUncertain)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(0))
		})
	})
	t.Run("a store too slow to claim in time refuses in time", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.store.SetFaults(lavfake.StoreFaults{Delay: 5 * time.Second})
			_, err := w.run(t.Context(), w.a, "k", time.Minute)
			lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
			w.store.SetFaults(lavfake.StoreFaults{})
			w.expect(t, w.b, "k", lavrequest.OutcomeDone)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
	t.Run("a claim that arrives late is voided and doesn't block the call", func(t *testing.T) {
		for _, delay := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
			inWorld(t, func(t *testing.T, w *world) {
				late := &lateStore{Store: w.store, delay: delay, until: time.Now().Add(4 * time.Second)}
				a := lavledger.New(late)
				_, err := w.run(t.Context(), a, "k", time.Minute)
				lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
				lavassert.Equal(t, "runs", w.runs.Load(), int64(0))
				time.Sleep(8 * time.Second)
				w.expect(t, w.b, "k", lavrequest.OutcomeDone)
				lavassert.NoError(t, a.Flush(t.Context()))
				lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
			})
		}
	})
	t.Run("a host that dies before it settles leaves Unknown", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			result, err := w.run(failAt(t.Context(), lavstep.LedgerSettle), w.a, "k", time.Second)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "first", result.Outcome, lavrequest.OutcomeDone)
			began := time.Now()
			w.expect(t, w.b, "k", lavrequest.OutcomeUnknown)
			lavassert.AtMost(t, "wait", time.Since(began), 8*time.Second)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
	t.Run("a fault before the claim or the sending is not a run", func(t *testing.T) {
		for _, step := range []lavstep.Step{lavstep.LedgerClaim, lavstep.LedgerSend} {
			inWorld(t, func(t *testing.T, w *world) {
				result, err := w.run(failAt(t.Context(), step), w.a, "k", time.Second)
				if err == nil {
					lavassert.Equal(t, "outcome", result.Outcome, lavrequest.OutcomeNotRun)
				} else {
					lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
				}
				w.expect(t, w.b, "k", lavrequest.OutcomeDone)
				lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
			})
		}
	})
	t.Run("a waiter outlives a fault of its reads", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.takes = 2 * time.Second
			go func() { _, _ = w.run(t.Context(), w.a, "k", 10*time.Second) }()
			time.Sleep(time.Second)
			result, err := w.run(failAt(t.Context(), lavstep.LedgerReadBack), w.b, "k", 10*time.Second)
			lavassert.NoError(t, err)
			lavassert.Equal(t, "outcome", result.Outcome, lavrequest.OutcomeDone)
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
}

// lateStore takes writes in, loses their replies, and lets them take effect
// after a delay. It can't be read meanwhile. Past its time it is well again.
type lateStore struct {
	*lavfake.Store
	delay time.Duration
	until time.Time
}

func (s *lateStore) CompareAndSwap(ctx context.Context, key string, want lavstore.Revision, value []byte, lease lavstore.LeaseID) (lavstore.Revision, error) {
	if time.Now().After(s.until) {
		return s.Store.CompareAndSwap(ctx, key, want, value, lease)
	}
	time.AfterFunc(s.delay, func() {
		// A write whose revision is gone by then has no effect.
		_, _ = s.Store.CompareAndSwap(context.WithoutCancel(ctx), key, want, value, lease)
	})
	return 0, lavstore.ErrOutcomeUnknown
}

func (s *lateStore) Get(ctx context.Context, key string) (lavstore.Entry, error) {
	if time.Now().After(s.until) {
		return s.Store.Get(ctx, key)
	}
	// The first read, before anything was written, succeeds.
	if e, err := s.Store.Get(ctx, key); errors.Is(err, lavstore.ErrNotFound) {
		return e, err
	}
	return lavstore.Entry{}, lavstore.ErrUnavailable
}

// outage is the Peers of a host whose other hosts have or haven't seen a call.
type outage struct{ unseen bool }

func (o outage) Owner(int) string { return "" }

// newcomer is the Peers of a host that no other host knows yet.
type newcomer struct{ outage }

func (newcomer) Joined() bool { return false }

func (o outage) Joined() bool { return true }

func (o outage) Replicates(int) bool { return true }

func (o outage) Commit(context.Context, string, lavledger.Op) (lavledger.Record, error) {
	return lavledger.Record{}, errors.New("no peer")
}

func (o outage) ConfirmUnclaimed(context.Context, lavledger.CallKey, time.Time) bool { return o.unseen }

func TestOutageIsCertainOnlyIfNobodyHasSeenTheCall(t *testing.T) {
	run := func(t *testing.T, peers lavledger.Peers, follow bool) error {
		t.Helper()
		var err error
		inWorld(t, func(t *testing.T, w *world) {
			l := lavledger.NewWithPeers(w.store, peers)
			ctx, cancel := context.WithCancel(t.Context())
			if follow {
				ended := make(chan error, 1)
				go func() { ended <- l.Serve(ctx) }()
				defer func() { lavassert.ErrorIs(t, <-ended, context.Canceled) }()
			}
			synctest.Wait()
			w.store.SetFaults(lavfake.StoreFaults{Down: true})
			_, err = w.run(t.Context(), l, "k", time.Minute)
			cancel()
			lavassert.NoError(t, l.Flush(t.Context()))
		})
		lavassert.ErrorIs(t, err, lavledger.ErrNotClaimed)
		return err
	}
	t.Run("nobody has", func(t *testing.T) {
		lavassert.True(t, "certain", !errors.Is(run(t, outage{unseen: true}, true), lavledger.ErrUncertain))
	})
	t.Run("a peer may have", func(t *testing.T) {
		lavassert.ErrorIs(t, run(t, outage{}, true), lavledger.ErrUncertain)
	})
	t.Run("the ledger was never read", func(t *testing.T) {
		lavassert.ErrorIs(t, run(t, outage{unseen: true}, false), lavledger.ErrUncertain)
	})
	t.Run("an outcome known from before is still given", func(t *testing.T) {
		inWorld(t, func(t *testing.T, w *world) {
			w.expect(t, w.a, "k", lavrequest.OutcomeDone)
			w.store.SetFaults(lavfake.StoreFaults{Down: true})
			w.expect(t, w.a, "k", lavrequest.OutcomeDone)
			w.store.SetFaults(lavfake.StoreFaults{})
			lavassert.Equal(t, "runs", w.runs.Load(), int64(1))
		})
	})
}

// owners forwards the ops of several ledgers to the first.
type owners struct{ first *lavledger.Ledger }

func (o *owners) Owner(int) string {
	if o.first == nil {
		return ""
	}
	return "first"
}

func (o *owners) Joined() bool { return true }

func (o *owners) Replicates(int) bool { return false }

func (o *owners) Commit(ctx context.Context, _ string, op lavledger.Op) (lavledger.Record, error) {
	return o.first.Commit(ctx, op)
}

func (o *owners) ConfirmUnclaimed(context.Context, lavledger.CallKey, time.Time) bool { return false }

func TestGroupCommitAndBounds(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		const hosts, perSecond, seconds = 7, 500, 30
		ledgers := []*lavledger.Ledger{lavledger.NewWithPeers(w.store, &owners{})}
		for range hosts - 1 {
			ledgers = append(ledgers, lavledger.NewWithPeers(w.store, &owners{first: ledgers[0]}))
		}
		var running sync.WaitGroup
		for i := range perSecond * seconds {
			running.Go(func() {
				result, err := w.run(t.Context(), ledgers[i%hosts], fmt.Sprint("k", i), 10*time.Second)
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
		reads, writes := w.store.Calls()
		calls := perSecond * seconds
		t.Logf("%d calls at %d hosts: %d writes, %d reads, %.3f writes a call", calls, hosts, writes, reads, float64(writes)/float64(calls))
		lavassert.Equal(t, "runs", w.runs.Load(), int64(calls))
		lavassert.AtMost(t, "writes", writes, calls/10)

		largest, total := w.size(t)
		t.Logf("%d bytes in the store, largest value %d", total, largest)
		lavassert.AtMost(t, "largest value", largest, 128<<10)

		// After the window the next call makes the ledger forget the rest.
		time.Sleep(lavledger.Window + time.Minute)
		for i := range 64 {
			w.expect(t, ledgers[0], fmt.Sprint("late", i), lavrequest.OutcomeDone)
		}
		lavassert.NoError(t, ledgers[0].Flush(t.Context()))
		_, left := w.size(t)
		t.Logf("%d bytes left", left)
		lavassert.AtMost(t, "bytes left", left, 32<<10)
		w.expect(t, w.b, "late1", lavrequest.OutcomeDone)
		lavassert.Equal(t, "runs", w.runs.Load(), int64(calls+64))
	})
}

func (w *world) size(t *testing.T) (largest, total int) {
	t.Helper()
	entries, _, err := w.store.List(t.Context(), "ledger/")
	lavassert.NoError(t, err)
	for _, e := range entries {
		largest = max(largest, len(e.Value))
		total += len(e.Value)
	}
	return largest, total
}
