package lavrelay

import (
	"testing"

	"lavenderrack.example/lavenderrack/platform/standin"
)

// TestAnswerOfUnclearIdentityIsNoSuccess guards against an answer with two IDs or stamps, whose stamp doesn't
// reach the caller or is no stamp, or that contradicts itself, and that counts as a success or a refusal.
func TestAnswerOfUnclearIdentityIsNoSuccess(t *testing.T) {
	assertAllFaulty(t, standin.UnclearAnswers())
}
