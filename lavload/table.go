package lavload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// WriteTable writes the report as human-readable text.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d: %d sent, weighted service %.4f, load sent at most %.3f s late\n\n",
		r.Scenario, r.Seed, r.Sent, r.Service, r.BehindSeconds)
	r.writeVerdicts(&text)
	r.writeTimes(&text)
	WriteUnanswered(&text, r.Unanswered)
	for _, f := range r.Faults {
		line := "done"
		if f.Error != "" {
			line = f.Error
		}
		fmt.Fprintf(&text, "fault at %.1f s: %s %s: %s\n", f.AtSeconds, f.Kind, f.Target, line)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// writeVerdicts writes the number of requests by kind and verdict.
func (r *Report) writeVerdicts(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "Kind\t"
	for _, v := range Verdicts() {
		header += v.String() + "\t"
	}
	_, _ = fmt.Fprintln(table, header)
	for _, kind := range lavrequest.Kinds() {
		counts := r.Kinds[kind.String()]
		if len(counts) == 0 {
			continue
		}
		line := kind.String() + "\t"
		for _, v := range Verdicts() {
			line += fmt.Sprintf("%d\t", counts[v.String()])
		}
		_, _ = fmt.Fprintln(table, line)
	}
	_ = table.Flush()
}

// writeTimes writes the latency quantiles.
func (r *Report) writeTimes(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "\nSeconds to first token\tAnswers\tp50\tp95\tp99\tlongest\t")
	for _, class := range lavrequest.Classes() {
		writeQuantiles(table, class.String(), r.FirstToken[class.String()])
	}
	_, _ = fmt.Fprintln(table, "\nSeconds to the end\tAnswers\tp50\tp95\tp99\tlongest\t")
	for _, kind := range lavrequest.Kinds() {
		writeQuantiles(table, kind.String(), r.Took[kind.String()])
	}
	_ = table.Flush()
}

// writeQuantiles writes a row of quantiles, unless there are no values.
func writeQuantiles(w io.Writer, name string, q Quantiles) {
	if q.Count > 0 {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name, q.Count, q.P50, q.P95, q.P99, q.Max)
	}
}

// maxShownErrors is the maximum number of distinct error texts in the table.
const maxShownErrors = 8

// WriteUnanswered writes the error texts of unanswered requests with their
// counts, the most frequent first.
func WriteUnanswered(w io.Writer, unanswered map[string]int) {
	if len(unanswered) == 0 {
		return
	}
	kinds := slices.SortedFunc(maps.Keys(unanswered), func(a, b string) int {
		if n := unanswered[b] - unanswered[a]; n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
	_, _ = fmt.Fprintf(w, "\nUnanswered requests, by what their callers were told\n")
	for _, kind := range kinds[:min(len(kinds), maxShownErrors)] {
		_, _ = fmt.Fprintf(w, "%6d  %s\n", unanswered[kind], kind)
	}
}
