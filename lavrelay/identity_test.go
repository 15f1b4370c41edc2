package lavrelay

import (
	"testing"

	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestAnswerOfUnclearIdentityIsNoSuccess guards against an answer with two IDs or stamps, or whose stamp doesn't
// reach the caller or is no stamp, that reaches the caller as a success.
func TestAnswerOfUnclearIdentityIsNoSuccess(t *testing.T) {
	assertAllFaulty(t, standin.UnclearAnswers())
}
