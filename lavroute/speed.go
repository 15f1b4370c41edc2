package lavroute

import (
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// Speed is what the endpoints that serve a model do together.
type Speed struct {
	// Endpoints is how many there are.
	Endpoints int
	// Prefill is the tokens a second that they read together, and Decode that
	// which one of them writes for one answer.
	Prefill float64
	Decode  float64
	// Ahead is the least work, by lane, that a prompt finds before it.
	Ahead [lavrequest.ClassCount]time.Duration
	// Memory is the largest memory of any, in tokens.
	Memory int
}

// Speed sums up the endpoints that take work and hold the model.
func (b *Board) Speed(now time.Time, own []Own, model string) Speed {
	var s Speed
	decode := 0.0
	elapsed := max(now.Sub(b.made).Seconds(), 0)
	for n, i := range b.of(model).nearest {
		place := &b.places[i]
		report := &b.Snapshot.Endpoints[i].Report
		s.Prefill += place.rate
		decode += report.DecodeRate
		s.Memory = max(s.Memory, report.MemoryTokens)
		unread := max(place.waiting-place.rate*elapsed, 0) + float64(own[i].SinceUnread)
		for lane := range s.Ahead {
			t := time.Duration(b.mix[lane] * unread / place.rate * float64(time.Second))
			if n == 0 || t < s.Ahead[lane] {
				s.Ahead[lane] = t
			}
		}
	}
	if s.Endpoints = len(b.of(model).nearest); s.Endpoints > 0 {
		s.Decode = decode / float64(s.Endpoints)
	}
	return s
}
