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
	Site, Dir, Bin, Mode string
	Old                  string // folder of an earlier release's programs
	Scenario             string
	Seconds, Net, Seeds  int
	Times                int
	Part, Out            string // with capacity
	Quick                bool
	Seed                 uint64
	Rate                 float64
}

// Main is the command line of the test bed.
//
// Example: os.Exit(testbed.Main([]string{"up", "--site", "paramo"}, os.Stdout, os.Stderr))
func Main(args []string, out, bad io.Writer) int {
	if os.Getenv(capacity.HollowVariable) != "" { // the far end of another test bed's measurement
		return capacity.Hollow(os.Stdin, out)
	}
	o := Options{Seconds: 20, Seed: 1, Net: 10}
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
		s.String(&o.Site, "s", "site", "paramo or daegu")
		s.String(&o.Dir, "d", "dir", "folder for settings, data and logs")
		s.String(&o.Bin, "b", "bin", "folder with the programs")
		s.String(&o.Old, "o", "old", "with upgrade: folder with an earlier release's programs")
		s.String(&o.Mode, "m", "mode", "placement: hrcs, all-replicated, all-sharded or no-index")
		s.Int(&o.Seconds, "t", "seconds", "how long callers send")
		s.Int(&o.Net, "n", "net", "second byte of the loopback addresses")
		s.String(&o.Scenario, "c", "scenario", "with play: its name; all of them without")
		s.Int(&o.Times, "x", "times", "times today's size, 1 to 4")
		s.Int(&o.Seeds, "k", "seeds", "with compare: how many seeds")
		s.UInt64(&o.Seed, "e", "seed", "seed of the callers")
		s.Float64(&o.Rate, "r", "rate", "requests a second; 0: the site's own")
		s.String(&o.Part, "p", "part", "with capacity: nodes, workers, plans, kept, placement, calls, follow, group or traffic; all without; page: write the page anew")
		s.String(&o.Out, "f", "out", "with capacity: file that keeps what was measured; with page: the folder docs")
		s.Bool(&o.Quick, "q", "quick", "with capacity: a few sizes so small that the figures mean nothing")
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
		if err := sizes(o, out, bad); err != nil {
			return fail(err)
		}
		return 0
	}
	if o.Bin == "" {
		exe, err := os.Executable()
		if err != nil {
			return fail(errs.Wrap(err, "find programs"))
		}
		o.Bin = filepath.Dir(exe)
	}
	if o.Dir == "" {
		d, err := os.MkdirTemp("", "testbed-")
		if err != nil {
			return fail(errs.Wrap(err, "make folder"))
		}
		o.Dir = d
	}
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer end()
	if used == "up" {
		if o.Site == "" {
			o.Site = "paramo"
		}
		return up(ctx, o, out, fail)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	if used == "mix" {
		return plays(ctx, o, out, fail, func(seed uint64) []Scenario {
			l := []Scenario{}
			for _, s := range Sites() {
				if o.Site == "" || o.Site == s {
					l = append(l, Script(s, seed, Mix(seed)))
				}
			}
			return l
		})
	}
	if used == "scenarios" || used == "play" {
		return scenarios(ctx, o, used, out, bad, fail)
	}
	if o.Site == "" {
		o.Site = "paramo"
	}
	if used == "tally" {
		if err := Tally(os.Stdin, out); err != nil {
			return fail(err)
		}
		return 0
	}
	if used == "upgrade" {
		if o.Old == "" {
			return fail(errs.New(errs.BadInput, "--old is missing: name the folder of an earlier release's programs"))
		}
		rep, err := Upgrade(ctx, o)
		if err != nil {
			return fail(err)
		}
		return tell(out, rep, "upgrade --old "+o.Old, o.Dir)
	}
	if used == "fit" {
		c, err := Fit(ctx, o)
		if err == nil {
			err = enc.Encode(c)
		}
		if err != nil {
			return fail(err)
		}
		return 0
	}
	if used == "compare" {
		o.Seeds = max(1, o.Seeds)
		if err := Compare(ctx, o, out); err != nil {
			return fail(err)
		}
		return 0
	}
	sum, err := Run(ctx, o)
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

func (o Options) start(ctx context.Context) (*Fleet, error) {
	s, err := PlanTimes(o.Site, o.Dir, o.Net, nil, max(1, o.Times))
	if err != nil {
		return nil, err
	}
	if o.Mode != "" {
		v := s.Setup.Services[s.Traffic.Model+"-main"]
		v.Placement = o.Mode
		s.Setup.Services[s.Traffic.Model+"-main"] = v
	}
	if o.Rate > 0 {
		s.Traffic.Rate = o.Rate
	}
	return Up(ctx, s, o.Dir, o.Bin)
}

func up(ctx context.Context, o Options, out io.Writer, fail func(error) int) int {
	f, err := o.start(ctx)
	if err != nil {
		return fail(err)
	}
	fmt.Fprintf(out, "site %s is up: %d processes, logs and settings in %s\nask at      http://%s/v1/answers\noperate at  pebblectl --node %s\n",
		o.Site, len(f.Site.Processes), o.Dir, f.Site.Edges[0], f.Site.Operators[0])
	<-ctx.Done()
	f.Down()
	return 0
}

// Run runs a site with callers for a while, and settles what they saw with what ran.
//
// Example: sum, err := testbed.Run(ctx, testbed.Options{Site: "daegu", Seconds: 10, Seed: 1})
func Run(ctx context.Context, o Options) (Ran, error) {
	f, err := o.start(ctx)
	if err != nil {
		return Ran{}, err
	}
	defer f.Down()
	book := &loadgen.Book{}
	n := int(float64(o.Seconds) * f.Site.Traffic.Rate)
	one, end := context.WithTimeout(ctx, time.Duration(o.Seconds)*2*time.Second)
	defer end()
	loadgen.Drive(one, f.Site.Traffic, loadgen.NewCaller(f.Site.Edges), o.Seed, "r", n, book)
	use := f.Usage()
	js, err := f.Journals()
	if err != nil {
		return Ran{}, errs.Wrap(err, "journals")
	}
	return Ran{book.Settle(js, true), use}, nil
}

// scenarios lists them, or plays one or all.
func scenarios(ctx context.Context, o Options, used string, out, bad io.Writer, fail func(error) int) int {
	all, err := Scenarios()
	if err != nil {
		return fail(err)
	}
	var l []Scenario
	for _, sc := range all {
		if used == "scenarios" {
			fmt.Fprintf(out, "%-16s %-7s %s\n", sc.Name, sc.Site, sc.About)
		} else if o.Scenario == "" || o.Scenario == sc.Name {
			l = append(l, sc)
		}
	}
	if used == "scenarios" {
		return 0
	}
	if len(l) == 0 {
		fmt.Fprintln(bad, "testbed: no scenario "+o.Scenario+": see testbed scenarios")
		return errs.NotFound.ExitCode
	}
	return plays(ctx, o, out, fail, func(uint64) []Scenario { return l })
}

// plays plays the scenarios of each seed, and prints a line for each and what is wrong.
func plays(ctx context.Context, o Options, out io.Writer, fail func(error) int, of func(seed uint64) []Scenario) (code int) {
	base := o.Dir
	for i := range uint64(max(1, o.Seeds)) {
		for _, sc := range of(o.Seed + i) {
			p := o
			p.Seed, p.Dir = o.Seed+i, filepath.Join(base, fmt.Sprintf("%s-%s-%d", sc.Name, sc.Site, o.Seed+i))
			rep, err := Play(ctx, sc, p)
			if err != nil {
				return fail(errs.Wrap(err, "scenario "+sc.Name))
			}
			how := "play --scenario " + sc.Name
			if strings.HasPrefix(sc.Name, "mix-") {
				how = "mix"
			}
			code = max(code, tell(out, rep, how, p.Dir))
		}
	}
	return code
}

// tell prints a run's line and what is wrong; 1 if anything is.
func tell(out io.Writer, rep *Report, how, dir string) int {
	fmt.Fprintln(out, Line(rep))
	for _, m := range rep.Sum.Samples {
		fmt.Fprintln(out, "  "+m)
	}
	for _, f := range rep.Faults {
		fmt.Fprintln(out, "  FAULT "+f)
	}
	if len(rep.Faults) == 0 {
		return 0
	}
	fmt.Fprintf(out, "  steps: %s\n  replay: testbed %s --site %s --seed %d (logs in %s)\n", strings.Join(rep.Steps, "; "), how, rep.Site, rep.Seed, dir)
	return 1
}
