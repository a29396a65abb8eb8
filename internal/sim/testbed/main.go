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

// Options are the options of the test bed's commands.
type Options struct {
	Site           string
	Dir            string  // folder for settings, data and logs; empty: a new one
	Programs       string  // folder with the programs; empty: that of this program
	EarlierRelease string  // with upgrade: folder of an earlier release's programs
	Mode           string  // placement that is forced; empty: the site's own
	Scenario       string  // with play; empty: all
	Seconds        int     // how long clients send
	AddressByte    int     // second byte of the site's loopback addresses
	Seeds          int     // how many seeds, from Seed on
	Times          int     // times today's size, 1 to 4
	Seed           uint64  // of the traffic and of drawn faults
	Rate           float64 // requests a second; 0: the site's own
	Part           string  // with capacity: what is measured; empty: all
	Out            string  // with capacity: file with the measured series
	Quick          bool    // with capacity: sizes too small for meaningful figures
}

const (
	defaultSite = "paramo"
	exitFaults  = 1 // a run saw a fault
)

// command is one command of the test bed. Its exit code counts only if there is no error.
type command struct {
	name  string
	about string
	run   func(ctx context.Context, options Options, out io.Writer) (exitCode int, err error)
}

func commands() []command {
	return []command{
		{"up", "start a site and keep it until interrupted", runUp},
		{"run", "start a site, send clients' traffic, check it, stop", runOnce},
		{"compare", "run a site under each placement mode in turn, over several seeds, and print a table", runCompare},
		{"scenarios", "list the scenarios", listScenarios},
		{"mix", "draw faults by the seed and run them: testbed mix --seed 7 --seeds 10", runMix},
		{"play", "run one scenario, or all: testbed play --scenario owner-killed", runPlay},
		{"tally", "print a table from the lines of many runs on standard input", runTally},
		{"upgrade", "upgrade a site of an earlier release to this one and downgrade it again: testbed upgrade --old /tmp/old-bin", runUpgrade},
		{"capacity", "measure the resource use of each role over the size of the fleet (docs/CAPACITY.md)", nil},
		{"fit", "measure a worker's prefill time and fit the curve (JSON, stored as internal/data/placement/curve.json)", runFit},
	}
}

// Main is the command line of the test bed. It returns the exit code.
//
// Example: os.Exit(testbed.Main([]string{"up", "--site", "paramo"}, os.Stdout, os.Stderr))
func Main(args []string, out, bad io.Writer) int {
	if os.Getenv(capacity.HollowVariable) != "" { // this process is the peer of another test bed's measurement
		return capacity.Hollow(os.Stdin, out)
	}
	options := Options{Seconds: 20, Seed: 1, AddressByte: 10}
	c, err := parseCommand(args, &options)
	exitCode := 0
	if err == nil && c.name == "capacity" {
		err = measureCapacity(options, out, bad)
	} else if err == nil {
		exitCode, err = runCommand(c, options, out)
	}
	if err != nil {
		fmt.Fprintln(bad, "testbed: "+errs.Text(err))
		return errs.KindOf(err).ExitCode
	}
	return exitCode
}

// parseCommand fills the options from the flags and returns the command.
func parseCommand(args []string, options *Options) (*command, error) {
	parser := flaggy.NewParser("testbed")
	parser.Description = "runs a complete site on this machine\n\n  testbed up --site paramo              run until interrupted\n  testbed run --site daegu --seconds 20  run with clients, check, report, stop\n  testbed fit > curve.json               fit the prefill curve on a worker"
	parser.ShowHelpOnUnexpected = false
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	subcommands := map[string]*flaggy.Subcommand{}
	for _, candidate := range commands() {
		subcommands[candidate.name] = newSubcommand(candidate, options)
		parser.AttachSubcommand(subcommands[candidate.name], 1)
	}
	words, err := settings.ParseStrict(parser, args)
	if err == nil && len(words) > 1 {
		err = errs.New(errs.BadInput, "%q: give one command: see --help", words)
	}
	if err == nil {
		err = errs.WrapAs(parser.ParseArgs(args), errs.BadInput, "flags")
	}
	if err != nil {
		return nil, err
	}
	for _, candidate := range commands() {
		if subcommands[candidate.name].Used {
			return &candidate, nil
		}
	}
	return nil, errs.New(errs.BadInput, "no command: give up, run, compare, scenarios, play, mix, capacity or fit (see --help)")
}

