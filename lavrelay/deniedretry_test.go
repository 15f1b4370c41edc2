package lavrelay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"

	"github.com/uber-go/tally/v4"
)

// TestDeniedRetriesAreCountedByReason guards against a withheld share that looks like one that was used up.
func TestDeniedRetriesAreCountedByReason(t *testing.T) {
	for _, withheld := range []bool{true, false} {
		t.Run(fmt.Sprintf("Withheld=%v", withheld), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(standin.CloseConnection, standin.CloseConnection)
				scope := tally.NewTestScope("", nil)
				b.relay.metrics = newMetrics(scope)
				b.fleet.SetRetryHosts(5, !withheld)
				const calls = 50
				for range calls {
					b.serve(context.Background(), b.call(lavconfig.KindSafe))
				}
				counters := scope.Snapshot().Counters()
				of := func(name string) int64 {
					if c, ok := counters[name]; ok {
						return c.Value()
					}
					return 0
				}
				service := "+service=" + b.call(lavconfig.KindSafe).Service
				denied := of("retries.denied+")
				lavassert.AtLeast(t, "denied retries", denied, 1)
				wantWithheld := int64(0)
				if withheld {
					wantWithheld = denied
				}
				lavassert.Equal(t, "withheld retries", of("retries.withheld"+service), wantWithheld)
				lavassert.Equal(t, "retries for which the share was used up", of("retries.used_up"+service), denied-wantWithheld)
			})
		})
	}
}
