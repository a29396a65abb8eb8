// Package cli is the operator's command line; every command may be sent to any node.
package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/errs"
	set "pebbleloom/internal/settings"
)

const about = `the operator's command line; any node answers, and all answer the same
(on a platform site: any core machine, at its third internal port)

  desk --node 127.10.1.1:8090 setup get
  desk setup apply --file config.json --if-epoch 7      whole configuration, only onto version 7
  desk setup patch --file part.json                    partial configuration (null removes)
  desk setup validate --file config.json                checked, not applied
  desk setup diff --file config.json                    what apply would change
  desk setup render --file site.tmpl.json --set weights=3 --overlay night.json
  desk weights name --model lector --weights 4
  desk keys revoke --tenant hotline --key KEY
  desk drain --worker worker-3         (--back takes it into use again)
  desk status                              exit code 1 when something is wrong
  desk nodes | desk workers
  desk placement show --service lector-main
  desk calendar write --file move.json     (check: without writing it)
  desk calendar list
  desk calendar pause --service lector-main --name spring     (resume, cancel, undo)
  desk retire plan --file retirement.json  (--dry-run: without writing it)
  desk retire start --service lector-main --name spring       (pause, resume, abort)
  desk retire status                       exit code 1 when one needs an operator
  desk retire history
  desk runbook list
  desk runbook run --name worker-gone --set worker=worker-3   (--dry-run, --resume RECORD, --yes)
  desk explain --request r1
  desk index lookup --model lector --tenant hotline --part "opening" --part "question"

exit codes: 0 done, 1 something is wrong (status, retire status, runbook), 2 bad input, 3 bad key, 4 not found, 5 version conflict, 6 rejected for now,
7 may have taken effect, 8 outcome unknown, 9 internal error, 10 not on this kind of site`

// request is a parsed command line.
type request struct {
	node, file, token, model, tenant, key, worker, service, request, name string
	record, resume, keyFile                                               string
	asJSON, back, dry, yes                                                bool
	ifEpoch, weights                                                      int64
	parts, set, overlays                                                  []string
	bad                                                                   io.Writer // where a runbook reports its progress
}

type command struct {
	path  string // "setup get"
	about string
	run   func(context.Context, *operator.Client, *request, io.Reader) (any, error)
}

func commands() []command {
	return []command{
		{"setup get", "read back the configuration in force", getConfig},
		{"setup apply", "apply a whole configuration", apply(false, false)},
		{"setup patch", "merge a partial configuration into the one in force", apply(true, false)},
		{"setup validate", "check a whole configuration without applying it", apply(false, true)},
		{"setup render", "fill in a template, apply overlays, show each value's origin", render},
		{"setup diff", "show what a whole configuration would change", diff},
		{"weights name", "name new weights for a model", nameWeights},
		{"keys revoke", "revoke a tenant's key", revoke},
		{"drain", "take a worker out of use", drain},
		{"status", "show what is wrong and the remedies", status},
		{"nodes", "list the nodes", nodes},
		{"workers", "list the workers", workers},
		{"placement show", "show a service's placement", getPlacement},
		{"calendar list", "list the planned moves and their progress", listMoves},
		{"calendar write", "write a planned move", writeMove(false)},
		{"calendar check", "check a planned move without writing it", writeMove(true)},
		{"calendar pause", "pause a move", askMove("pause")},
		{"calendar resume", "resume a move", askMove("resume")},
		{"calendar cancel", "cancel a move that hasn't started", askMove("cancel")},
		{"calendar undo", "undo a move", askMove("undo")},
		{"retire plan", "write a planned retirement of a base model (--dry-run: check it)", planRetirement},
		{"retire start", "start a planned retirement", askRetirement("start")},
		{"retire status", "show the progress of retirements and what blocks them", listRetirements(false)},
		{"retire pause", "pause a retirement", askRetirement("pause")},
		{"retire resume", "resume a retirement", askRetirement("resume")},
		{"retire abort", "revert to the old base, at any point before the barrier", askRetirement("abort")},
		{"retire history", "show the states and phases of retirements", listRetirements(true)},
		{"runbook list", "list the runbooks that come with the programs", listBooks},
		{"runbook check", "check a runbook, shipped or a .json file", checkBook},
		{"runbook run", "run a runbook step by step", runBook},
		{"explain", "show how a request was routed", explain},
		{"index lookup", "show the holders of a prompt's prefixes", lookup},
	}
}

