package lavmatrix

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"lavenderrack.example/lavenderrack/lavstep"
)

// verdictMarks holds the text of each verdict in the table.
var verdictMarks = map[Verdict]string{VerdictNotReached: "·", VerdictKept: "kept", VerdictBroken: "**BROKEN**"}

// Table returns a Markdown page with the results. The seed is the one that
// selected the pairs of faults.
func Table(results []Result, seed uint64) []byte {
	var page bytes.Buffer
	page.WriteString(heading)
	single := make(map[Cell]Result)
	var paired []Result
	for _, r := range results {
		if r.Cell.Background == FaultNone {
			single[r.Cell] = r
		} else {
			paired = append(paired, r)
		}
	}
	writeCounts(&page, "Single faults", slices.Collect(valuesOf(single)))
	writeSingles(&page, single)
	writeCounts(&page, fmt.Sprintf("Pairs of faults, seed %d", seed), paired)
	writeBroken(&page, results)
	return page.Bytes()
}

const heading = `# Fault matrix

Written by package lavmatrix; its documentation says what a cell is and which
promises it checks. To write this page again:

    go test ./lavmatrix -timeout 60m -args -pairs 400 -out ../docs/FAULTS.md

To run one cell again, or one pair (all pairs have to be drawn for that):

    go test ./lavmatrix -run 'TestMatrix/StoreDown/LedgerClaim$'
    go test ./lavmatrix -run 'TestPairs/StoreDown/ProcessDies/LedgerClaim$' -args -pairs -1

A dot stands for a step that the workload of that run never came to: a step of
recovery that needs another fault first, or a part that no host of the small
system uses. Every other cell says whether all promises were kept.
`

// valuesOf iterates over the values of a map.
func valuesOf(results map[Cell]Result) func(func(Result) bool) {
	return func(yield func(Result) bool) {
		for _, r := range results {
			if !yield(r) {
				return
			}
		}
	}
}

// writeCounts writes a section heading and the number of cells by verdict.
func writeCounts(page *bytes.Buffer, title string, results []Result) {
	counts := make(map[Verdict]int)
	for _, r := range results {
		counts[r.Verdict]++
	}
	fmt.Fprintf(page, "\n## %s\n\n%d cells: %d kept, %d broken, %d not reached.\n",
		title, len(results), counts[VerdictKept], counts[VerdictBroken], counts[VerdictNotReached])
}

// writeSingles writes the table of single faults, with a row for each step and
// a column for each fault.
func writeSingles(page *bytes.Buffer, single map[Cell]Result) {
	page.WriteString("\n| Step |")
	for _, f := range Faults() {
		fmt.Fprintf(page, " %v |", f)
	}
	page.WriteString("\n|---|" + strings.Repeat("---|", len(Faults())) + "\n")
	for _, step := range lavstep.Steps() {
		fmt.Fprintf(page, "| %v |", step)
		for _, f := range Faults() {
			mark := "not run"
			if r, ok := single[Cell{Fault: f, Step: step}]; ok {
				mark = verdictMarks[r.Verdict]
			}
			fmt.Fprintf(page, " %s |", mark)
		}
		page.WriteString("\n")
	}
}

// writeBroken lists the cells that violated a guarantee, with the violations.
func writeBroken(page *bytes.Buffer, results []Result) {
	page.WriteString("\n## Broken promises\n\n")
	broken := slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Verdict != VerdictBroken })
	if len(broken) == 0 {
		page.WriteString("None.\n")
	}
	slices.SortFunc(broken, func(a, b Result) int { return strings.Compare(a.Cell.Name(), b.Cell.Name()) })
	for _, r := range broken {
		fmt.Fprintf(page, "- %s: %s\n", r.Cell.Name(), strings.Join(r.Broken, "; "))
	}
}
