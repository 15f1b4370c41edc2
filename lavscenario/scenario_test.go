package lavscenario_test

import (
	"path/filepath"
	"strings"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavscenario"
)

// loadScenario reads one of the documented scenarios.
func loadScenario(t *testing.T, name string) *lavscenario.Scenario {
	t.Helper()
	s, err := lavscenario.Load(filepath.Join("..", "docs", "scenarios", name))
	lavassert.NoError(t, err)
	return s
}

// TestPlan checks that a plan depends only on its seed and that the documented
// scenarios offer the intended load.
func TestPlan(t *testing.T) {
	for _, name := range []string{"glyph-works.jsonc", "agenzia.jsonc"} {
		s := loadScenario(t, name)
		plan := s.Plan(7)
		t.Run(name+" is deterministic for a seed", func(t *testing.T) {
			lavassert.Equal(t, "plan", s.Plan(7), plan)
			lavassert.True(t, "plan differs for another seed", s.Plan(8)[0] != plan[0])
		})
		t.Run(name+" offers the intended load", func(t *testing.T) {
			tokens, long := 0, 0
			for _, a := range plan {
				tokens += a.PromptTokens
				if a.PromptTokens >= lavrequest.LongLimitTokens {
					long++
				}
			}
			offered := float64(tokens) / s.ArrivalPeriod().Seconds() / s.Capacity()
			lavassert.AtLeast(t, "minimum offered load", offered, 0.6)
			lavassert.AtMost(t, "maximum offered load", offered, 1.0)
			lavassert.AtLeast(t, "prompts of over 100,000 tokens per 1000", 1000*long/len(plan), 10)
		})
	}
}

// TestPrompt checks the length of prompts and that only the shared prefix is
// equal.
func TestPrompt(t *testing.T) {
	first := lavscenario.Arrival{Number: 1, PromptTokens: 2000, Prefix: 3, PrefixTokens: 1000}
	second := lavscenario.Arrival{Number: 2, PromptTokens: 1500, Prefix: 3, PrefixTokens: 1000}
	lavassert.Equal(t, "prompt length in bytes", len(first.Prompt()), 8000)
	lavassert.Equal(t, "shared prefix", first.Prompt()[:4000], second.Prompt()[:4000])
	lavassert.True(t, "prompts differ after the shared prefix", !strings.HasPrefix(first.Prompt(), second.Prompt()))
}

// TestParseRefuses checks that invalid scenarios are rejected.
func TestParseRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"empty":         ``,
		"no rate":       `{"Duration": "1s"}`,
		"unknown fault": `{"Duration": "1s", "Rate": 1, "Faults": [{"Kind": "Rain"}]}`,
		"unknown name":  `{"Rates": 1}`,
		"no customers":  `{"Duration": "1s", "Rate": 1}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := lavscenario.Parse("s.jsonc", []byte(text))
			lavassert.True(t, "scenario is rejected", err != nil)
		})
	}
}
