package lavdemo

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// promptSource generates prompts by slicing one random text.
type promptSource struct {
	text        string
	mu          sync.Mutex
	promptCount int
}

// Length limit of prompts, and the places in the text at which prompts start.
// Prompts that start at the same place share a prefix, which prefix caches can
// reuse.
const (
	maxPromptTokens   = 1_000_000
	prefixCount       = 8
	prefixStrideBytes = 64 << 10
)

// newPromptSource returns a source whose text depends only on the seed.
func newPromptSource(seed uint64) *promptSource {
	random := rand.New(rand.NewPCG(seed, 1))
	words := []string{"spoke ", "hub ", "rim ", "lace ", "pack ", "glyph ", "till ", "wheel "}
	var text strings.Builder
	for text.Len() < maxPromptTokens*lavrequest.BytesPerToken+prefixCount*prefixStrideBytes {
		text.WriteString(words[random.IntN(len(words))])
	}
	return &promptSource{text: text.String()}
}

// next returns a random prompt. Most prompts are short, and one in fifty is
// longer than a hundred thousand tokens. Many prompts share a prefix, and each
// ends with a unique number.
func (s *promptSource) next(random *rand.Rand) lavclient.Prompt {
	kind, tokens, timeout := randomSize(random)
	s.mu.Lock()
	s.promptCount++
	suffix := fmt.Sprintf(" #%d", s.promptCount)
	s.mu.Unlock()
	from := random.IntN(prefixCount) * prefixStrideBytes
	return lavclient.Prompt{
		Model:     modelName,
		Text:      s.text[from:from+tokens*lavrequest.BytesPerToken-len(suffix)] + suffix,
		MaxTokens: 8 + random.IntN(40),
		Kind:      kind,
		Timeout:   timeout,
	}
}

// randomSize draws the kind, the length in tokens and the timeout of a prompt.
func randomSize(random *rand.Rand) (lavrequest.Kind, int, time.Duration) {
	between := func(low, high int) int { return low + random.IntN(high-low) }
	switch draw := random.Float64(); {
	case draw < 0.02:
		return lavrequest.KindAudit, between(lavrequest.LongLimitTokens, maxPromptTokens), 15 * time.Second
	case draw < 0.06:
		return lavrequest.KindReview, between(lavrequest.MediumLimitTokens, lavrequest.LongLimitTokens), 12 * time.Second
	case draw < 0.25:
		return lavrequest.KindReview, between(lavrequest.ShortLimitTokens, lavrequest.MediumLimitTokens), 8 * time.Second
	default:
		return lavrequest.KindInteractive, between(1_000, lavrequest.ShortLimitTokens), 4 * time.Second
	}
}
