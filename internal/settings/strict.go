package settings

import (
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/errs"
)

// ParseStrict checks a command line before flaggy parses it, which ignores unknown flags: a typo in a
// flag's name must not become another command. It returns the arguments that are neither flags nor
// their values. An error lists all faults; its kind is errs.BadInput.
//
// Example: arguments, err := settings.ParseStrict(parser, os.Args[1:])
func ParseStrict(parser *flaggy.Parser, args []string) ([]string, error) {
	known := map[string]*flaggy.Flag{}
	addFlags(known, &parser.Subcommand)
	var arguments []string
	var faults errs.Batch
	for i := 0; i < len(args); i++ {
		if !isFlag(args[i]) {
			arguments = append(arguments, args[i])
			continue
		}
		name, value, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		flag := known[name]
		switch {
		case name == "help" || name == "h":
		case flag == nil:
			faults.Addf(errs.BadInput, "--%s: no such flag: see --help", name)
		case isBool(flag):
			if _, err := strconv.ParseBool(value); hasValue && err != nil {
				faults.Addf(errs.BadInput, "--%s: %q: give true or false", name, value)
			}
		case !hasValue && i+1 >= len(args):
			faults.Addf(errs.BadInput, "--%s: its value is missing", name)
		case !hasValue:
			i++ // the next argument is the value
		}
	}
	return arguments, faults.Err()
}

// addFlags adds the flags of a command and its subcommands to known, by both their names.
func addFlags(known map[string]*flaggy.Flag, command *flaggy.Subcommand) {
	for _, flag := range command.Flags {
		known[flag.LongName] = flag
		if flag.ShortName != "" {
			known[flag.ShortName] = flag
		}
	}
	for _, subcommand := range command.Subcommands {
		addFlags(known, subcommand)
	}
}

// isFlag reports whether an argument is a flag; "-" and negative numbers aren't.
func isFlag(argument string) bool {
	_, notNumber := strconv.ParseFloat(argument, 64)
	return strings.HasPrefix(argument, "-") && argument != "-" && notNumber != nil
}

func isBool(flag *flaggy.Flag) bool {
	switch flag.AssignmentVar.(type) {
	case *bool, *[]bool:
		return true
	}
	return false
}
