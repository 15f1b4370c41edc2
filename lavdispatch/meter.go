package lavdispatch

import (
	"time"

	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// Weights and bounds of the meter.
const (
	// sampleWeight is the weight of a new sample in a running mean.
	sampleWeight = 0.1
	maxStretch   = 8
	// mixWeight is the weight of a sample of the mix.
	mixWeight = 0.02
	// drainSpan is the time over which the drain of the queue is measured.
	drainSpan = 5 * time.Second
)

// meter measures what admission needs to know.
type meter struct {
	// stretch is the time that prompts of each lane took to read over the time
	// that they would take alone.
	stretch [lavrequest.ClassCount]float64
	drains  map[string]*drain
	// mix is how the unread tokens at the endpoints divide among the lanes, as
	// far as this host's own work tells.
	mix lavroute.Mix
}

// drain measures how fast the requests for one model leave the queue while
// some wait.
type drain struct {
	// since is when the present span began; zero while nothing waits.
	since  time.Time
	tokens float64
	rate   float64
}

func newMeter() *meter {
	m := &meter{drains: make(map[string]*drain), mix: lavroute.DefaultMix()}
	for lane := range m.stretch {
		m.stretch[lane] = 1
	}
	return m
}

// read takes the time in which a prompt was read.
func (m *meter) read(lane lavrequest.LengthClass, took, alone time.Duration) {
	if alone <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(alone), 1), maxStretch)
	m.stretch[lane] += sampleWeight * (ratio - m.stretch[lane])
}

// unread takes this host's unread prompt tokens as a sample of the mix.
func (m *meter) unread(own []lavroute.Own) {
	var below [lavrequest.ClassCount]float64
	for i := range own {
		for lane, tokens := range own[i].Unread {
			below[lane] += float64(tokens)
		}
	}
	for lane := 1; lane < len(below); lane++ {
		below[lane] += below[lane-1]
	}
	all := below[len(below)-1]
	if all <= 0 {
		return
	}
	for lane := range m.mix {
		m.mix[lane] += mixWeight * (below[lane]/all - m.mix[lane])
	}
}

// left counts a request that has left the queue, which is still busy with its
// model or not.
func (m *meter) left(now time.Time, r *lavrequest.Request, busy bool) {
	d := m.drains[r.Model]
	if d == nil {
		d = &drain{}
		m.drains[r.Model] = d
	}
	if !busy {
		d.since, d.tokens = time.Time{}, 0
		return
	}
	if d.since.IsZero() {
		d.since = now
		return
	}
	d.tokens += float64(r.PromptTokens)
	if span := now.Sub(d.since); span >= drainSpan {
		rate := d.tokens / span.Seconds()
		d.rate += (rate - d.rate) / 2
		d.since, d.tokens = now, 0
	}
}

// rates joins what was measured with what the endpoints report. The drain is
// at least this host's even part of their speed: as long as nothing waits
// there is nothing to measure.
func (m *meter) rates(s lavroute.Speed, model string, hosts int) lavqueue.Rates {
	rates := lavqueue.Rates{
		Drain:   s.Prefill / float64(max(hosts, 1)),
		Decode:  s.Decode,
		Stretch: m.stretch,
		Ahead:   s.Ahead,
	}
	if s.Endpoints > 0 {
		rates.Prefill = s.Prefill / float64(s.Endpoints)
	}
	if d := m.drains[model]; d != nil {
		rates.Drain = max(rates.Drain, d.rate)
	}
	return rates
}
