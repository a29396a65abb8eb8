package cli

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	set "pebbleloom/internal/settings"
)

// newParser declares the flags of all commands, whose values are stored in inv.
func newParser(inv *invocation) *flaggy.Parser {
	parser := flaggy.NewParser("pebblectl")
	parser.Description = about
	parser.ShowHelpOnUnexpected = false
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	parser.String(&inv.node, "n", "node", "operator address of any node (also PEBBLELOOM_NODE)")
	parser.String(&inv.keyFile, "", "operator-key", "file with the operators' key (or the key itself in PEBBLELOOM_KEY)")
	parser.Bool(&inv.asJSON, "j", "json", "print results and errors as JSON")
	parser.String(&inv.file, "f", "file", "input file of the command (- for standard input)")
	parser.Int64(&inv.ifVersion, "e", "if-version", "with config apply and config patch: apply the change only if this version is in force")
	parser.String(&inv.token, "t", "token", "with config apply, config patch and weights name: idempotency token; a change repeated with the same token takes effect once")
	parser.String(&inv.model, "m", "model", "model")
	parser.Int64(&inv.weights, "w", "weights", "version of a model's weights")
	parser.String(&inv.tenant, "", "tenant", "tenant")
	parser.String(&inv.key, "k", "key", "API key of a tenant")
	parser.String(&inv.worker, "", "worker", "worker")
	parser.Bool(&inv.undrain, "b", "back", "with drain: allow requests to the worker again")
	parser.String(&inv.service, "s", "service", "service")
	parser.String(&inv.name, "", "name", "name of a calendar entry, a retirement or a runbook")
	parser.String(&inv.record, "", "record", "with runbook run: file for the record of the run")
	parser.String(&inv.resume, "", "resume", "with runbook run: record of an interrupted run to resume")
	parser.Bool(&inv.dryRun, "", "dry-run", "with runbook run and retire plan: only check, and change nothing")
	parser.Bool(&inv.assumeYes, "y", "yes", "with runbook run: answer yes to all confirmations")
	parser.StringSlice(&inv.overlays, "", "overlay", "with config render: a partial configuration to merge in; repeatable")
	parser.StringSlice(&inv.parameters, "", "set", "with runbook run and config render: a parameter as name=value; repeatable")
	parser.String(&inv.request, "r", "request", "ID of a request")
	parser.String(&inv.confirmedMember, "", "confirm", "with group restore: the member to restore from, as shown by the dry run")
	parser.StringSlice(&inv.parts, "p", "part", "with index lookup: a part of the prompt; repeatable, in order")
	set.AddFormerNames(parser)
	return parser
}

// parseCommand parses the flags into inv and returns the selected command.
func parseCommand(args []string, inv *invocation) (*command, error) {
	parser := newParser(inv)
	tree := newCommandTree(parser)
	words, err := set.ParseStrict(parser, args)
	if err == nil {
		err = errs.WrapAs(parser.ParseArgs(args), errs.BadInput, "flags")
	}
	if err != nil {
		return nil, err
	}
	c, path := tree.selected()
	if c == nil {
		return nil, errs.New(errs.BadInput, "unknown or missing command: see pebblectl --help")
	}
	if strings.Join(words, " ") != path {
		return nil, errs.New(errs.BadInput, "unexpected arguments among %q: pebblectl %s takes only flags: see pebblectl --help", words, c.path)
	}
	if path != c.path && !inv.asJSON {
		fmt.Fprintf(inv.progress, "pebblectl: command `%s` was renamed to `%s`; the old name still works\n", path, c.path)
	}
	return c, nil
}

// commandTree maps the subcommands declared to the parser to commands.
type commandTree struct {
	subcommands map[string]*flaggy.Subcommand // subcommands by command path, including the paths with former names
}

// newCommandTree declares every command to the parser, and again as hidden under the former name of its group.
func newCommandTree(parser *flaggy.Parser) *commandTree {
	tree := &commandTree{map[string]*flaggy.Subcommand{}}
	groups := map[string]*flaggy.Subcommand{}
	for _, c := range commands() {
		tree.add(parser, groups, c.path, c.about, false)
		if first := firstPath(c.path); first != c.path {
			tree.add(parser, groups, first, c.about, true)
		}
	}
	return tree
}

// add declares a command to the parser under a path of one word (a top-level command) or two (a group and a
// command in it).
func (t *commandTree) add(parser *flaggy.Parser, groups map[string]*flaggy.Subcommand, path, about string, hidden bool) {
	group, command, inGroup := strings.Cut(path, " ")
	if groups[group] == nil {
		groups[group] = flaggy.NewSubcommand(group)
		groups[group].Description = about
		groups[group].Hidden = hidden
		if inGroup {
			groups[group].Description = "see pebblectl " + group + " --help"
		}
		parser.AttachSubcommand(groups[group], 1)
	}
	t.subcommands[path] = groups[group]
	if inGroup {
		leaf := flaggy.NewSubcommand(command)
		leaf.Description = about
		groups[group].AttachSubcommand(leaf, 1)
		t.subcommands[path] = leaf
	}
}

// selected returns the command that the parsed command line selected and the path used for it; nil if it selected
// none.
func (t *commandTree) selected() (*command, string) {
	for _, c := range commands() {
		for _, path := range []string{c.path, firstPath(c.path)} {
			if t.subcommands[path].Used {
				return &c, path
			}
		}
	}
	return nil, ""
}

// firstPath returns a command's path with the former name of its group, or the path itself if the group was
// never renamed.
func firstPath(path string) string {
	group, command, _ := strings.Cut(path, " ")
	for _, renamed := range programs.Commands() {
		if renamed.Name == group {
			return renamed.First + " " + command
		}
	}
	return path
}

// token returns the idempotency token from the command line, or a random one.
func token(inv *invocation) string {
	if inv.token != "" {
		return inv.token
	}
	b := make([]byte, 8)
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error
	return "pebblectl-" + hex.EncodeToString(b)
}

// requireFlags returns an error that lists all flags without a value; pairs alternate flag names and values.
func requireFlags(pairs ...string) error {
	var b errs.Batch
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			b.Addf(errs.BadInput, "required flag --%s is missing", pairs[i])
		}
	}
	return b.Err()
}

// readFile reads the JSON document from the file that --file names, or from standard input for "-".
func readFile(inv *invocation, in io.Reader) ([]byte, error) {
	if inv.file == "" {
		return nil, errs.New(errs.BadInput, "required flag --file is missing: give a file, or - for standard input")
	}
	var b []byte
	var err error
	if inv.file == "-" {
		b, err = io.ReadAll(io.LimitReader(in, 4<<20))
	} else {
		b, err = os.ReadFile(inv.file)
	}
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "read --file "+inv.file)
	}
	if !json.Valid(b) {
		return nil, errs.New(errs.BadInput, "--file %s doesn't contain valid JSON", inv.file)
	}
	return b, nil
}
