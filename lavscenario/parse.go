package lavscenario

import (
	"os"

	"lavenderrack.example/lavenderrack/lavjson"

	"github.com/cockroachdb/errors"
)

// Load reads and validates a scenario file.
func Load(name string) (*Scenario, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse decodes and validates a scenario. The name is used in errors.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := lavjson.Decode(name, text, s); err != nil {
		return nil, err
	}
	return s, errors.Wrap(s.check(), name)
}

// MarshalText returns the name of the kind.
func (k FaultKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets the kind from its name.
func (k *FaultKind) UnmarshalText(text []byte) error {
	for kind := range faultEnd {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return errors.Newf("unknown fault %q", text)
}

// check validates the scenario.
func (s *Scenario) check() error {
	switch {
	case s.Duration <= 0:
		return errors.New("Duration must be above 0")
	case s.Warmup < 0 || s.Warmup >= s.Duration:
		return errors.New("Warmup must be below Duration")
	case s.Rate < 0 || s.Load < 0 || s.Rate == 0 && s.Load == 0:
		return errors.New("Rate or Load must be above 0")
	case len(s.Customers) == 0 || len(s.Mix) == 0:
		return errors.New("Customers and Mix must not be empty")
	case len(s.Fleet.Models) == 0:
		return errors.New("Fleet.Models must not be empty")
	}
	return s.checkLists()
}

// checkLists validates the mix and the faults.
func (s *Scenario) checkLists() error {
	for i, p := range s.Mix {
		if err := p.check(); err != nil {
			return errors.Wrapf(err, "Mix[%d]", i)
		}
	}
	for i, f := range s.Faults {
		if f.At < 0 || f.For < 0 || f.At > s.Duration {
			return errors.Newf("Faults[%d]: At must lie within Duration and For must not be below 0", i)
		}
	}
	return nil
}

// check validates the entry.
func (p *MixEntry) check() error {
	if p.Arrivals <= 0 || p.Timeout <= 0 {
		return errors.New("Arrivals and Timeout must be above 0")
	}
	if p.isServiceCall() {
		return nil
	}
	for _, l := range []LengthDistribution{p.Prompt, p.Answer} {
		if l.Min <= 0 || l.Max < l.Min || l.LongOneIn > 0 && (l.LongMin <= 0 || l.LongMax < l.LongMin) {
			return errors.New("lengths must be above 0 and no Max below its Min")
		}
	}
	if p.Prefixes > 0 && p.PrefixTokens <= 0 {
		return errors.New("PrefixTokens must be above 0 where there are Prefixes")
	}
	return nil
}

// isServiceCall reports whether the requests are calls to a plain service
// rather than prompts.
func (p *MixEntry) isServiceCall() bool { return !p.Kind.IsPrompt() }
