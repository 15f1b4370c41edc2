package lavdispatch

import (
	"time"

	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"
)

// Parameters of the meter.
const (
	// prefillSampleWeight is the weight of a new sample in the moving average
	// of the prefill slowdown.
	prefillSampleWeight = 0.1
	// maxPrefillSlowdown limits a single sample of the prefill slowdown.
	maxPrefillSlowdown = 8
	// backlogSampleWeight is the weight of a new sample in the moving average
	// of the backlog fractions.
	backlogSampleWeight = 0.02
	// drainWindow is the minimum time over which the drain rate of the queue is
	// measured.
	drainWindow = 5 * time.Second
)

// meter measures the rates that admission uses.
type meter struct {
	// prefillSlowdown is, by lane, the moving average of the actual prefill
	// time divided by that on an idle endpoint.
	prefillSlowdown [lavrequest.ClassCount]float64
	// drains holds the drain measurements by model.
	drains map[string]*drain
	// backlogFractions is, by lane, the fraction of the pending prefill tokens
	// at the endpoints that belongs to that lane or a shorter one. It is
	// measured on this host's own requests.
	backlogFractions lavroute.BacklogFractions
}

// drain measures how fast requests for one model leave the queue while others
// wait.
type drain struct {
	// windowStart is the start of the current measurement window; zero while no
	// request waits.
	windowStart time.Time
	// tokens is the prompt tokens that left the queue in the current window,
	// and rate the moving average of the drain rate in tokens per second.
	tokens float64
	rate   float64
}

func newMeter() *meter {
	m := &meter{drains: make(map[string]*drain), backlogFractions: lavroute.DefaultBacklogFractions()}
	for lane := range m.prefillSlowdown {
		m.prefillSlowdown[lane] = 1
	}
	return m
}

// recordPrefill records the time that a prefill took, and the time that it
// would have taken on an idle endpoint.
func (m *meter) recordPrefill(lane lavrequest.LengthClass, actual, idlePrefillTime time.Duration) {
	if idlePrefillTime <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(idlePrefillTime), 1), maxPrefillSlowdown)
	m.prefillSlowdown[lane] += prefillSampleWeight * (ratio - m.prefillSlowdown[lane])
}

// sampleBacklog takes the distribution of this host's pending prefill tokens
// over the lanes as a sample.
func (m *meter) sampleBacklog(local []lavroute.LocalLoad) {
	var cumulative [lavrequest.ClassCount]float64
	for i := range local {
		for lane, tokens := range local[i].PendingPrefill {
			cumulative[lane] += float64(tokens)
		}
	}
	for lane := 1; lane < len(cumulative); lane++ {
		cumulative[lane] += cumulative[lane-1]
	}
	total := cumulative[len(cumulative)-1]
	if total <= 0 {
		return
	}
	for lane := range m.backlogFractions {
		m.backlogFractions[lane] += backlogSampleWeight * (cumulative[lane]/total - m.backlogFractions[lane])
	}
}

// recordDequeue records that a request has left the queue. stillWaiting is
// whether other requests for its model wait.
func (m *meter) recordDequeue(now time.Time, r *lavrequest.Request, stillWaiting bool) {
	d := m.drains[r.Model]
	if d == nil {
		d = &drain{}
		m.drains[r.Model] = d
	}
	if !stillWaiting {
		d.windowStart, d.tokens = time.Time{}, 0
		return
	}
	if d.windowStart.IsZero() {
		d.windowStart = now
		return
	}
	d.tokens += float64(r.PromptTokens)
	if elapsed := now.Sub(d.windowStart); elapsed >= drainWindow {
		rate := d.tokens / elapsed.Seconds()
		d.rate += (rate - d.rate) / 2
		d.windowStart, d.tokens = now, 0
	}
}

// rates combines the measurements with the rates that the endpoints report. The
// drain rate is at least this host's equal share of the total prefill rate,
// because it cannot be measured while no request waits.
func (m *meter) rates(capacity lavroute.ModelCapacity, model string, hostCount int) lavqueue.Rates {
	rates := lavqueue.Rates{
		DrainRate:       capacity.PrefillRate / float64(max(hostCount, 1)),
		DecodeRate:      capacity.DecodeRate,
		PrefillSlowdown: m.prefillSlowdown,
		EndpointWait:    capacity.MinWait,
	}
	if capacity.Endpoints > 0 {
		rates.PrefillRate = capacity.PrefillRate / float64(capacity.Endpoints)
	}
	if d := m.drains[model]; d != nil {
		rates.DrainRate = max(rates.DrainRate, d.rate)
	}
	return rates
}
