package lavexperiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// Report is the report of an experiment.
type Report struct {
	Scenario string
	Seed     uint64
	// Runs has the measurements under each policy.
	Runs []Measurements
}

// Write writes the report to a file as JSON.
func (r *Report) Write(name string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(data, '\n'), 0o644)
}

// Table writes the report as a human-readable table.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s, seed %d\n", r.Scenario, r.Seed)
	_, _ = fmt.Fprintln(t, "Policy\tAnswered\tRefused\tFailed\tShort p50\tp99\tSlowdown p99\tof p99s\tService\tWorst 10s\tFair\tHits\tAudits lost\tBroken")
	for _, m := range r.Runs {
		short := m.FirstToken["Short"]
		_, _ = fmt.Fprintf(t, "%v\t%d/%d\t%d\t%d\t%.3f\t%.3f\t%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\n",
			m.Policy, m.Answered, m.Sent, m.Refused, m.Failed, short.P50, short.P99, m.Slowdown.P99, m.SlowdownOfP99,
			m.Service, m.WorstWindow, m.LeastFairShare, m.CacheHits, m.AuditsUnfinished, m.Promises.Total())
	}
	return t.Flush()
}
