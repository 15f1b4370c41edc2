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

// texts holds the text from which prompts are cut.
type texts struct {
	pool string
	mu   sync.Mutex
	next int
}

// Sizes of the text pool and of its shared beginnings.
const (
	longestTokens = 1_000_000
	beginnings    = 8
	beginningStep = 64 << 10
)

func newTexts(seed uint64) *texts {
	random := rand.New(rand.NewPCG(seed, 1))
	words := []string{"spoke ", "hub ", "rim ", "lace ", "pack ", "glyph ", "till ", "wheel "}
	var pool strings.Builder
	for pool.Len() < longestTokens*lavrequest.BytesPerToken+beginnings*beginningStep {
		pool.WriteString(words[random.IntN(len(words))])
	}
	return &texts{pool: pool.String()}
}

// draw returns the next prompt: most are short, one in fifty is over a hundred
// thousand tokens. Prompts share their beginnings and differ in their ends.
func (t *texts) draw(random *rand.Rand) lavclient.Prompt {
	kind, tokens, timeout := drawSize(random)
	t.mu.Lock()
	t.next++
	mark := fmt.Sprintf(" #%d", t.next)
	t.mu.Unlock()
	from := random.IntN(beginnings) * beginningStep
	return lavclient.Prompt{
		Model:     model,
		Text:      t.pool[from:from+tokens*lavrequest.BytesPerToken-len(mark)] + mark,
		MaxTokens: 8 + random.IntN(40),
		Kind:      kind,
		Timeout:   timeout,
	}
}

func drawSize(random *rand.Rand) (lavrequest.Kind, int, time.Duration) {
	between := func(low, high int) int { return low + random.IntN(high-low) }
	switch at := random.Float64(); {
	case at < 0.02:
		return lavrequest.KindAudit, between(lavrequest.LongLimitTokens, longestTokens), 15 * time.Second
	case at < 0.06:
		return lavrequest.KindReview, between(lavrequest.MediumLimitTokens, lavrequest.LongLimitTokens), 12 * time.Second
	case at < 0.25:
		return lavrequest.KindReview, between(lavrequest.ShortLimitTokens, lavrequest.MediumLimitTokens), 8 * time.Second
	default:
		return lavrequest.KindInteractive, between(1_000, lavrequest.ShortLimitTokens), 4 * time.Second
	}
}
