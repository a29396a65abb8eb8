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

// Options are the options of the testbed commands.
type Options struct {
	Site           string  // name of the site, see Sites; empty: the command's default
	Dir            string  // folder for settings, data and logs; empty: a new temporary folder
	Programs       string  // folder of the executables; empty: the folder of this executable
	EarlierRelease string  // command upgrade: folder of the executables of an earlier release
	Mode           string  // placement mode, one of Modes; empty: the one in the site's configuration
	Scenario       string  // command play: name of the scenario; empty: all scenarios
	Seconds        int     // duration of the client traffic in seconds
	AddressByte    int     // second byte of the site's loopback addresses
	Seeds          int     // number of consecutive seeds to run with, of which Seed is the first
	Times          int     // size of the site as a multiple of the regular size, 1 to 4
	Seed           uint64  // seed of the random traffic and faults
	Rate           float64 // client requests per second; 0: the site's default
	Part           string  // command capacity: part to measure; empty: all parts
	Out            string  // command capacity: output file for the measured series
	Quick          bool    // command capacity: measure only fleets too small for meaningful figures, as a test
}

const (
	defaultSite    = "paramo"
	exitViolations = 1 // exit code when a run violated an invariant
)

// command is a subcommand of the testbed program. The exit code of run is used only if it returns no error.
type command struct {
	name  string
	about string
	run   func(ctx context.Context, options Options, out io.Writer) (exitCode int, err error)
}

func commands() []command {
	return []command{
		{"up", "start a site and keep it running until interrupted", runUp},
		{"run", "start a site, send client traffic, check the responses and stop the site", runOnce},
		{"compare", "run a site under each placement mode with several seeds and print a table of the results", runCompare},
		{"scenarios", "list the fault scenarios", listScenarios},
		{"mix", "run scenarios with random faults that the seed determines: testbed mix --seed 7 --seeds 10", runMix},
		{"play", "run one fault scenario, or all: testbed play --scenario owner-killed", runPlay},
		{"tally", "summarize the result lines of many runs, read from standard input, in a table", runTally},
		{"upgrade", "upgrade a site of an earlier release to this one and downgrade it again: testbed upgrade --old /tmp/old-bin", runUpgrade},
		{"capacity", "measure the resource use of each role at several fleet sizes (docs/CAPACITY.md)", nil},
		{"fit", "measure a worker's prefill time by prompt length and print the fitted curve as JSON (stored as internal/data/placement/curve.json)", runFit},
	}
}

// Main runs the command line of the testbed program and returns the exit code.
//
// Example: os.Exit(testbed.Main([]string{"up", "--site", "paramo"}, os.Stdout, os.Stderr))
func Main(args []string, out, errOut io.Writer) int {
	if os.Getenv(capacity.HollowVariable) != "" { // a capacity measurement of another testbed process started this one as its peer
		return capacity.Hollow(os.Stdin, out)
	}
	options := Options{Seconds: 20, Seed: 1, AddressByte: 10}
	c, err := parseCommand(args, &options)
	exitCode := 0
	if err == nil && c.name == "capacity" {
		err = measureCapacity(options, out, errOut)
	} else if err == nil {
		exitCode, err = runCommand(c, options, out)
	}
	if err != nil {
		fmt.Fprintln(errOut, "testbed: "+errs.Text(err))
		return errs.KindOf(err).ExitCode
	}
	return exitCode
}

