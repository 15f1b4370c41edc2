package lavrequest

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the estimated number of bytes of text per token.
const BytesPerToken = 4

// PrefixHash is the hash of a prompt from its start to the end of one block.
// Prompts with an equal hash have the same text up to there, so an endpoint
// that has the block in its prefix cache can reuse it for all of them.
type PrefixHash uint64

// Sizes of the blocks in tokens. The first uniformBlocks blocks end every
// blockTokens. Each later block extends the prefix before it by about
// 1/growthDivisor, so that few blocks cover a long prompt.
const (
	blockTokens     = 256
	uniformBlocks   = 32
	growthDivisor   = 8
	maxPromptTokens = 1 << 20
)

// blockEnds holds the offset at which each block ends, in tokens.
var blockEnds = computeBlockEnds()

// computeBlockEnds returns the ends of all blocks of a prompt of
// maxPromptTokens.
func computeBlockEnds() []int {
	var ends []int
	for end := blockTokens; end <= maxPromptTokens; {
		ends = append(ends, end)
		if len(ends) < uniformBlocks {
			end += blockTokens
		} else {
			end += end / growthDivisor / blockTokens * blockTokens
		}
	}
	return ends
}

// PrefixTokens returns the number of tokens in the given number of leading
// blocks of a prompt.
func PrefixTokens(blocks int) int {
	if blocks <= 0 {
		return 0
	}
	return blockEnds[min(blocks, len(blockEnds))-1]
}

// HashPrefixes returns one hash for each complete block of a prompt. Each hash
// covers the text from the start of the prompt to the end of the block.
func HashPrefixes(text string) []PrefixHash {
	n := sort.SearchInts(blockEnds, len(text)/BytesPerToken+1)
	hashes := make([]PrefixHash, 0, n)
	sum := xxhash.New()
	start := 0
	for _, end := range blockEnds[:n] {
		_, _ = sum.WriteString(text[start : end*BytesPerToken])
		start = end * BytesPerToken
		hashes = append(hashes, PrefixHash(sum.Sum64()))
	}
	return hashes
}
