package settings

import (
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/errs"
)

// ParseStrict rejects unknown flags and invalid values in a command line that flaggy will parse. Flaggy itself ignores
// unknown flags, so a mistyped flag would change what a command does. ParseStrict returns the positional arguments.
// An error lists every invalid flag; its kind is errs.BadInput.
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
			faults.Addf(errs.BadInput, "--%s: unknown flag: see --help", name)
		case isBool(flag):
			if _, err := strconv.ParseBool(value); hasValue && err != nil {
				faults.Addf(errs.BadInput, "--%s: %q is not a Boolean value: give true or false", name, value)
			}
		case !hasValue && i+1 >= len(args):
			faults.Addf(errs.BadInput, "--%s: the flag requires a value, but none is given", name)
		case !hasValue:
			i++ // skips the next argument, which is the value of the flag
		}
	}
	return arguments, faults.Err()
}

// addFlags adds the flags of a command and of its subcommands to known, by long and by short name.
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

// isFlag reports whether a command-line argument is a flag. "-" and negative numbers are not flags.
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
