package settings

import (
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
)

// flagValues are the values of a command line; empty where a flag wasn't given.
type flagValues struct {
	Process
	file                 string
	seeds, core, options string // joined by commas
}

func (f *flagValues) register(parser *flaggy.Parser) {
	parser.String(&f.file, "s", "settings", "settings file (JSON)")
	parser.String(&f.Name, "n", "name", "name of the machine or worker")
	parser.String(&f.Zone, "d", "zone", "zone that it runs in")
	parser.String(&f.Listen, "l", "listen", "own address (IP:port) towards pebbleloom's processes")
	parser.String(&f.Public, "p", "public", "own address (IP:port) towards clients")
	parser.String(&f.Operator, "o", "operator", "own address (IP:port) towards operators")
	parser.String(&f.seeds, "", "seeds", "three seeds, joined by commas")
	parser.String(&f.core, "", "core", "names of the core machines, joined by commas")
	parser.String(&f.Data, "", "data", "data folder")
	parser.String(&f.NodeAgent, "", "node-agent", "address of the node agent beside it")
	parser.String(&f.WorkerList, "", "worker-list", "address where the platform lists workers")
	parser.String(&f.options, "", "options", "the program's own options, key=value joined by commas")
	AddFirstNames(parser)
}

// AddFirstNames declares the flags of a parser that were renamed under their first names, too. These do
// the same as before; --help doesn't show them.
//
// Example: settings.AddFirstNames(parser)
func AddFirstNames(parser *flaggy.Parser) {
	for _, flag := range slices.Clone(parser.Flags) {
		for _, renamed := range programs.Flags() {
			if flag.LongName != renamed.Name {
				continue
			}
			switch value := flag.AssignmentVar.(type) {
			case *string:
				parser.String(value, "", renamed.First, "now --"+renamed.Name)
			case *int64:
				parser.Int64(value, "", renamed.First, "now --"+renamed.Name)
			}
			parser.Flags[len(parser.Flags)-1].Hidden = true
		}
	}
}

// override replaces the settings whose flags were given.
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

// parseFlags parses a command line that consists of flags alone.
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
		err = errs.New(errs.BadInput, "%q: %s takes flags alone: see --help", arguments, program)
	}
	if err == nil {
		err = errs.WrapAs(parser.ParseArgs(args), errs.BadInput, "flags")
	}
	return values, errs.WrapAs(err, errs.BadInput, "flags")
}

// Read reads the settings file and the flags of a program and validates the result. Flags override the
// file. An error lists every fault with its file, field and remedy; its kind is errs.BadInput.
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
