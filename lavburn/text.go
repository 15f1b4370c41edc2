package lavburn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"lavenderrack.example/lavenderrack/lavrelease"
)

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "objective\ttarget\talert\tbudget left\t"
	for _, window := range windows {
		header += "burn " + formatWindow(window) + "\t"
	}
	_, _ = fmt.Fprintln(table, header)
	for _, o := range r.Objectives {
		line := fmt.Sprintf("%s\t%s\t%v\t%.0f%%\t", o.Name, formatPercent(o.Target), o.Alert, 100*o.BudgetLeft)
		for _, window := range o.Windows {
			line += formatBurnRate(window.Count, window.Burn) + "\t"
		}
		_, _ = fmt.Fprintln(table, line)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeCustomers(w)
}

// writeCustomers writes a table of the customers that have bad requests.
func (r *Report) writeCustomers(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "\nworst customers of the last hour, from %d hosts at %s\n", r.Hosts, r.Taken.Format(time.RFC3339))
	_, _ = fmt.Fprintln(table, "objective\tcustomer\tbad\tof\tburn")
	for _, o := range r.Objectives {
		for _, c := range o.Customers {
			if c.Count.Bad() > 0 {
				_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.1f\n", o.Name, c.Customer, c.Count.Bad(), c.Count.Total, c.Burn)
			}
		}
	}
	return table.Flush()
}

// formatWindow formats a duration of whole minutes without its zero units, such as "6h".
func formatWindow(d time.Duration) string {
	text := strings.TrimSuffix(d.String(), "0s")
	return strings.TrimSuffix(strings.Replace(text, "h0m", "h", 1), "h0m")
}

// formatPercent formats a share as a percentage without trailing zeros.
func formatPercent(share float64) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", 100*share), "0"), ".") + "%"
}

// formatBurnRate formats a burn rate, or returns a dash if there were no requests.
func formatBurnRate(c Count, burnRate float64) string {
	if c.Total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", burnRate)
}

// description states what the objective requires, such as "99% of Interactive
// requests, length Short, first token within 1s".
func (o *ObjectiveReport) description() string {
	text := formatPercent(o.Target) + " of "
	if o.Kind != "" {
		text += o.Kind + " "
	}
	text += "requests, length " + o.Class
	if o.FirstToken > 0 {
		text += ", first token within " + time.Duration(o.FirstToken).String()
	}
	return text
}

// longestWindow returns the longest window of a report.
func longestWindow() lavrelease.Duration { return lavrelease.Duration(windows[len(windows)-1]) }
