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

// Compare runs a site under each placement mode with each seed, and prints a table of medians with their range. All
// modes run with one seed before the next seed starts, so that slow periods of the machine affect the modes alike.
//
// Example: err := testbed.Compare(ctx, testbed.Options{Site: "paramo", Seconds: 20, Seeds: 3, Seed: 1}, os.Stdout)
func Compare(ctx context.Context, options Options, out io.Writer) error {
	summaries := map[string][]loadgen.Summary{}
	base := options.Dir
	for i := range options.Seeds {
		for _, mode := range Modes() {
			runOptions := options
			runOptions.Mode, runOptions.Seed, runOptions.Dir = mode, options.Seed+uint64(i), filepath.Join(base, fmt.Sprintf("%s-%d", mode, i))
			if err := os.MkdirAll(runOptions.Dir, 0o755); err != nil {
				return errs.Wrap(err, "create the folder "+runOptions.Dir)
			}
			result, err := Run(ctx, runOptions)
			if err != nil {
				return errs.Wrap(err, "run with placement mode "+mode)
			}
			summaries[mode] = append(summaries[mode], result.Summary)
		}
	}
	table := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintf(table, "%s, %d s, seeds %d to %d: median (minimum to maximum)\n", options.Site, options.Seconds, options.Seed, options.Seed+uint64(options.Seeds)-1)
	fmt.Fprintln(table, "placement\tcache hit share\tfetched share\tprefilled tokens\tload max/mean\tcomplete responses\tviolations")
	for _, mode := range Modes() {
		row := func(value func(loadgen.Summary) float64, format string) string {
			var values []float64
			for _, result := range summaries[mode] {
				values = append(values, value(result))
			}
			sort.Float64s(values)
			return fmt.Sprintf(format+" ("+format+" to "+format+")", values[len(values)/2], values[0], values[len(values)-1])
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", mode, row(func(result loadgen.Summary) float64 { return result.HitShare }, "%.3f"),
			row(func(result loadgen.Summary) float64 { return result.FetchedShare }, "%.3f"), row(func(result loadgen.Summary) float64 { return float64(result.PrefilledTokens) }, "%.0f"),
			row(func(result loadgen.Summary) float64 { return result.LoadMaxToMean }, "%.2f"), row(func(result loadgen.Summary) float64 { return float64(result.Sealed) / float64(result.Requests) }, "%.3f"),
			row(func(result loadgen.Summary) float64 { return float64(len(result.Faults)) }, "%.0f"))
	}
	return errs.Wrap(table.Flush(), "write the table of placement modes")
}
