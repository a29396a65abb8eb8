// Package cli is the operator's command line; every command may be sent to any node.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"pebbleloom/api/operator"
	"pebbleloom/internal/errs"
)

const about = `the operator's command line; any node answers, and all answer the same
(on a platform site: any core machine, at its third internal port)

  pebblectl --node 127.10.1.1:8090 config get
  pebblectl config apply --file config.json --if-version 7    whole configuration, only onto version 7
  pebblectl config patch --file part.json                     partial configuration (null removes)
  pebblectl config validate --file config.json                checked, not applied
  pebblectl config diff --file config.json                    what apply would change
  pebblectl config render --file site.tmpl.json --set weights=3 --overlay night.json
  pebblectl weights name --model lector --weights 4
  pebblectl keys revoke --tenant hotline --key KEY
  pebblectl drain --worker worker-3                           (--back takes it into use again)
  pebblectl status                                            exit code 1 when something is wrong
  pebblectl nodes | pebblectl workers
  pebblectl placement show --service lector-main
  pebblectl calendar write --file move.json                   (check: without writing it)
  pebblectl calendar list
  pebblectl calendar pause --service lector-main --name spring (resume, cancel, undo)
  pebblectl retire plan --file retirement.json  (--dry-run: without writing it)
  pebblectl retire start --service lector-main --name spring  (pause, resume, abort)
  pebblectl retire status                                     exit code 1 when one needs an operator
  pebblectl retire history
  pebblectl runbook list
  pebblectl runbook run --name worker-gone --set worker=worker-3 (--dry-run, --resume RECORD, --yes)
  pebblectl explain --request r1
  pebblectl group restore --node 10.1.0.17:7362               (a majority of the members is lost for good: shows what would
                                                              be kept; --confirm MEMBER does it)
  pebblectl index lookup --model lector --tenant hotline --part "opening" --part "question"

exit codes: 0 done, 1 something is wrong (status, retire status, runbook), 2 bad input, 3 bad key, 4 not found, 5 version conflict, 6 rejected for now,
7 may have taken effect, 8 outcome unknown, 9 internal error, 10 not on this kind of site`

// invocation is a parsed command line.
type invocation struct {
	node, file, token, model, tenant, key, worker, service, request, name string
	record, resume, keyFile, confirmedMember                              string
	asJSON, undrain, dryRun, assumeYes                                    bool
	ifVersion, weights                                                    int64
	parts, parameters, overlays                                           []string
	progress                                                              io.Writer // where a runbook reports its progress
}

type command struct {
	path  string // "config get"
	about string
	run   func(context.Context, *operator.Client, *invocation, io.Reader) (any, error)
}

func commands() []command {
	return []command{
		{"config get", "read back the configuration in force", getConfig},
		{"config apply", "apply a whole configuration", applyConfig(false, false)},
		{"config patch", "merge a partial configuration into the one in force", applyConfig(true, false)},
		{"config validate", "check a whole configuration without applying it", applyConfig(false, true)},
		{"config render", "fill in a template, apply overlays, show each value's origin", renderConfig},
		{"config diff", "show what a whole configuration would change", diffConfig},
		{"weights name", "name new weights for a model", nameWeights},
		{"keys revoke", "revoke a tenant's key", revokeKey},
		{"drain", "take a worker out of use", drainWorker},
		{"status", "show what is wrong and the remedies", getStatus},
		{"nodes", "list the nodes", listNodes},
		{"workers", "list the workers", listWorkers},
		{"placement show", "show a service's placement", getPlacement},
		{"calendar list", "list the planned moves and their progress", listMoves},
		{"calendar write", "write a planned move", writeMove(false)},
		{"calendar check", "check a planned move without writing it", writeMove(true)},
		{"calendar pause", "pause a move", controlMove("pause")},
		{"calendar resume", "resume a move", controlMove("resume")},
		{"calendar cancel", "cancel a move that hasn't started", controlMove("cancel")},
		{"calendar undo", "undo a move", controlMove("undo")},
		{"retire plan", "write a planned retirement of a base model (--dry-run: check it)", planRetirement},
		{"retire start", "start a planned retirement", controlRetirement("start")},
		{"retire status", "show the progress of retirements and what blocks them", listRetirements(false)},
		{"retire pause", "pause a retirement", controlRetirement("pause")},
		{"retire resume", "resume a retirement", controlRetirement("resume")},
		{"retire abort", "revert to the old base, at any point before the barrier", controlRetirement("abort")},
		{"retire history", "show the states and phases of retirements", listRetirements(true)},
		{"runbook list", "list the runbooks that come with the programs", listRunbooks},
		{"runbook check", "check a runbook, shipped or a .json file", checkRunbook},
		{"runbook run", "run a runbook step by step", runRunbook},
		{"explain", "show how a request was routed", explainRequest},
		{"group restore", "restore a group that lost its majority from the named node (--confirm MEMBER: do it)", restoreGroup},
		{"index lookup", "show the holders of a prompt's prefixes", queryIndex},
	}
}

