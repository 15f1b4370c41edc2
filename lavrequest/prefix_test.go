package lavrequest_test

import (
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrequest"
)

func TestPrefixes(t *testing.T) {
	tokens := func(n int) string { return strings.Repeat("abcd", n) }
	t.Run("a prompt below one block has none", func(t *testing.T) {
		lavassert.Equal(t, "blocks", len(lavrequest.HashPrefixes(tokens(255))), 0)
		lavassert.Equal(t, "blocks", len(lavrequest.HashPrefixes(tokens(256))), 1)
	})
	t.Run("prompts that begin alike share the blocks before they part", func(t *testing.T) {
		a := lavrequest.HashPrefixes(tokens(1000) + "x" + tokens(1000))
		b := lavrequest.HashPrefixes(tokens(1000) + "y" + tokens(1000))
		lavassert.Equal(t, "first three blocks", a[:3], b[:3])
		lavassert.True(t, "the fourth differs", a[3] != b[3])
	})
	t.Run("few blocks cover a million tokens", func(t *testing.T) {
		n := len(lavrequest.HashPrefixes(tokens(1_000_000)))
		lavassert.AtMost(t, "blocks", n, 80)
		lavassert.AtLeast(t, "tokens covered", lavrequest.PrefixTokens(n), 850_000)
	})
}
