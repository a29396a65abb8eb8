package settings

import (
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
)

// flagValues holds the values of the flags on a command line. The values of flags that weren't given are empty.
type flagValues struct {
	Process
	file                 string
	seeds, core, options string // values of the flags --seeds, --core and --options, each a comma-separated list
}

func (f *flagValues) register(parser *flaggy.Parser) {
	parser.String(&f.file, "s", "settings", "settings file (JSON)")
	parser.String(&f.Name, "n", "name", "name of the machine or worker")
	parser.String(&f.Zone, "d", "zone", "zone of the machine or worker")
	parser.String(&f.Listen, "l", "listen", "address (IP:port) to listen at for other pebbleloom processes")
	parser.String(&f.Public, "p", "public", "address (IP:port) to listen at for clients")
	parser.String(&f.Operator, "o", "operator", "address (IP:port) to listen at for operators")
	parser.String(&f.seeds, "", "seeds", "addresses (IP:port) of three other processes to join through, comma-separated")
	parser.String(&f.core, "", "core", "names of the core machines, comma-separated")
	parser.String(&f.Data, "", "data", "data directory")
	parser.String(&f.NodeAgent, "", "node-agent", "address (IP:port) of the node agent on the same machine")
	parser.String(&f.WorkerList, "", "worker-list", "address (IP:port) of the platform's worker list")
	parser.String(&f.options, "", "options", "program-specific options key=value, comma-separated")
	AddFormerNames(parser)
}

// AddFormerNames adds, for each renamed flag of a parser, a hidden flag with its former name, which sets the same
// value. Scripts that use former names keep working; --help doesn't list them.
//
// Example: settings.AddFormerNames(parser)
func AddFormerNames(parser *flaggy.Parser) {
	for _, flag := range slices.Clone(parser.Flags) {
		for _, renamed := range programs.Flags() {
			if flag.LongName != renamed.Name {
				continue
			}
			switch value := flag.AssignmentVar.(type) {
			case *string:
				parser.String(value, "", renamed.First, "deprecated: use --"+renamed.Name)
			case *int64:
				parser.Int64(value, "", renamed.First, "deprecated: use --"+renamed.Name)
			}
			parser.Flags[len(parser.Flags)-1].Hidden = true
		}
	}
}

// override replaces those settings whose flags were given on the command line.
func (f *flagValues) override(p *Process) {
	for _, text := range []struct {
		setting *string
		value   string
	}{
		{&p.Name, f.Name}, {&p.Zone, f.Zone}, {&p.Listen, f.Listen}, {&p.Public, f.Public}, {&p.Operator, f.Operator},
		{&p.Data, f.Data}, {&p.NodeAgent, f.NodeAgent}, {&p.WorkerList, f.WorkerList},
	} {
		if text.value != "" {
			*text.setting = text.value
		}
	}
	for _, list := range []struct {
		setting *[]string
		value   string
	}{{&p.Seeds, f.seeds}, {&p.Core, f.core}, {&p.Options, f.options}} {
		if list.value != "" {
			*list.setting = strings.Split(list.value, ",")
		}
	}
}

// parseFlags parses a command line that may contain only flags, no positional arguments.
func parseFlags(program, about string, args []string) (*flagValues, error) {
	values := &flagValues{}
	parser := flaggy.NewParser(program)
	parser.Description = about
	parser.ShowHelpOnUnexpected = false
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	values.register(parser)
	arguments, err := ParseStrict(parser, args)
	if err == nil && len(arguments) > 0 {
		err = errs.New(errs.BadInput, "unexpected arguments %q: %s accepts only flags: see --help", arguments, program)
	}
	if err == nil {
		err = errs.WrapAs(parser.ParseArgs(args), errs.BadInput, "flags")
	}
	return values, errs.WrapAs(err, errs.BadInput, "flags")
}

// Read reads the flags of a program and the settings file that they name, and validates the result. Flags override
// the file. An error lists every invalid setting with its source and how to correct it; its kind is errs.BadInput.
//
// Example: process, err := settings.Read("runner", "the agent on a machine", os.Args[1:], settings.Required{Seeds: true})
func Read(program, about string, args []string, required Required) (Process, error) {
	process := Process{Bounds: DefaultBounds()}
	flags, err := parseFlags(program, about, args)
	if err != nil {
		return process, err
	}
	var faults errs.Batch
	source := "flags"
	if flags.file != "" {
		source = flags.file
		raw, err := os.ReadFile(flags.file)
		faults.Add("settings file "+flags.file, errs.WrapAs(err, errs.BadInput, "read"))
		if err == nil {
			Decode(raw, flags.file, &process, &faults)
		}
	}
	flags.override(&process)
	Validate(&process, required, source, &faults)
	return process, faults.Err()
}
