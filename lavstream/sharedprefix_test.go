package lavstream_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// TestSharedPrefixCrashesFewEngines guards against prompts that differ, but share a prefix that
// crashes engine after engine.
func TestSharedPrefixCrashesFewEngines(t *testing.T) {
	const prompts, crashesUnstopped, lateArrivals = 20, 5, 3
	withSetup(t, engineSettings(), func(t *testing.T, s *testSetup) {
		prefix := strings.Repeat("CRASH ", 1000)
		for i := range prompts {
			text := prefix + fmt.Sprint("question ", i)
			a := newTestPrompt(text, 50, 20*time.Second)
			a.job.Request.Prefixes = lavrequest.HashPrefixes(text)
			a.job.Request.Fingerprint = xxhash.Sum64String(text)
			lavassert.True(t, "prompt fails", a.run(t, s.hosts[0]) != nil)
			time.Sleep(time.Second)
		}
		crashes := 0
		for _, e := range s.rack.Engines {
			crashes += e.Counts().Crashes
		}
		lavassert.AtMost(t, "crashes of engines", crashes, crashesUnstopped+lateArrivals)
	})
}
