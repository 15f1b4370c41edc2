package lavdemo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lavenderrack.example/lavenderrack/lavload"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// WriteTable writes the report as human-readable tables.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	r.writeRequests(&text)
	r.writeGuarantees(&text)
	r.writeFirstToken(&text)
	lavload.WriteUnanswered(&text, r.Unanswered)
	if len(r.Broken) == 0 {
		text.WriteString("\nAll promises were kept.\n")
	} else {
		fmt.Fprintf(&text, "\nBROKEN: %s\n", strings.Join(r.Broken, ", "))
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// writeRequests writes the seed and the request counts.
func (r *Report) writeRequests(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "\nSeed\tAdmitted\tAnswered\tRefused\tFailed in time\tOrders sent\t\n")
	_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t\n", r.Seed, r.Admitted, r.Answered, r.Refused, r.FailedInTime, r.OrdersSent)
	_ = table.Flush()
}

// writeGuarantees writes one row for each guarantee with its observed and its
// allowed value.
func (r *Report) writeGuarantees(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "\nPromise\tSeen\tAllowed\n")
	for _, row := range []struct {
		guarantee string
		observed  any
		allowed   any
	}{
		{"admitted requests neither answered nor failed in time", r.Late, 0},
		{"answers that were not whole", r.Incomplete, 0},
		{"answers to another request", r.Misdelivered, 0},
		{"orders run more than once", r.OrdersRunMoreThanOnce, 0},
		{"orders answered Done that didn't run", r.OrdersLost, 0},
		{"requests answered NotRun that ran", r.FalseNotRun, 0},
		{"cold engines overloaded", r.ColdOverloads, 0},
		{"engine memory held at the end", r.LeakedReservations, 0},
		{"new work begun over 5 s after a take-out", r.NewWorkAfterTakeOut, 0},
		{"seconds from a take-out to the last new work", formatSeconds(r.TakeOutSeconds), withdrawalBound.Seconds()},
		{"seconds until a release was in force everywhere", formatSeconds(r.ReleaseInForceSeconds), inForceBound.Seconds()},
		{"releases that reverted", r.ReleaseReverts, 0},
		{"requests cut off by a planned stop", r.CutOffByPlannedStop, 0},
	} {
		_, _ = fmt.Fprintf(table, "%s\t%v\t%v\n", row.guarantee, row.observed, row.allowed)
	}
	_ = table.Flush()
}

// formatSeconds formats seconds with two decimals.
func formatSeconds(seconds float64) string { return fmt.Sprintf("%.2f", seconds) }

// writeFirstToken writes the quantiles of the time to first token by length
// class.
func (r *Report) writeFirstToken(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "\nSeconds to first token\tAnswers\tp50\tp95\tp99\t\n")
	for _, class := range lavrequest.Classes() {
		q := r.FirstToken[class.String()]
		_, _ = fmt.Fprintf(table, "%v\t%d\t%s\t%s\t%s\t\n", class, q.Count, formatSeconds(q.P50), formatSeconds(q.P95), formatSeconds(q.P99))
	}
	_ = table.Flush()
}
