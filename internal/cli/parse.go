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

// newParser declares the flags, which fill the request.
func newParser(inv *invocation) *flaggy.Parser {
	parser := flaggy.NewParser("pebblectl")
	parser.Description = about
	parser.ShowHelpOnUnexpected = false
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	parser.String(&inv.node, "n", "node", "operator address of any node (also PEBBLELOOM_NODE)")
	parser.String(&inv.keyFile, "", "operator-key", "file with the operators' key (or the key itself in PEBBLELOOM_KEY)")
	parser.Bool(&inv.asJSON, "j", "json", "answer in JSON")
	parser.String(&inv.file, "f", "file", "file to read (- for standard input)")
	parser.Int64(&inv.ifVersion, "e", "if-version", "only onto this version")
	parser.String(&inv.token, "t", "token", "idempotency token of the change")
	parser.String(&inv.model, "m", "model", "model")
	parser.Int64(&inv.weights, "w", "weights", "version of the weights")
	parser.String(&inv.tenant, "", "tenant", "tenant")
	parser.String(&inv.key, "k", "key", "tenant's key")
	parser.String(&inv.worker, "", "worker", "worker")
	parser.Bool(&inv.undrain, "b", "back", "with drain: take the worker into use again")
	parser.String(&inv.service, "s", "service", "service")
	parser.String(&inv.name, "", "name", "name of a planned move or a runbook")
	parser.String(&inv.record, "", "record", "where a run's record is kept")
	parser.String(&inv.resume, "", "resume", "the record to resume from")
	parser.Bool(&inv.dryRun, "", "dry-run", "check only: no waiting, actions or prompts")
	parser.Bool(&inv.assumeYes, "y", "yes", "confirm everything")
	parser.StringSlice(&inv.overlays, "", "overlay", "with config render: a partial configuration to merge in; repeatable")
	parser.StringSlice(&inv.parameters, "", "set", "a parameter, name=value")
	parser.String(&inv.request, "r", "request", "request id")
	parser.String(&inv.confirmedMember, "", "confirm", "with group restore: the member that goes on alone, as the command names it")
	parser.StringSlice(&inv.parts, "p", "part", "prompt part, in order")
	set.AddFirstNames(parser)
	return parser
}

// parseCommand fills the request from the flags and returns the command.
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
	c, path := tree.used()
	if c == nil {
		return nil, errs.New(errs.BadInput, "no such command: see pebblectl --help")
	}
	if strings.Join(words, " ") != path {
		return nil, errs.New(errs.BadInput, "%q: pebblectl %s takes flags alone: see pebblectl --help", words, c.path)
	}
	if path != c.path && !inv.asJSON {
		fmt.Fprintf(inv.progress, "pebblectl: `%s` is now `%s`; the first name still works\n", path, c.path)
	}
	return c, nil
}

// commandTree finds the command that a parsed command line used.
type commandTree struct {
	subcommands map[string]*flaggy.Subcommand // by the command's path, first names too
}

// newCommandTree declares every command to the parser, also under its group's first name.
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

// add declares one command under one path: a group alone, or a group and a command in it.
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

// used returns the command that was given and the path it was given by; nil if there is none.
func (t *commandTree) used() (*command, string) {
	for _, c := range commands() {
		for _, path := range []string{c.path, firstPath(c.path)} {
			if t.subcommands[path].Used {
				return &c, path
			}
		}
	}
	return nil, ""
}

// firstPath is a command's path by the first name of its group.
func firstPath(path string) string {
	group, command, _ := strings.Cut(path, " ")
	for _, renamed := range programs.Commands() {
		if renamed.Name == group {
			return renamed.First + " " + command
		}
	}
	return path
}

func token(inv *invocation) string {
	if inv.token != "" {
		return inv.token
	}
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails, as its documentation says
	return "pebblectl-" + hex.EncodeToString(b)
}

func requireFlags(pairs ...string) error {
	var b errs.Batch
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			b.Addf(errs.BadInput, "--%s is missing: give it", pairs[i])
		}
	}
	return b.Err()
}

func readFile(inv *invocation, in io.Reader) ([]byte, error) {
	if inv.file == "" {
		return nil, errs.New(errs.BadInput, "--file is missing: name a file, or - for standard input")
	}
	var b []byte
	var err error
	if inv.file == "-" {
		b, err = io.ReadAll(io.LimitReader(in, 4<<20))
	} else {
		b, err = os.ReadFile(inv.file)
	}
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "read file")
	}
	if !json.Valid(b) {
		return nil, errs.New(errs.BadInput, "%s isn't JSON: correct it first", inv.file)
	}
	return b, nil
}
