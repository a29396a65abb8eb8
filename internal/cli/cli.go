// Package cli implements pebblectl, the command line for operators. Its commands call the operators' HTTP API,
// which every node serves.
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

const about = `the command line for operators of a site; commands can be sent to the operator address of any node
(on a platform site: of any core machine, at the third port of its internal range)

  pebblectl --node 127.10.1.1:8090 config get
  pebblectl config apply --file config.json --if-version 7    replace the configuration if version 7 is in force
  pebblectl config patch --file part.json                     merge a partial configuration (null removes a key)
  pebblectl config validate --file config.json                check without applying
  pebblectl config diff --file config.json                    show what apply would change
  pebblectl config render --file site.tmpl.json --set weights=3 --overlay night.json
  pebblectl weights name --model lector --weights 4
  pebblectl keys revoke --tenant hotline --key KEY
  pebblectl drain --worker worker-3                           (--back: allow requests to it again)
  pebblectl status                                            exit code 1 if there are problems
  pebblectl nodes | pebblectl workers
  pebblectl placement show --service lector-main
  pebblectl calendar write --file move.json                   (calendar check: validate only)
  pebblectl calendar list
  pebblectl calendar pause --service lector-main --name spring (resume, cancel, undo)
  pebblectl retire plan --file retirement.json  (--dry-run: validate only)
  pebblectl retire start --service lector-main --name spring  (pause, resume, abort)
  pebblectl retire status                                     exit code 1 if a retirement is paused or blocked until an operator acts
  pebblectl retire history
  pebblectl runbook list
  pebblectl runbook run --name worker-gone --set worker=worker-3 (--dry-run, --resume RECORD, --yes)
  pebblectl explain --request r1
  pebblectl group restore --node 10.1.0.17:7362               (if a majority of the disks is lost for good: shows what would
                                                              be kept; --confirm MEMBER restores the group)
  pebblectl index lookup --model lector --tenant hotline --part "opening" --part "question"

exit codes: 0 success, 1 problems found or step failed (status, retire status, runbook), 2 bad input, 3 bad key, 4 not found, 5 version conflict,
6 rejected temporarily, 7 may have taken effect, 8 outcome unknown, 9 internal error, 10 not supported on this kind of site`

// invocation holds the flag values of a parsed command line.
type invocation struct {
	node, file, token, model, tenant, key, worker, service, request, name string
	record, resume, keyFile, confirmedMember                              string
	asJSON, undrain, dryRun, assumeYes                                    bool
	ifVersion, weights                                                    int64
	parts, parameters, overlays                                           []string
	progress                                                              io.Writer // receives progress messages and the questions of runbooks
}

type command struct {
	path  string // words that select the command, such as "config get"
	about string
	run   func(context.Context, *operator.Client, *invocation, io.Reader) (any, error)
}

func commands() []command {
	return []command{
		{"config get", "show the configuration in force", getConfig},
		{"config apply", "replace the configuration by the one in a file", applyConfig(false, false)},
		{"config patch", "merge a partial configuration into the one in force", applyConfig(true, false)},
		{"config validate", "validate a complete configuration without applying it", applyConfig(false, true)},
		{"config render", "render a configuration from a template and overlays, with the origin of each value", renderConfig},
		{"config diff", "compare a complete configuration with the one in force", diffConfig},
		{"weights name", "set the target version of a model's weights", nameWeights},
		{"keys revoke", "revoke a tenant's API key", revokeKey},
		{"drain", "stop sending new requests to a worker (--back: allow them again)", drainWorker},
		{"status", "show the state of the site, its problems and their remedies", getStatus},
		{"nodes", "list the nodes of the site and their states", listNodes},
		{"workers", "list the workers of the site and their states", listWorkers},
		{"placement show", "show the placement of a service on its workers", getPlacement},
		{"calendar list", "list calendar entries (planned changes of services) and their progress", listMoves},
		{"calendar write", "write a calendar entry", writeMove(false)},
		{"calendar check", "validate a calendar entry without writing it", writeMove(true)},
		{"calendar pause", "pause a calendar entry", controlMove("pause")},
		{"calendar resume", "resume a paused calendar entry", controlMove("resume")},
		{"calendar cancel", "cancel a calendar entry that hasn't started", controlMove("cancel")},
		{"calendar undo", "undo a started calendar entry (not possible for a rollout of weights)", controlMove("undo")},
		{"retire plan", "plan the retirement of a base model (--dry-run: validate only)", planRetirement},
		{"retire start", "start the planned retirement of a base model", controlRetirement("start")},
		{"retire status", "show the progress of retirements of base models and what blocks them", listRetirements(false)},
		{"retire pause", "pause the retirement of a base model", controlRetirement("pause")},
		{"retire resume", "resume the paused retirement of a base model", controlRetirement("resume")},
		{"retire abort", "abort a retirement and return to the old base model; possible until phase drop, in which the old base model is unloaded", controlRetirement("abort")},
		{"retire history", "show past states and phases of retirements of base models", listRetirements(true)},
		{"runbook list", "list the built-in runbooks", listRunbooks},
		{"runbook check", "validate a built-in runbook or one in a .json file", checkRunbook},
		{"runbook run", "run a runbook step by step", runRunbook},
		{"explain", "show how a request was routed", explainRequest},
		{"group restore", "restore a consensus group that lost its majority from the member at --node (dry run without --confirm MEMBER)", restoreGroup},
		{"index lookup", "show which workers cache the prefixes of a prompt", queryIndex},
	}
}

