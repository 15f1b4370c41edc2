package lavfleet

import (
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
)

// countRetries returns how many retries a fleet sends until its share is used up.
func countRetries(f *Fleet) int {
	n := 0
	for spendRetry(f, "m") {
		n++
	}
	return n
}

// TestRetriesThatAreHandedOverStillCount guards against a successor that sends what its predecessor has sent.
func TestRetriesThatAreHandedOverStillCount(t *testing.T) {
	const hosts = 5
	part := int(testBounds.Retry.Burst) / hosts
	tests := []struct {
		name  string
		start func(f *Fleet, sent map[string]int)
	}{
		{"ServicesAreKnown", func(f *Fleet, sent map[string]int) {
			f.Update([]lavconfig.Service{engineService}, nil, nil)
			f.TakeOverRetries(sent)
		}},
		{"ServicesAreNotYetKnown", func(f *Fleet, sent map[string]int) {
			f.TakeOverRetries(sent)
			f.Update([]lavconfig.Service{engineService}, nil, nil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := testFleet(hosts)
				f.SetRetryHosts(hosts, true)
				time.Sleep(testBounds.Retry.Window)
				lavassert.True(t, "the predecessor has a retry", spendRetry(f, "m"))
				sent := f.HandOverRetries()
				lavassert.Equal(t, "retries after the handover", countRetries(f), 0)
				next := New(testBounds)
				next.SetRetryHosts(hosts, true)
				test.start(next, sent)
				lavassert.Equal(t, "retries left to the successor", countRetries(next), part-1)
				time.Sleep(testBounds.Retry.CountedFor() + time.Second)
				lavassert.Equal(t, "retries in the next window", countRetries(next), part)
			})
		})
	}
}