// Main runs one command and returns its exit code.
//
// Example: os.Exit(cli.Main([]string{"nodes", "--json"}, os.Stdin, os.Stdout, os.Stderr))
func Main(args []string, in io.Reader, out, bad io.Writer) int {
	return runCommand(args, in, out, bad, http.DefaultTransport)
}

// newParser declares the flags, which fill the request.
func newParser(r *request) *flaggy.Parser {
	ps := flaggy.NewParser("desk")
	ps.Description = about
	ps.ShowHelpOnUnexpected = false
	ps.DisableShowVersionWithVersion()
	ps.ShowCompletion = false
	ps.String(&r.node, "n", "node", "operator address of any node (also PEBBLELOOM_NODE)")
	ps.String(&r.keyFile, "", "operator-key", "file with the operators' key (or the key itself in PEBBLELOOM_KEY)")
	ps.Bool(&r.asJSON, "j", "json", "answer in JSON")
	ps.String(&r.file, "f", "file", "file to read (- for standard input)")
	ps.Int64(&r.ifEpoch, "e", "if-epoch", "only onto this version")
	ps.String(&r.token, "t", "token", "idempotency token of the change")
	ps.String(&r.model, "m", "model", "model")
	ps.Int64(&r.weights, "w", "weights", "version of the weights")
	ps.String(&r.tenant, "", "tenant", "tenant")
	ps.String(&r.key, "k", "key", "tenant's key")
	ps.String(&r.worker, "", "worker", "worker")
	ps.Bool(&r.back, "b", "back", "with drain: take the worker into use again")
	ps.String(&r.service, "s", "service", "service")
	ps.String(&r.name, "", "name", "name of a planned move or a runbook")
	ps.String(&r.record, "", "record", "where a run's record is kept")
	ps.String(&r.resume, "", "resume", "the record to resume from")
	ps.Bool(&r.dry, "", "dry-run", "check only: no waiting, actions or prompts")
	ps.Bool(&r.yes, "y", "yes", "confirm everything")
	ps.StringSlice(&r.overlays, "", "overlay", "with setup render: a partial configuration to merge in; repeatable")
	ps.StringSlice(&r.set, "", "set", "a parameter, name=value")
	ps.String(&r.request, "r", "request", "request id")
	ps.StringSlice(&r.parts, "p", "part", "prompt part, in order")
	return ps
}

// runCommand runs one command; transport carries its calls to a node.
func runCommand(args []string, in io.Reader, out, bad io.Writer, by http.RoundTripper) int {
	r := &request{node: os.Getenv("PEBBLELOOM_NODE"), ifEpoch: -1, bad: bad}
	if r.node == "" {
		r.node = "127.10.1.1:8090"
	}
	ps := newParser(r)
	used := attach(ps)
	fail := func(err error) int {
		if r.asJSON {
			k := errs.KindOf(err)
			_ = json.NewEncoder(bad).Encode(map[string]string{"kind": k.Name, "message": err.Error(), "remedy": k.Remedy})
		} else {
			fmt.Fprintln(bad, "desk: "+errs.Text(err))
		}
		return errs.KindOf(err).ExitCode
	}
	for _, a := range args {
		r.asJSON = r.asJSON || a == "--json" || a == "-j" // also for errors in the flags
	}
	words, err := set.ParseStrict(ps, args)
	if err == nil {
		err = errs.WrapAs(ps.ParseArgs(args), errs.BadInput, "flags")
	}
	if err != nil {
		return fail(err)
	}
	c := used()
	if c != nil && strings.Join(words, " ") != c.path {
		return fail(errs.New(errs.BadInput, "%q: desk %s takes flags alone: see desk --help", words, c.path))
	}
	if c == nil {
		return fail(errs.New(errs.BadInput, "no such command: see desk --help"))
	}
	key, err := operatorKey(r)
	if err != nil {
		return fail(err)
	}
	cl, err := operator.NewClient("http://"+r.node, operator.WithClient(&http.Client{Transport: keyTransport{key, by}}))
	if err != nil {
		return fail(errs.WrapAs(err, errs.BadInput, "node "+r.node))
	}
	ctx, end := context.WithTimeout(context.Background(), 15*time.Second)
	defer end()
	v, err := c.run(ctx, cl, r, in)
	if err != nil {
		return fail(typedError(err, r.node))
	}
	if r.asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", " ")
		err = enc.Encode(v)
	} else {
		_, err = fmt.Fprint(out, formatText(v))
	}
	if err != nil {
		return fail(errs.Wrap(err, "write answer"))
	}
	if s, ok := v.(*operator.Status); ok && !s.Ok {
		return 1
	}
	if x, ok := v.(*Retired); ok && x.Wrong() {
		return 1
	}
	return 0
}

