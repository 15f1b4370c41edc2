package lavexperiment_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"testing/cryptotest"
	"testing/synctest"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavexperiment"
	"lavenderrack.example/lavenderrack/lavscenario"
)

var (
	scenarioFile = flag.String("scenario", "testdata/small.jsonc", "scenario `FILE`")
	seed         = flag.Uint64("seed", 1, "seed of the plan and of the network")
	reportFile   = flag.String("report", "", "write the report as JSON to `FILE`")
	policyNames  = flag.String("policies", "Ours,LeastOutstanding", "comma-separated policies to run; all if empty")
)

// run runs a plan in a synctest bubble, whose time is virtual.
func run(t *testing.T, s *lavscenario.Scenario, p lavexperiment.Policy, plan []lavscenario.Arrival) *lavexperiment.Trace {
	t.Helper()
	cryptotest.SetGlobalRandom(t, *seed)
	var trace *lavexperiment.Trace
	synctest.Test(t, func(t *testing.T) {
		var err error
		trace, err = lavexperiment.Run(t.Context(), s, p, plan, *seed)
		lavassert.NoError(t, err)
	})
	return trace
}

// selectedPolicies returns the policies that the flag selects.
func selectedPolicies(t *testing.T) []lavexperiment.Policy {
	t.Helper()
	if *policyNames == "" {
		return lavexperiment.Policies()
	}
	var policies []lavexperiment.Policy
	for _, name := range strings.Split(*policyNames, ",") {
		var p lavexperiment.Policy
		lavassert.NoError(t, p.UnmarshalText([]byte(name)))
		policies = append(policies, p)
	}
	return policies
}

// TestExperiment runs the scenario under each selected policy. It fails if a
// guarantee is violated under any policy. The other figures are only reported.
func TestExperiment(t *testing.T) {
	s, err := lavscenario.Load(*scenarioFile)
	lavassert.NoError(t, err)
	s = s.WithRandomFaults(*seed)
	plan := s.Plan(*seed)
	report := &lavexperiment.Report{Scenario: s.Name, Seed: *seed}
	for _, p := range selectedPolicies(t) {
		t.Run(p.String(), func(t *testing.T) {
			shortOnly := run(t, s, p, lavscenario.ShortPrompts(plan))
			m := lavexperiment.Measure(s, p, run(t, s, p, plan), shortOnly)
			report.Runs = append(report.Runs, m)
			lavassert.Equal(t, "guarantee violations", m.Promises, lavexperiment.Violations{})
		})
	}
	lavassert.NoError(t, report.Table(os.Stdout))
	if *reportFile != "" {
		lavassert.NoError(t, report.Write(*reportFile))
	}
}