// Main runs one command and returns its exit code.
//
// Example: os.Exit(cli.Main([]string{"nodes", "--json"}, os.Stdin, os.Stdout, os.Stderr))
func Main(args []string, in io.Reader, out, bad io.Writer) int {
	return Run(args, in, out, bad, http.DefaultTransport)
}

// defaultNode is asked if neither --node nor PEBBLELOOM_NODE names another.
const defaultNode = "127.10.1.1:8090"

// commandTimeout bounds one command's calls to a node.
const commandTimeout = 15 * time.Second

// Run is Main with a transport of the caller's, which carries the command's calls to a node.
//
// Example: code := cli.Run([]string{"nodes"}, os.Stdin, os.Stdout, os.Stderr, transport)
func Run(args []string, in io.Reader, out, bad io.Writer, transport http.RoundTripper) int {
	inv := &invocation{node: os.Getenv("PEBBLELOOM_NODE"), ifVersion: -1, progress: bad}
	if inv.node == "" {
		inv.node = defaultNode
	}
	for _, a := range args {
		inv.asJSON = inv.asJSON || a == "--json" || a == "-j" // also for errors in the flags
	}
	result, err := parseAndRun(args, inv, in, transport)
	if err == nil {
		err = writeResult(out, inv.asJSON, result)
	}
	if err != nil {
		writeError(bad, inv.asJSON, err)
		return errs.KindOf(err).ExitCode
	}
	if needsAttention(result) {
		return exitWrong
	}
	return 0
}

// exitWrong is the exit code of a command that worked and found something wrong.
const exitWrong = 1

// parseAndRun parses a command line and runs its command against the node.
func parseAndRun(args []string, inv *invocation, in io.Reader, transport http.RoundTripper) (any, error) {
	c, err := parseCommand(args, inv)
	if err != nil {
		return nil, err
	}
	key, err := operatorKey(inv)
	if err != nil {
		return nil, err
	}
	client, err := operator.NewClient("http://"+inv.node, operator.WithClient(&http.Client{Transport: keyTransport{key, transport}}))
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "node "+inv.node)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	result, err := c.run(ctx, client, inv, in)
	if err != nil {
		return nil, typedError(err, inv.node)
	}
	return result, nil
}

// writeResult prints a command's result, for people or as JSON.
func writeResult(out io.Writer, asJSON bool, result any) error {
	var err error
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", " ")
		err = enc.Encode(result)
	} else {
		_, err = fmt.Fprint(out, formatText(result))
	}
	return errs.Wrap(err, "write answer")
}

// writeError prints an error with its kind and remedy, for people or as JSON.
func writeError(bad io.Writer, asJSON bool, err error) {
	if !asJSON {
		fmt.Fprintln(bad, "pebblectl: "+errs.Text(err))
		return
	}
	k := errs.KindOf(err)
	_ = json.NewEncoder(bad).Encode(map[string]string{"kind": k.Name, "message": err.Error(), "remedy": k.Remedy}) // nobody is left to report it to
}

// needsAttention reports whether a command found something wrong that an operator has to see to.
func needsAttention(result any) bool {
	switch x := result.(type) {
	case *operator.Status:
		return !x.Ok
	case *RetirementList:
		return x.NeedsAttention()
	}
	return false
}
