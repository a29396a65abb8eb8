package testbed

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"text/tabwriter"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/sim/loadgen"
)

// Modes returns the placement modes that Compare runs.
//
// Example: for _, m := range testbed.Modes() { run(m) }
func Modes() []string { return []string{"hrcs", "all-replicated", "all-sharded", "no-index"} }

// Compare runs a site under each placement mode and prints medians with their range. The modes take turns within
// a seed, so that a slow phase of the machine affects all alike.
//
// Example: err := testbed.Compare(ctx, testbed.Options{Site: "paramo", Seconds: 20, Seeds: 3, Seed: 1}, os.Stdout)
func Compare(ctx context.Context, options Options, out io.Writer) error {
	got := map[string][]loadgen.Summary{}
	base := options.Dir
	for i := range options.Seeds {
		for _, m := range Modes() {
			p := options
			p.Mode, p.Seed, p.Dir = m, options.Seed+uint64(i), filepath.Join(base, fmt.Sprintf("%s-%d", m, i))
			if err := os.MkdirAll(p.Dir, 0o755); err != nil {
				return errs.Wrap(err, "make folder")
			}
			s, err := Run(ctx, p)
			if err != nil {
				return errs.Wrap(err, m)
			}
			got[m] = append(got[m], s.Summary)
		}
	}
	w := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintf(w, "%s, %d s, seeds %d to %d: median (least to most)\n", options.Site, options.Seconds, options.Seed, options.Seed+uint64(options.Seeds)-1)
	fmt.Fprintln(w, "placement\thit share\tfetched share\tprefilled tokens\tload max/mean\tsealed\tfaults")
	for _, m := range Modes() {
		row := func(f func(loadgen.Summary) float64, form string) string {
			var l []float64
			for _, s := range got[m] {
				l = append(l, f(s))
			}
			sort.Float64s(l)
			return fmt.Sprintf(form+" ("+form+" to "+form+")", l[len(l)/2], l[0], l[len(l)-1])
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m, row(func(s loadgen.Summary) float64 { return s.HitShare }, "%.3f"),
			row(func(s loadgen.Summary) float64 { return s.FetchedShare }, "%.3f"), row(func(s loadgen.Summary) float64 { return float64(s.PrefilledTokens) }, "%.0f"),
			row(func(s loadgen.Summary) float64 { return s.LoadMaxToMean }, "%.2f"), row(func(s loadgen.Summary) float64 { return float64(s.Sealed) / float64(s.Requests) }, "%.3f"),
			row(func(s loadgen.Summary) float64 { return float64(len(s.Faults)) }, "%.0f"))
	}
	return errs.Wrap(w.Flush(), "write table")
}
