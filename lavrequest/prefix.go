package lavrequest

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken estimates the tokens of a text.
const BytesPerToken = 4

// PrefixHash is the hash of a prompt up to the end of one block. Equal hashes
// mean equal text from the start of the prompt, so that an endpoint which
// caches a block can serve every prompt with the same hash.
type PrefixHash uint64

// Sizes of the blocks in tokens. The first are of one size; each later one is
// a fixed part of all before it, so that few blocks cover a long prompt.
const (
	blockTokens   = 256
	evenBlocks    = 32
	growthPart    = 8
	longestPrompt = 1 << 20
)

// blockEnds are the ends of the blocks in tokens.
var blockEnds = makeBlockEnds()

func makeBlockEnds() []int {
	var ends []int
	for end := blockTokens; end <= longestPrompt; {
		ends = append(ends, end)
		if len(ends) < evenBlocks {
			end += blockTokens
		} else {
			end += end / growthPart / blockTokens * blockTokens
		}
	}
	return ends
}

// PrefixTokens returns the tokens that the first blocks of a prompt cover.
func PrefixTokens(blocks int) int {
	if blocks <= 0 {
		return 0
	}
	return blockEnds[min(blocks, len(blockEnds))-1]
}

// HashPrefixes hashes a prompt up to the end of each of its whole blocks.
func HashPrefixes(text string) []PrefixHash {
	n := sort.SearchInts(blockEnds, len(text)/BytesPerToken+1)
	hashes := make([]PrefixHash, 0, n)
	sum := xxhash.New()
	from := 0
	for _, end := range blockEnds[:n] {
		_, _ = sum.WriteString(text[from : end*BytesPerToken])
		from = end * BytesPerToken
		hashes = append(hashes, PrefixHash(sum.Sum64()))
	}
	return hashes
}
