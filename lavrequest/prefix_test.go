package lavrequest_test

import (
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrequest"
)

func TestPrefixes(t *testing.T) {
	tokens := func(n int) string { return strings.Repeat("abcd", n) }
	t.Run("a prompt shorter than one block has no hashes", func(t *testing.T) {
		lavassert.Equal(t, "blocks", len(lavrequest.HashPrefixes(tokens(255))), 0)
		lavassert.Equal(t, "blocks", len(lavrequest.HashPrefixes(tokens(256))), 1)
	})
	t.Run("prompts share the hashes of the blocks before they differ", func(t *testing.T) {
		a := lavrequest.HashPrefixes(tokens(1000) + "x" + tokens(1000))
		b := lavrequest.HashPrefixes(tokens(1000) + "y" + tokens(1000))
		lavassert.Equal(t, "hashes of the first three blocks", a[:3], b[:3])
		lavassert.True(t, "the hashes of the fourth block differ", a[3] != b[3])
	})
	t.Run("at most 80 blocks cover a prompt of a million tokens", func(t *testing.T) {
		n := len(lavrequest.HashPrefixes(tokens(1_000_000)))
		lavassert.AtMost(t, "blocks", n, 80)
		lavassert.AtLeast(t, "tokens covered", lavrequest.PrefixTokens(n), 850_000)
	})
}