// newSubcommand declares a command; all take the same flags.
func newSubcommand(c command, options *Options) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(c.name)
	sub.Description = c.about
	sub.String(&options.Site, "s", "site", "paramo or daegu")
	sub.String(&options.Dir, "d", "dir", "folder for settings, data and logs")
	sub.String(&options.Programs, "b", "bin", "folder with the programs")
	sub.String(&options.EarlierRelease, "o", "old", "with upgrade: folder with an earlier release's programs")
	sub.String(&options.Mode, "m", "mode", "placement: hrcs, all-replicated, all-sharded or no-index")
	sub.Int(&options.Seconds, "t", "seconds", "how long clients send")
	sub.Int(&options.AddressByte, "n", "net", "second byte of the loopback addresses")
	sub.String(&options.Scenario, "c", "scenario", "with play: its name; without: all of them")
	sub.Int(&options.Times, "x", "times", "times today's size, 1 to 4")
	sub.Int(&options.Seeds, "k", "seeds", "with compare: how many seeds")
	sub.UInt64(&options.Seed, "e", "seed", "seed of the traffic")
	sub.Float64(&options.Rate, "r", "rate", "requests a second; 0: the site's own")
	sub.String(&options.Part, "p", "part", "with capacity: nodes, workers, plans, kept, placement, calls, follow, group or traffic; without: all; page: regenerate the page")
	sub.String(&options.Out, "f", "out", "with capacity: file with the measured series; with page: the folder docs")
	sub.Bool(&options.Quick, "q", "quick", "with capacity: a few sizes too small for meaningful figures")
	return sub
}

