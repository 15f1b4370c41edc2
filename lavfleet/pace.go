package lavfleet

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavplan"
)

const (
	// paceTime is how long a measured pace holds.
	paceTime = 3 * time.Second
	// paceGaps is how many gaps in a row must be long before an endpoint counts
	// as slow: what is read in a pass makes single ones long.
	paceGaps = 4
	// paceNoise is the pace up to which an endpoint counts as usual.
	paceNoise = 1.4
)

// pace is how much longer than usual an endpoint's passes take.
type pace struct {
	// least is the shortest of the gaps seen since begun, in parts of what was
	// to be expected, and count their number.
	least float64
	count int
	// factor is the newest result, of that time.
	factor float64
	at     time.Time
}

// observe takes a gap between two events of a stream, and what it would be at
// usual pace.
func (p *pace) observe(now time.Time, gap, usual time.Duration) {
	if usual <= 0 {
		return
	}
	share := float64(gap) / float64(usual)
	if p.count == 0 || share < p.least {
		p.least = share
	}
	p.count++
	if p.count < paceGaps {
		return
	}
	p.factor, p.at = p.least, now
	p.count = 0
}

// askTime is the least time between two questions for an endpoint's pace.
const askTime = 1500 * time.Millisecond

// AskPace reports whether an endpoint should be asked for its pace now, and
// counts it as asked.
func (f *Fleet) AskPace(life lavconfig.Life) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.endpoints[life]
	if s == nil || now.Sub(s.asked) < askTime {
		return false
	}
	s.asked = now
	return true
}

// TellPace takes the pace that an endpoint tells of itself.
func (f *Fleet) TellPace(life lavconfig.Life, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.endpoints[life]; s != nil && factor > 0 {
		s.pace.factor, s.pace.at = factor, time.Now()
	}
}

// now returns the pace, 1 for an endpoint that is as quick as usual or of which
// nothing was seen lately.
func (p *pace) now(now time.Time) float64 {
	if p.factor < paceNoise || now.Sub(p.at) > paceTime {
		return 1
	}
	return p.factor
}

// Event takes the gap between two events of the run's stream.
func (r *Run) Event(gap time.Duration) {
	now := time.Now()
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	s := r.fleet.endpoints[r.parts[0].Life]
	if s == nil {
		return
	}
	svc := r.fleet.services[s.Service]
	if svc == nil || svc.Engine == nil {
		return
	}
	s.pace.observe(now, gap, lavplan.PassTime(svc.Engine, s.own.Plus(s.peers)))
}