// Main runs the command in args over HTTP and returns its exit code.
//
// Example: os.Exit(cli.Main([]string{"nodes", "--json"}, os.Stdin, os.Stdout, os.Stderr))
func Main(args []string, in io.Reader, out, stderr io.Writer) int {
	return Run(args, in, out, stderr, http.DefaultTransport)
}

// defaultNode is the operator address used if neither --node nor PEBBLELOOM_NODE is set.
const defaultNode = "127.10.1.1:8090"

// commandTimeout limits the total time of a command's calls to a node.
const commandTimeout = 15 * time.Second

// Run is like Main, but sends the command's API calls through the given transport.
//
// Example: code := cli.Run([]string{"nodes"}, os.Stdin, os.Stdout, os.Stderr, transport)
func Run(args []string, in io.Reader, out, stderr io.Writer, transport http.RoundTripper) int {
	inv := &invocation{node: os.Getenv("PEBBLELOOM_NODE"), ifVersion: -1, progress: stderr}
	if inv.node == "" {
		inv.node = defaultNode
	}
	for _, a := range args {
		inv.asJSON = inv.asJSON || a == "--json" || a == "-j" // set before flags are parsed, so that errors in flags are printed as JSON as well
	}
	result, err := parseAndRun(args, inv, in, transport)
	if err == nil {
		err = writeResult(out, inv.asJSON, result)
	}
	if err != nil {
		writeError(stderr, inv.asJSON, err)
		return errs.KindOf(err).ExitCode
	}
	if needsAttention(result) {
		return exitProblemsFound
	}
	return 0
}

// exitProblemsFound is the exit code of a command that succeeded and found problems.
const exitProblemsFound = 1

// parseAndRun parses a command line and runs its command against the selected node.
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
		return nil, errs.WrapAs(err, errs.BadInput, "--node "+inv.node)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	result, err := c.run(ctx, client, inv, in)
	if err != nil {
		return nil, typedError(err, inv.node)
	}
	return result, nil
}

// writeResult writes a command's result as text or JSON.
func writeResult(out io.Writer, asJSON bool, result any) error {
	var err error
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", " ")
		err = enc.Encode(result)
	} else {
		_, err = fmt.Fprint(out, formatText(result))
	}
	return errs.Wrap(err, "write result of command")
}

// writeError writes an error as text or, with its kind and remedy, as JSON.
func writeError(stderr io.Writer, asJSON bool, err error) {
	if !asJSON {
		fmt.Fprintln(stderr, "pebblectl: "+errs.Text(err))
		return
	}
	k := errs.KindOf(err)
	_ = json.NewEncoder(stderr).Encode(map[string]string{"kind": k.Name, "message": err.Error(), "remedy": k.Remedy}) // a failed write to standard error can't be reported anywhere
}

// needsAttention reports whether a command's result contains problems that an operator has to solve.
func needsAttention(result any) bool {
	switch value := result.(type) {
	case *operator.Status:
		return !value.Ok
	case *RetirementList:
		return value.NeedsAttention()
	}
	return false
}