// runCommand sets the folders that weren't given and runs a command until it ends or is interrupted.
func runCommand(c *command, options Options, out io.Writer) (exitCode int, err error) {
	if options.Programs == "" {
		executable, err := os.Executable()
		if err != nil {
			return 0, errs.Wrap(err, "find programs")
		}
		options.Programs = filepath.Dir(executable)
	}
	if options.Dir == "" {
		if options.Dir, err = os.MkdirTemp("", "testbed-"); err != nil {
			return 0, errs.Wrap(err, "make folder")
		}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return c.run(ctx, options, out)
}

// withDefaultSite sets the site for commands that run a single one.
func (options Options) withDefaultSite() Options {
	if options.Site == "" {
		options.Site = defaultSite
	}
	return options
}

// writeJSONTo prints a result, indented.
func writeJSONTo(out io.Writer, result any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return errs.Wrap(enc.Encode(result), "write report")
}

func runUp(ctx context.Context, options Options, out io.Writer) (int, error) {
	options = options.withDefaultSite()
	fleet, err := options.start(ctx)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(out, "site %s is up: %d processes, logs and settings in %s\nask at      http://%s/v1/answers\noperate at  pebblectl --node %s\n",
		options.Site, len(fleet.Site.Processes), options.Dir, fleet.Site.Edges[0], fleet.Site.Operators[0])
	<-ctx.Done()
	fleet.Stop()
	return 0, nil
}

func runOnce(ctx context.Context, options Options, out io.Writer) (int, error) {
	result, err := Run(ctx, options.withDefaultSite())
	if err != nil {
		return 0, err
	}
	if err := writeJSONTo(out, result); err != nil {
		return 0, err
	}
	if len(result.Faults) > 0 || result.Sealed == 0 {
		return exitFaults, nil
	}
	return 0, nil
}

func runCompare(ctx context.Context, options Options, out io.Writer) (int, error) {
	options.Seeds = max(1, options.Seeds)
	return 0, Compare(ctx, options.withDefaultSite(), out)
}

func runFit(ctx context.Context, options Options, out io.Writer) (int, error) {
	curve, err := Fit(ctx, options.withDefaultSite())
	if err != nil {
		return 0, err
	}
	return 0, writeJSONTo(out, curve)
}

func runTally(_ context.Context, _ Options, out io.Writer) (int, error) {
	return 0, Tally(os.Stdin, out)
}

func runUpgrade(ctx context.Context, options Options, out io.Writer) (int, error) {
	if options.EarlierRelease == "" {
		return 0, errs.New(errs.BadInput, "--old is missing: name the folder of an earlier release's programs")
	}
	report, err := Upgrade(ctx, options.withDefaultSite())
	if err != nil {
		return 0, err
	}
	return printReport(out, report, "upgrade --old "+options.EarlierRelease, options.Dir), nil
}

// runMix draws faults for each seed, at one site or at all.
func runMix(ctx context.Context, options Options, out io.Writer) (int, error) {
	return playSeeds(ctx, options, out, func(seed uint64) []Scenario {
		scenarios := []Scenario{}
		for _, site := range Sites() {
			if options.Site == "" || options.Site == site {
				scenarios = append(scenarios, FaultScenario(site, seed, DrawFaults(seed)))
			}
		}
		return scenarios
	})
}

func listScenarios(_ context.Context, _ Options, out io.Writer) (int, error) {
	scenarios, err := Scenarios()
	for _, scenario := range scenarios {
		fmt.Fprintf(out, "%-16s %-7s %s\n", scenario.Name, scenario.Site, scenario.About)
	}
	return 0, err
}

// runPlay plays one scenario or all.
func runPlay(ctx context.Context, options Options, out io.Writer) (int, error) {
	all, err := Scenarios()
	if err != nil {
		return 0, err
	}
	var selected []Scenario
	for _, scenario := range all {
		if options.Scenario == "" || options.Scenario == scenario.Name {
			selected = append(selected, scenario)
		}
	}
	if len(selected) == 0 {
		return 0, errs.New(errs.NotFound, "no scenario %s: see testbed scenarios", options.Scenario)
	}
	return playSeeds(ctx, options, out, func(uint64) []Scenario { return selected })
}

// playSeeds plays the scenarios of each seed and prints a line and the faults of each.
func playSeeds(ctx context.Context, options Options, out io.Writer, scenariosOf func(seed uint64) []Scenario) (exitCode int, err error) {
	for i := range uint64(max(1, options.Seeds)) {
		for _, scenario := range scenariosOf(options.Seed + i) {
			one := options
			one.Seed = options.Seed + i
			one.Dir = filepath.Join(options.Dir, fmt.Sprintf("%s-%s-%d", scenario.Name, scenario.Site, one.Seed))
			report, err := Play(ctx, scenario, one)
			if err != nil {
				return 0, errs.Wrap(err, "scenario "+scenario.Name)
			}
			replayCommand := "play --scenario " + scenario.Name
			if strings.HasPrefix(scenario.Name, "mix-") {
				replayCommand = "mix"
			}
			exitCode = max(exitCode, printReport(out, report, replayCommand, one.Dir))
		}
	}
	return exitCode, nil
}

func (options Options) start(ctx context.Context) (*Fleet, error) {
	site, err := NewScaledSite(options.Site, options.Dir, options.AddressByte, nil, max(1, options.Times))
	if err != nil {
		return nil, err
	}
	if options.Mode != "" {
		service := site.Config.Services[mainService(site.Traffic.Model)]
		service.Placement = options.Mode
		site.Config.Services[mainService(site.Traffic.Model)] = service
	}
	if options.Rate > 0 {
		site.Traffic.Rate = options.Rate
	}
	return Up(ctx, site, options.Dir, options.Programs)
}

// Run runs a site with client traffic for options.Seconds, and checks the outcomes against the workers' journals.
//
// Example: result, err := testbed.Run(ctx, testbed.Options{Site: "daegu", Seconds: 10, Seed: 1})
func Run(ctx context.Context, options Options) (RunResult, error) {
	fleet, err := options.start(ctx)
	if err != nil {
		return RunResult{}, err
	}
	defer fleet.Stop()
	log := &loadgen.OutcomeLog{}
	requests := int(float64(options.Seconds) * fleet.Site.Traffic.Rate)
	traffic, cancel := context.WithTimeout(ctx, time.Duration(options.Seconds)*2*time.Second)
	defer cancel()
	loadgen.SendTraffic(traffic, fleet.Site.Traffic, loadgen.NewClient(fleet.Site.Edges), options.Seed, "r", requests, log)
	usage := fleet.Usage()
	journals, err := fleet.Journals()
	if err != nil {
		return RunResult{}, errs.Wrap(err, "journals")
	}
	return RunResult{log.Summarize(journals, true), usage}, nil
}

// printReport prints a run's line and its faults, and returns the exit code: exitFaults if there are any.
func printReport(out io.Writer, report *Report, command, dir string) int {
	fmt.Fprintln(out, Line(report))
	for _, sample := range report.Sum.Samples {
		fmt.Fprintln(out, "  "+sample)
	}
	for _, fault := range report.Faults {
		fmt.Fprintln(out, "  FAULT "+fault)
	}
	if len(report.Faults) == 0 {
		return 0
	}
	fmt.Fprintf(out, "  steps: %s\n  replay: testbed %s --site %s --seed %d (logs in %s)\n", strings.Join(report.Steps, "; "), command, report.Site, report.Seed, dir)
	return exitFaults
}