// keyTransport adds the operators' key to every call.
type keyTransport struct {
	key string
	by  http.RoundTripper
}

// RoundTrip sends a call with the key.
//
// Example: h := &http.Client{Transport: keyTransport{key, http.DefaultTransport}}
func (s keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.key != "" {
		r = r.Clone(r.Context())
		r.Header.Set(operatorapi.KeyHeader, s.key)
	}
	return s.by.RoundTrip(r)
}

func operatorKey(r *request) (string, error) {
	if r.keyFile == "" {
		return os.Getenv("PEBBLELOOM_KEY"), nil
	}
	raw, err := os.ReadFile(r.keyFile)
	return strings.TrimSpace(string(raw)), errs.WrapAs(err, errs.BadInput, "--operator-key")
}

// attach makes flaggy's tree of commands; the function it returns finds the one that was used.
func attach(ps *flaggy.Parser) func() *command {
	groups := map[string]*flaggy.Subcommand{}
	leaves := map[string]*flaggy.Subcommand{}
	for _, c := range commands() {
		g, leaf, two := strings.Cut(c.path, " ")
		if groups[g] == nil {
			groups[g] = flaggy.NewSubcommand(g)
			groups[g].Description = c.about
			if two {
				groups[g].Description = "see desk " + g + " --help"
			}
			ps.AttachSubcommand(groups[g], 1)
		}
		leaves[c.path] = groups[g]
		if two {
			l := flaggy.NewSubcommand(leaf)
			l.Description = c.about
			groups[g].AttachSubcommand(l, 1)
			leaves[c.path] = l
		}
	}
	return func() *command {
		for _, c := range commands() {
			if leaves[c.path].Used {
				return &c
			}
		}
		return nil
	}
}

// typedError restores the kind of an error in a response.
func typedError(err error, node string) error {
	var d *operator.DeniedStatusCode
	if errors.As(err, &d) {
		return errs.New(errs.KindNamed(d.Response.Kind), "%s", d.Response.Message)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errs.New(errs.OutcomeUnknown, "node %s can't be reached: name another with --node", node)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errs.New(errs.MayHaveExecuted, "node %s gave no answer in time", node)
	}
	if strings.Contains(err.Error(), "decode response: ") || strings.Contains(err.Error(), "malformed HTTP") {
		return errs.WrapAs(err, errs.BadInput, "--node "+node+": something else answers there: give an operator address, as `desk nodes` lists them (on a platform site: a core machine's third internal port)")
	}
	if u := (*url.Error)(nil); errors.As(err, &u) {
		return errs.WrapAs(err, errs.MayHaveExecuted, "node "+node+" broke off")
	}
	if errs.KindOf(err) == errs.Internal && strings.Contains(err.Error(), "encode request: validate") {
		return errs.WrapAs(err, errs.BadInput, "command")
	}
	return err
}

func token(r *request) string {
	if r.token != "" {
		return r.token
	}
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails, as its documentation says
	return "desk-" + hex.EncodeToString(b)
}

func need(pairs ...string) error {
	var b errs.Batch
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] == "" {
			b.Addf(errs.BadInput, "--%s is missing: give it", pairs[i])
		}
	}
	return b.Err()
}

func read(r *request, in io.Reader) ([]byte, error) {
	if r.file == "" {
		return nil, errs.New(errs.BadInput, "--file is missing: name a file, or - for standard input")
	}
	var b []byte
	var err error
	if r.file == "-" {
		b, err = io.ReadAll(io.LimitReader(in, 4<<20))
	} else {
		b, err = os.ReadFile(r.file)
	}
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "read file")
	}
	if !json.Valid(b) {
		return nil, errs.New(errs.BadInput, "%s isn't JSON: correct it first", r.file)
	}
	return b, nil
}
