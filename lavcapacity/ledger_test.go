package lavcapacity_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavledger"
)

// storeWritesPerSecond returns the rate of writes to the store from the ledger of
// one host that runs callsPerSecond calls per second.
func storeWritesPerSecond(t *testing.T, callsPerSecond int) float64 {
	t.Helper()
	const seconds = 5
	writes := 0
	synctest.Test(t, func(t *testing.T) {
		store := lavfake.NewStore()
		ledger := lavledger.New(store)
		var calls sync.WaitGroup
		for i := range callsPerSecond * seconds {
			calls.Go(func() {
				_, _ = ledger.Run(t.Context(), lavledger.Call{Customer: "till", Key: fmt.Sprint(i), Fingerprint: 1}, func(context.Context) (lavledger.Answer, error) {
					return lavledger.Answer{Status: 200, Body: []byte("paid")}, nil
				})
			})
			time.Sleep(time.Second / time.Duration(callsPerSecond))
		}
		calls.Wait()
		lavassert.NoError(t, ledger.Flush(t.Context()))
		writes = store.Counts().Writes
	})
	return float64(writes) / seconds
}

// TestSlopeLedger measures how many store writes the ledger makes per call. The
// ledger groups entries of concurrent calls into one write, so that there are far
// fewer writes than calls.
func TestSlopeLedger(t *testing.T) {
	const callsPerSecond = 500
	writesPerSecond := extrapolate(t, "ledger writes by calls per second, one host owns all shards", "writes/s", []int{50, 200, callsPerSecond}, callsPerSecond, func(rate int) float64 { return storeWritesPerSecond(t, rate) })
	lavassert.AtMost(t, "store writes per call at 500 calls/s", writesPerSecond/callsPerSecond, 0.1)
}
