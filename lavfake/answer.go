package lavfake

import (
	"strconv"
	"strings"

	"lavenderrack.example/lavenderrack/lavengine"

	"github.com/cespare/xxhash/v2"
)

// goldenRatio64 is 2^64 divided by the golden ratio. Multiplying by it spreads
// consecutive integers over the 64-bit range.
const goldenRatio64 = 0x9e3779b97f4a7c15

// mixBits hashes x so that each bit of the result depends on every bit of x.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// AnswerText returns the tokens in the range [from, to) of the answer to
// prompt. The text depends only on the prompt, so that tests can compute the
// expected answer.
func AnswerText(prompt string, from, to int) string {
	return generateAnswer(xxhash.Sum64String(prompt), from, to)
}

// answerTokenBytes is the length in bytes of each answer token.
const answerTokenBytes = 5

// answerLength returns the number of tokens in an answer. If a stop text ends
// the answer early, byteLimit is the length of the answer in bytes; otherwise
// it is 0.
func answerLength(seed uint64, tokens int, stopTexts []string) (tokenCount, byteLimit int) {
	text := generateAnswer(seed, 0, min(tokens, maxStopSearchTokens))
	for _, stopText := range stopTexts {
		if i := strings.Index(text, stopText); i >= 0 && stopText != "" {
			text = text[:max(i, 1)]
			byteLimit = len(text)
		}
	}
	if byteLimit == 0 {
		return tokens, 0
	}
	return (byteLimit + answerTokenBytes - 1) / answerTokenBytes, byteLimit
}

// maxStopSearchTokens is the number of tokens at the start of an answer that
// are searched for stop texts.
const maxStopSearchTokens = 1 << 14

// answerRange returns the text of the tokens in the range [from, to) of the
// stream's answer, shortened at a stop text.
func (s *stream) answerRange(from, to int) string {
	text := generateAnswer(s.promptHash, from, to)
	if s.byteLimit > 0 && to == s.answerTokens {
		text = text[:max(s.byteLimit-from*answerTokenBytes, 0)]
	}
	return text
}

func (s *stream) finishReason() lavengine.Finish {
	if s.byteLimit > 0 {
		return lavengine.FinishStop
	}
	return lavengine.FinishLength
}

func generateAnswer(seed uint64, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		text.WriteString(strconv.FormatUint(mixBits(seed+uint64(i)*goldenRatio64)>>52+0x1000, 16))
		text.WriteByte(' ')
	}
	return text.String()
}
