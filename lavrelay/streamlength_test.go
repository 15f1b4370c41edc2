package lavrelay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestStreamDoesNotKeepTheLengthOfItsFirstRun guards against a resumed stream that looks complete where the
// first endpoint's answer would have ended.
func TestStreamDoesNotKeepTheLengthOfItsFirstRun(t *testing.T) {
	for _, text := range []string{"", "error\n\n"} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(standin.StreamWith(text, 3, standin.FramedByLength, false), standin.Stream(standin.StreamEvents))
				out := b.serve(context.Background(), b.call(lavconfig.KindStreaming))
				lavassert.Equal(t, "body", out.Body.String(), standin.EventsUpTo(standin.StreamEvents))
				lavassert.True(t, "no length is stated", !standin.StatesLength(out.Header()))
				b.closePool()
			})
		})
	}
}
