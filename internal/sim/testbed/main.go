package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/capacity"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/loadgen"
)

// Options are what the test bed's commands take.
type Options struct {
	Site, Dir, Programs, Mode   string
	EarlierRelease              string // folder of an earlier release's programs
	Scenario                    string
	Seconds, AddressByte, Seeds int
	Times                       int
	Part, Out                   string // with capacity
	Quick                       bool
	Seed                        uint64
	Rate                        float64
}

// Main is the command line of the test bed.
//
// Example: os.Exit(testbed.Main([]string{"up", "--site", "paramo"}, os.Stdout, os.Stderr))
func Main(args []string, out, bad io.Writer) int {
	if os.Getenv(capacity.HollowVariable) != "" { // the far end of another test bed's measurement
		return capacity.Hollow(os.Stdin, out)
	}
	options := Options{Seconds: 20, Seed: 1, AddressByte: 10}
	ps := flaggy.NewParser("testbed")
	ps.Description = "runs a whole site on this machine\n\n  testbed up --site paramo              run until interrupted\n  testbed run --site daegu --seconds 20  run with callers, check, report, stop\n  testbed fit > curve.json               fit the prefill curve on a worker"
	ps.ShowHelpOnUnexpected = false
	ps.DisableShowVersionWithVersion()
	ps.ShowCompletion = false
	sub := map[string]*flaggy.Subcommand{}
	for _, c := range [][2]string{{"up", "start a site and keep it until interrupted"}, {"run", "start a site, send callers' traffic, check it all, stop"},
		{"compare", "run a site under each placement in turn, over several seeds, and print a table"},
		{"scenarios", "list the runs with failures"},
		{"mix", "draw troubles by the seed and run them: testbed mix --seed 7 --seeds 10"},
		{"play", "run one scenario, or all: testbed play --scenario owner-killed"},
		{"tally", "draw a table from the lines of many runs, which come in on standard input"},
		{"upgrade", "bring a site of an earlier release to this one and back: testbed upgrade --old /tmp/old-bin"},
		{"capacity", "measure what each role costs as the fleet grows (docs/CAPACITY.md)"},
		{"fit", "measure a worker's prefill and fit the curve (JSON, to be kept as internal/data/placement/curve.json)"}} {
		s := flaggy.NewSubcommand(c[0])
		s.Description = c[1]
		s.String(&options.Site, "s", "site", "paramo or daegu")
		s.String(&options.Dir, "d", "dir", "folder for settings, data and logs")
		s.String(&options.Programs, "b", "bin", "folder with the programs")
		s.String(&options.EarlierRelease, "o", "old", "with upgrade: folder with an earlier release's programs")
		s.String(&options.Mode, "m", "mode", "placement: hrcs, all-replicated, all-sharded or no-index")
		s.Int(&options.Seconds, "t", "seconds", "how long callers send")
		s.Int(&options.AddressByte, "n", "net", "second byte of the loopback addresses")
		s.String(&options.Scenario, "c", "scenario", "with play: its name; all of them without")
		s.Int(&options.Times, "x", "times", "times today's size, 1 to 4")
		s.Int(&options.Seeds, "k", "seeds", "with compare: how many seeds")
		s.UInt64(&options.Seed, "e", "seed", "seed of the callers")
		s.Float64(&options.Rate, "r", "rate", "requests a second; 0: the site's own")
		s.String(&options.Part, "p", "part", "with capacity: nodes, workers, plans, kept, placement, calls, follow, group or traffic; all without; page: write the page anew")
		s.String(&options.Out, "f", "out", "with capacity: file that keeps what was measured; with page: the folder docs")
		s.Bool(&options.Quick, "q", "quick", "with capacity: a few sizes so small that the figures mean nothing")
		ps.AttachSubcommand(s, 1)
		sub[c[0]] = s
	}
	fail := func(err error) int {
		fmt.Fprintln(bad, "testbed: "+errs.Text(err))
		return errs.KindOf(err).ExitCode
	}
	words, err := settings.ParseStrict(ps, args)
	if err == nil && len(words) > 1 {
		err = errs.New(errs.BadInput, "%q: give one command: see --help", words)
	}
	if err == nil {
		err = errs.WrapAs(ps.ParseArgs(args), errs.BadInput, "flags")
	}
	if err != nil {
		return fail(err)
	}
	used := ""
	for n, c := range sub {
		if c.Used {
			used = n
		}
	}
	if used == "" {
		return fail(errs.New(errs.BadInput, "no command: give up, run, compare, scenarios, play, mix, capacity or fit (see --help)"))
	}
	if used == "capacity" {
		if err := measureCapacity(options, out, bad); err != nil {
			return fail(err)
		}
		return 0
	}
	if options.Programs == "" {
		exe, err := os.Executable()
		if err != nil {
			return fail(errs.Wrap(err, "find programs"))
		}
		options.Programs = filepath.Dir(exe)
	}
	if options.Dir == "" {
		d, err := os.MkdirTemp("", "testbed-")
		if err != nil {
			return fail(errs.Wrap(err, "make folder"))
		}
		options.Dir = d
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer end()
	if used == "up" {
		if options.Site == "" {
			options.Site = "paramo"
		}
		return up(ctx, options, out, fail)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	if used == "mix" {
		return playSeeds(ctx, options, out, fail, func(seed uint64) []Scenario {
			l := []Scenario{}
			for _, s := range Sites() {
				if options.Site == "" || options.Site == s {
					l = append(l, FaultScenario(s, seed, DrawFaults(seed)))
				}
			}
			return l
		})
	}
	if used == "scenarios" || used == "play" {
		return scenarios(ctx, options, used, out, bad, fail)
	}
	if options.Site == "" {
		options.Site = "paramo"
	}
	if used == "tally" {
		if err := Tally(os.Stdin, out); err != nil {
			return fail(err)
		}
		return 0
	}
	if used == "upgrade" {
		if options.EarlierRelease == "" {
			return fail(errs.New(errs.BadInput, "--old is missing: name the folder of an earlier release's programs"))
		}
		report, err := Upgrade(ctx, options)
		if err != nil {
			return fail(err)
		}
		return printReport(out, report, "upgrade --old "+options.EarlierRelease, options.Dir)
	}
	if used == "fit" {
		c, err := Fit(ctx, options)
		if err == nil {
			err = enc.Encode(c)
		}
		if err != nil {
			return fail(err)
		}
		return 0
	}
	if used == "compare" {
		options.Seeds = max(1, options.Seeds)
		if err := Compare(ctx, options, out); err != nil {
			return fail(err)
		}
		return 0
	}
	sum, err := Run(ctx, options)
	if err != nil {
		return fail(err)
	}
	if err := enc.Encode(sum); err != nil {
		return fail(errs.Wrap(err, "write report"))
	}
	if len(sum.Faults) > 0 || sum.Sealed == 0 {
		return 1
	}
	return 0
}

func (options Options) start(ctx context.Context) (*Fleet, error) {
	s, err := LayOutTimes(options.Site, options.Dir, options.AddressByte, nil, max(1, options.Times))
	if err != nil {
		return nil, err
	}
	if options.Mode != "" {
		v := s.Config.Services[s.Traffic.Model+"-main"]
		v.Placement = options.Mode
		s.Config.Services[s.Traffic.Model+"-main"] = v
	}
	if options.Rate > 0 {
		s.Traffic.Rate = options.Rate
	}
	return Up(ctx, s, options.Dir, options.Programs)
}

func up(ctx context.Context, options Options, out io.Writer, fail func(error) int) int {
	f, err := options.start(ctx)
	if err != nil {
		return fail(err)
	}
	fmt.Fprintf(out, "site %s is up: %d processes, logs and settings in %s\nask at      http://%s/v1/answers\noperate at  pebblectl --node %s\n",
		options.Site, len(f.Site.Processes), options.Dir, f.Site.Edges[0], f.Site.Operators[0])
	<-ctx.Done()
	f.Stop()
	return 0
}

// Run runs a site with callers for a while, and settles what they saw with what ran.
//
// Example: sum, err := testbed.Run(ctx, testbed.Options{Site: "daegu", Seconds: 10, Seed: 1})
func Run(ctx context.Context, options Options) (RunResult, error) {
	f, err := options.start(ctx)
	if err != nil {
		return RunResult{}, err
	}
	defer f.Stop()
	log := &loadgen.OutcomeLog{}
	n := int(float64(options.Seconds) * f.Site.Traffic.Rate)
	one, end := context.WithTimeout(ctx, time.Duration(options.Seconds)*2*time.Second)
	defer end()
	loadgen.SendTraffic(one, f.Site.Traffic, loadgen.NewClient(f.Site.Edges), options.Seed, "r", n, log)
	use := f.Usage()
	journals, err := f.Journals()
	if err != nil {
		return RunResult{}, errs.Wrap(err, "journals")
	}
	return RunResult{log.Summarize(journals, true), use}, nil
}

// scenarios lists them, or plays one or all.
func scenarios(ctx context.Context, options Options, used string, out, bad io.Writer, fail func(error) int) int {
	all, err := Scenarios()
	if err != nil {
		return fail(err)
	}
	var l []Scenario
	for _, scenario := range all {
		if used == "scenarios" {
			fmt.Fprintf(out, "%-16s %-7s %s\n", scenario.Name, scenario.Site, scenario.About)
		} else if options.Scenario == "" || options.Scenario == scenario.Name {
			l = append(l, scenario)
		}
	}
	if used == "scenarios" {
		return 0
	}
	if len(l) == 0 {
		fmt.Fprintln(bad, "testbed: no scenario "+options.Scenario+": see testbed scenarios")
		return errs.NotFound.ExitCode
	}
	return playSeeds(ctx, options, out, fail, func(uint64) []Scenario { return l })
}

// playSeeds plays the scenarios of each seed, and prints a line for each and what is wrong.
func playSeeds(ctx context.Context, options Options, out io.Writer, fail func(error) int, of func(seed uint64) []Scenario) (code int) {
	base := options.Dir
	for i := range uint64(max(1, options.Seeds)) {
		for _, scenario := range of(options.Seed + i) {
			p := options
			p.Seed, p.Dir = options.Seed+i, filepath.Join(base, fmt.Sprintf("%s-%s-%d", scenario.Name, scenario.Site, options.Seed+i))
			report, err := Play(ctx, scenario, p)
			if err != nil {
				return fail(errs.Wrap(err, "scenario "+scenario.Name))
			}
			how := "play --scenario " + scenario.Name
			if strings.HasPrefix(scenario.Name, "mix-") {
				how = "mix"
			}
			code = max(code, printReport(out, report, how, p.Dir))
		}
	}
	return code
}

// printReport prints a run's line and what is wrong; 1 if anything is.
func printReport(out io.Writer, report *Report, how, dir string) int {
	fmt.Fprintln(out, Line(report))
	for _, m := range report.Sum.Samples {
		fmt.Fprintln(out, "  "+m)
	}
	for _, f := range report.Faults {
		fmt.Fprintln(out, "  FAULT "+f)
	}
	if len(report.Faults) == 0 {
		return 0
	}
	fmt.Fprintf(out, "  steps: %s\n  replay: testbed %s --site %s --seed %d (logs in %s)\n", strings.Join(report.Steps, "; "), how, report.Site, report.Seed, dir)
	return 1
}
