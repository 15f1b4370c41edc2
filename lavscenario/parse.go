package lavscenario

import (
	"os"

	"lavenderrack.example/lavenderrack/lavjson"

	"github.com/cockroachdb/errors"
)

// Load reads the scenario file of that name.
func Load(name string) (*Scenario, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads and checks a scenario.
func Parse(name string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := lavjson.Decode(name, text, s); err != nil {
		return nil, err
	}
	return s, errors.Wrap(s.check(), name)
}

// MarshalText writes the kind's name.
func (k FaultKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the kind's name.
func (k *FaultKind) UnmarshalText(text []byte) error {
	for have := range faultEnd {
		if have.String() == string(text) {
			*k = have
			return nil
		}
	}
	return errors.Newf("unknown fault %q", text)
}

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

func (p *Part) check() error {
	if p.Arrivals <= 0 || p.Timeout <= 0 {
		return errors.New("Arrivals and Timeout must be above 0")
	}
	if p.plain() {
		return nil
	}
	for _, l := range []Lengths{p.Prompt, p.Answer} {
		if l.Min <= 0 || l.Max < l.Min || l.LongOneIn > 0 && (l.LongMin <= 0 || l.LongMax < l.LongMin) {
			return errors.New("lengths must be above 0 and no Max below its Min")
		}
	}
	if p.Prefixes > 0 && p.PrefixTokens <= 0 {
		return errors.New("PrefixTokens must be above 0 where there are Prefixes")
	}
	return nil
}

// plain reports whether the part calls a plain service.
func (p *Part) plain() bool { return !p.Kind.IsPrompt() }
