package settings

import (
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/errs"
)

// ParseStrict checks a command line before flaggy reads it, which ignores unknown flags: a typo in a
// flag's name must not become another command. It returns the arguments that are neither flags nor
// their values.
//
// Example: arguments, err := settings.ParseStrict(parser, os.Args[1:])
func ParseStrict(ps *flaggy.Parser, args []string) ([]string, error) {
	known := map[string]*flaggy.Flag{}
	var learn func(*flaggy.Subcommand)
	learn = func(c *flaggy.Subcommand) {
		for _, f := range c.Flags {
			known[f.LongName] = f
			if f.ShortName != "" {
				known[f.ShortName] = f
			}
		}
		for _, s := range c.Subcommands {
			learn(s)
		}
	}
	learn(&ps.Subcommand)
	var arguments []string
	var b errs.Batch
	for i := 0; i < len(args); i++ {
		a := args[i]
		name, val, has := strings.Cut(strings.TrimLeft(a, "-"), "=")
		_, num := strconv.ParseFloat(a, 64)
		if !strings.HasPrefix(a, "-") || a == "-" || num == nil {
			arguments = append(arguments, a)
			continue
		}
		f := known[name]
		switch {
		case name == "help" || name == "h":
		case f == nil:
			b.Addf(errs.BadInput, "--%s: no such flag: see --help", name)
		case isBool(f):
			if _, err := strconv.ParseBool(val); has && err != nil {
				b.Addf(errs.BadInput, "--%s: %q: give true or false", name, val)
			}
		case !has && i+1 >= len(args):
			b.Addf(errs.BadInput, "--%s: its value is missing", name)
		case !has:
			i++
		}
	}
	return arguments, b.Err()
}

func isBool(f *flaggy.Flag) bool {
	switch f.AssignmentVar.(type) {
	case *bool, *[]bool:
		return true
	}
	return false
}
