package testbed

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// Line formats the report of a run as one line of text, which Tally can parse.
//
// Example: fmt.Println(testbed.Line(report))
func Line(report *Report) string {
	return fmt.Sprintf("%-16s %-7s seed %d: sealed %d of %d, during %.3f, after healing %.3f, hit share %.2f %.2f %.2f, extra runs %d, denied %v, broken %d, faults %d",
		report.Scenario, report.Site, report.Seed, report.Sum.Sealed, report.Sum.Requests, report.SealedDuring, report.SealedAfterRecovery, report.HitShares[0], report.HitShares[1], report.HitShares[2], report.ExtraRuns, report.Sum.Rejected, report.Sum.Interrupted, len(report.Faults))
}

var linePattern = regexp.MustCompile(`(\S+) +(paramo|daegu) +seed \d+: sealed (\d+) of (\d+), during ([\d.]+), after (?:healing )?([\d.]+),.* extra runs (\d+), denied map\[[^]]*\](?:, broken \d+, faults (\d+))?`)

// tallyRow holds the figures that Tally reads from the line of one run.
type tallyRow struct{ sealed, during, after, extra, faults float64 }

// Tally reads lines that Line formatted and prints a table with one row for each scenario and site: the number of runs
// and of violations, the median and worst shares of complete responses, and the largest number of retries. All
// scenarios of randomly drawn faults of a site share a row. It fails with errs.BadInput if the input contains no such
// line.
//
// Example: err := testbed.Tally(os.Stdin, os.Stdout)
func Tally(in io.Reader, out io.Writer) error {
	rows := map[string][]tallyRow{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		match := linePattern.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		figures := make([]float64, len(match))
		for i := 3; i < len(match); i++ {
			if match[i] != "" {
				var err error
				if figures[i], err = strconv.ParseFloat(match[i], 64); err != nil {
					return errs.WrapAs(err, errs.BadInput, "parse a number in the line "+lines.Text())
				}
			}
		}
		name := match[1]
		if strings.HasPrefix(name, "mix-") {
			name = "mixtures"
		}
		key := name + " | " + match[2]
		rows[key] = append(rows[key], tallyRow{figures[3] / max(1, figures[4]), figures[5], figures[6], figures[7], figures[8]})
	}
	if err := lines.Err(); err != nil {
		return errs.Wrap(err, "read the lines of runs")
	}
	if len(rows) == 0 {
		return errs.New(errs.BadInput, "the input contains no result line of a run: give the output of `testbed play` or of `go test ./internal/sim/clustersim -run TestScenarios -v`")
	}
	fmt.Fprintln(out, "| scenario | site | runs | faults | sealed | during | after | extra runs |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, key := range maputil.SortedKeys(rows) {
		group := rows[key]
		column := func(value func(tallyRow) float64) string {
			var values []float64
			for _, row := range group {
				values = append(values, value(row))
			}
			sort.Float64s(values)
			return fmt.Sprintf("%.3f, worst %.3f", values[len(values)/2], values[0])
		}
		faults, extra := 0.0, 0.0
		for _, row := range group {
			faults, extra = faults+row.faults, max(extra, row.extra)
		}
		fmt.Fprintf(out, "| %s | %d | %.0f | %s | %s | %s | %.0f at most |\n", key, len(group), faults, column(func(row tallyRow) float64 { return row.sealed }),
			column(func(row tallyRow) float64 { return row.during }), column(func(row tallyRow) float64 { return row.after }), extra)
	}
	return nil
}