// parseCommand parses the command line, sets the options from its flags and returns the command that it names.
func parseCommand(args []string, options *Options) (*command, error) {
	parser := flaggy.NewParser("testbed")
	parser.Description = "runs a complete site on this machine\n\n  testbed up --site paramo               run a site until interrupted\n  testbed run --site daegu --seconds 20  run a site with client traffic and check it\n  testbed fit > curve.json               fit the curve of a worker's prefill time"
	parser.ShowHelpOnUnexpected = false
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	subcommands := map[string]*flaggy.Subcommand{}
	for _, candidate := range commands() {
		subcommands[candidate.name] = newSubcommand(candidate, options)
		parser.AttachSubcommand(subcommands[candidate.name], 1)
	}
	arguments, err := settings.ParseStrict(parser, args)
	if err == nil && len(arguments) > 1 {
		err = errs.New(errs.BadInput, "got several commands %q on the command line: give one (see --help)", arguments)
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
	return nil, errs.New(errs.BadInput, "no command given: use one of up, run, compare, scenarios, play, mix, tally, upgrade, capacity and fit (see --help)")
}

// newSubcommand declares a command to the flag parser. All commands accept the same flags.
func newSubcommand(c command, options *Options) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(c.name)
	sub.Description = c.about
	sub.String(&options.Site, "s", "site", "name of the site: paramo or daegu")
	sub.String(&options.Dir, "d", "dir", "folder for settings, data and logs")
	sub.String(&options.Programs, "b", "bin", "folder of the executables")
	sub.String(&options.EarlierRelease, "o", "old", "with upgrade: folder of the executables of an earlier release")
	sub.String(&options.Mode, "m", "mode", "placement mode: hrcs, all-replicated, all-sharded or no-index")
	sub.Int(&options.Seconds, "t", "seconds", "duration of the client traffic in seconds")
	sub.Int(&options.AddressByte, "n", "net", "second byte of the site's loopback addresses")
	sub.String(&options.Scenario, "c", "scenario", "with play: name of the scenario (default: all scenarios)")
	sub.Int(&options.Times, "x", "times", "size of the site as a multiple of the regular size, 1 to 4")
	sub.Int(&options.Seeds, "k", "seeds", "with compare, play and mix: number of consecutive seeds to run with, of which --seed is the first")
	sub.UInt64(&options.Seed, "e", "seed", "seed of the random traffic and faults")
	sub.Float64(&options.Rate, "r", "rate", "client requests per second (default: the site's rate)")
	sub.String(&options.Part, "p", "part", "with capacity: part to measure, one of nodes, workers, plans, kept, placement, calls, follow, group and traffic (default: all); page: regenerate the capacity page")
	sub.String(&options.Out, "f", "out", "with capacity: file to which the measured series are written; with --part page, which regenerates the capacity page of the documentation: path of the folder docs")
	sub.Bool(&options.Quick, "q", "quick", "with capacity: measure only fleets too small for meaningful figures, as a test")
	return sub
}

// runCommand sets defaults for the folders of executables and data, and runs a command until it ends or is interrupted.
func runCommand(c *command, options Options, out io.Writer) (exitCode int, err error) {
	if options.Programs == "" {
		executable, err := os.Executable()
		if err != nil {
			return 0, errs.Wrap(err, "find the folder of this executable")
		}
		options.Programs = filepath.Dir(executable)
	}
	if options.Dir == "" {
		if options.Dir, err = os.MkdirTemp("", "testbed-"); err != nil {
			return 0, errs.Wrap(err, "create a temporary folder")
		}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	return c.run(ctx, options, out)
}

// withDefaultSite returns the options with a default site, for commands that run a single site.
func (options Options) withDefaultSite() Options {
	if options.Site == "" {
		options.Site = defaultSite
	}
	return options
}

// writeJSONTo writes a result as indented JSON.
func writeJSONTo(out io.Writer, result any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return errs.Wrap(enc.Encode(result), "write the result as JSON")
}

func runUp(ctx context.Context, options Options, out io.Writer) (int, error) {
	options = options.withDefaultSite()
	fleet, err := options.start(ctx)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(out, "site %s is up: %d processes, logs and settings in %s\nclient API    http://%s/v1/answers\noperator CLI  pebblectl --node %s\n",
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
		return exitViolations, nil
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
		return 0, errs.New(errs.BadInput, "flag --old is missing: give the folder of the executables of an earlier release")
	}
	report, err := Upgrade(ctx, options.withDefaultSite())
	if err != nil {
		return 0, err
	}
	return printReport(out, report, "upgrade --old "+options.EarlierRelease, options.Dir), nil
}

// runMix runs a scenario of randomly drawn faults for each seed, on the given site or on each site.
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

// runPlay runs the given scenario, or all scenarios.
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
		return 0, errs.New(errs.NotFound, "unknown scenario %s: the command testbed scenarios lists them", options.Scenario)
	}
	return playSeeds(ctx, options, out, func(uint64) []Scenario { return selected })
}

// playSeeds runs the scenarios of each seed, and prints the result line and the violations of each run.
func playSeeds(ctx context.Context, options Options, out io.Writer, scenariosOf func(seed uint64) []Scenario) (exitCode int, err error) {
	for i := range uint64(max(1, options.Seeds)) {
		for _, scenario := range scenariosOf(options.Seed + i) {
			runOptions := options
			runOptions.Seed = options.Seed + i
			runOptions.Dir = filepath.Join(options.Dir, fmt.Sprintf("%s-%s-%d", scenario.Name, scenario.Site, runOptions.Seed))
			report, err := Play(ctx, scenario, runOptions)
			if err != nil {
				return 0, errs.Wrap(err, "run scenario "+scenario.Name)
			}
			replayCommand := "play --scenario " + scenario.Name
			if strings.HasPrefix(scenario.Name, "mix-") {
				replayCommand = "mix"
			}
			exitCode = max(exitCode, printReport(out, report, replayCommand, runOptions.Dir))
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

// Run runs a site with client traffic for options.Seconds seconds, and checks the responses against the journals of the
// workers.
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

// printReport prints the result line of a run and its violations. It returns the exit code: exitViolations if there are
// any, otherwise 0.
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
	return exitViolations
}
