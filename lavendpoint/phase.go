package lavendpoint

import "github.com/cockroachdb/errors"

//go:generate stringer -type=Phase -trimprefix=Phase -output=phase_string.go

// Phase is a phase in the lifecycle of an endpoint.
type Phase int

// The phases of an endpoint. The zero value takes no work.
const (
	// PhaseOut means that the endpoint is unknown, dead or withdrawn.
	PhaseOut Phase = iota
	// PhaseCold means that the endpoint is not warmed up yet and can take only a
	// small load.
	PhaseCold
	// PhaseWarming means that the endpoint's load limit is being raised step by
	// step.
	PhaseWarming
	// PhaseReady means that the endpoint can take its full load.
	PhaseReady
	// PhaseLeaving means that the endpoint finishes its current work and takes no
	// new work.
	PhaseLeaving
)

// TakesWork reports whether an endpoint in this phase may receive new work.
func (p Phase) TakesWork() bool {
	return p == PhaseCold || p == PhaseWarming || p == PhaseReady
}

// Phases returns all phases in order.
func Phases() []Phase {
	return []Phase{PhaseOut, PhaseCold, PhaseWarming, PhaseReady, PhaseLeaving}
}

// MarshalText implements encoding.TextMarshaler. It encodes the phase as its name.
func (p Phase) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the name of a
// phase.
func (p *Phase) UnmarshalText(text []byte) error {
	for _, known := range Phases() {
		if known.String() == string(text) {
			*p = known
			return nil
		}
	}
	return errors.Newf("unknown phase %q", text)
}
