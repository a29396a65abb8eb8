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
	"pebbleloom/internal/queue"
)

// Line formats a run's report as one line, which Tally parses.
//
// Example: fmt.Println(testbed.Line(report))
func Line(r *Report) string {
	return fmt.Sprintf("%-16s %-7s seed %d: sealed %d of %d, during %.3f, after healing %.3f, hit share %.2f %.2f %.2f, extra runs %d, denied %v, broken %d, faults %d",
		r.Scenario, r.Site, r.Seed, r.Sum.Sealed, r.Sum.Requests, r.SealedDuring, r.SealedAfterRecovery, r.HitShares[0], r.HitShares[1], r.HitShares[2], r.ExtraRuns, r.Sum.Rejected, r.Sum.Interrupted, len(r.Faults))
}

var linePattern = regexp.MustCompile(`(\S+) +(paramo|daegu) +seed \d+: sealed (\d+) of (\d+), during ([\d.]+), after (?:healing )?([\d.]+),.* extra runs (\d+), denied map\[[^]]*\](?:, broken \d+, faults (\d+))?`)

// tallyRow holds the figures of one line.
type tallyRow struct{ sealed, during, after, extra, faults float64 }

// Tally prints a table from the lines of many runs: their number, the median and the worst sealed shares, and the
// number of faults. All mixtures of a site share a row. It fails with errs.BadInput if there is no line of a run.
//
// Example: err := testbed.Tally(os.Stdin, os.Stdout)
func Tally(in io.Reader, out io.Writer) error {
	rows := map[string][]tallyRow{}
	b := bufio.NewScanner(in)
	b.Buffer(nil, 1<<20)
	for b.Scan() {
		m := linePattern.FindStringSubmatch(b.Text())
		if m == nil {
			continue
		}
		n := make([]float64, len(m))
		for i := 3; i < len(m); i++ {
			if m[i] != "" {
				var err error
				if n[i], err = strconv.ParseFloat(m[i], 64); err != nil {
					return errs.WrapAs(err, errs.BadInput, "line "+b.Text())
				}
			}
		}
		name := m[1]
		if strings.HasPrefix(name, "mix-") {
			name = "mixtures"
		}
		k := name + " | " + m[2]
		rows[k] = append(rows[k], tallyRow{n[3] / max(1, n[4]), n[5], n[6], n[7], n[8]})
	}
	if err := b.Err(); err != nil {
		return errs.Wrap(err, "read lines")
	}
	if len(rows) == 0 {
		return errs.New(errs.BadInput, "no line of a run in the input: give the output of `testbed play` or of the simulated cluster")
	}
	fmt.Fprintln(out, "| scenario | site | runs | faults | sealed | during | after | extra runs |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, k := range queue.Keys(rows) {
		l := rows[k]
		col := func(f func(tallyRow) float64) string {
			var v []float64
			for _, x := range l {
				v = append(v, f(x))
			}
			sort.Float64s(v)
			return fmt.Sprintf("%.3f, worst %.3f", v[len(v)/2], v[0])
		}
		faults, extra := 0.0, 0.0
		for _, x := range l {
			faults, extra = faults+x.faults, max(extra, x.extra)
		}
		fmt.Fprintf(out, "| %s | %d | %.0f | %s | %s | %s | %.0f at most |\n", k, len(l), faults, col(func(x tallyRow) float64 { return x.sealed }),
			col(func(x tallyRow) float64 { return x.during }), col(func(x tallyRow) float64 { return x.after }), extra)
	}
	return nil
}
