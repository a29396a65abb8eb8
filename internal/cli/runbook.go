package cli

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"time"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/runbook"
)

// Listing is the output of `pebblectl runbook list` and `pebblectl runbook check`.
type Listing struct {
	Runbooks []runbook.Runbook `json:"books"`
}

// RunResult is the output of `pebblectl runbook run`.
type RunResult struct {
	Run     string                `json:"run"`
	Record  string                `json:"record"`
	Entries []runbook.RecordEntry `json:"lines"`
}

func findRunbook(name string) (*runbook.Runbook, error) {
	if strings.HasSuffix(name, ".json") {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "read runbook")
		}
		return runbook.Read(raw)
	}
	builtin, err := runbook.Builtin()
	if err != nil {
		return nil, err
	}
	for _, b := range builtin {
		if b.Name == name {
			return &b, nil
		}
	}
	return nil, errs.New(errs.NotFound, "no built-in runbook %q: see pebblectl runbook list, or give a .json file", name)
}

func listRunbooks(context.Context, *operator.Client, *invocation, io.Reader) (any, error) {
	builtin, err := runbook.Builtin()
	return &Listing{builtin}, err
}

func checkRunbook(_ context.Context, _ *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	if err := requireFlags("name", inv.name); err != nil {
		return nil, err
	}
	b, err := findRunbook(inv.name)
	if err != nil {
		return nil, err
	}
	return &Listing{[]runbook.Runbook{*b}}, nil
}

func parseParameters(pairs []string) (map[string]string, error) {
	parameters := map[string]string{}
	var b errs.Batch
	for _, pair := range pairs {
		k, v, ok := strings.Cut(pair, "=")
		if !ok || k == "" {
			b.Addf(errs.BadInput, "--set %q is not in the form name=value", pair)
		}
		parameters[k] = v
	}
	return parameters, b.Err()
}

// recordedRun is a run of a runbook whose steps are recorded in a file, from which the run can be resumed.
type recordedRun struct {
	runbook     *runbook.Runbook
	progress    runbook.Progress
	result      *RunResult
	record      *os.File  // file to which entries are appended; nil in a dry run
	entryOutput io.Writer // receives each entry as text; nil with --json
}

func runRunbook(_ context.Context, c *operator.Client, inv *invocation, in io.Reader) (any, error) {
	run, err := newRecordedRun(inv)
	if err != nil {
		return nil, err
	}
	if _, err := run.runbook.Substitute(run.progress.Params); err != nil {
		return nil, err
	}
	if !inv.dryRun {
		if run.record, err = os.OpenFile(run.result.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "open record")
		}
		defer run.record.Close()
	}
	environment := &nodeEnvironment{client: c, in: bufio.NewReader(in), out: inv.progress, assumeYes: inv.assumeYes}
	err = run.runbook.Run(run.progress, inv.dryRun, environment, run.writeEntry)
	if err != nil && !inv.dryRun {
		return nil, errs.Wrap(err, "run of runbook stopped, resume it with --resume "+run.result.Record)
	}
	return run.result, err
}

// newRecordedRun prepares a new run of a runbook or, with --resume, the continuation of an interrupted one.
func newRecordedRun(inv *invocation) (*recordedRun, error) {
	if err := requireFlags("name", inv.name); err != nil {
		return nil, err
	}
	found, err := findRunbook(inv.name)
	if err != nil {
		return nil, err
	}
	parameters, err := parseParameters(inv.parameters)
	if err != nil {
		return nil, err
	}
	id := make([]byte, 6)
	_, _ = rand.Read(id) // crypto/rand.Read never returns an error
	run := &recordedRun{runbook: found, result: &RunResult{Record: inv.record},
		progress: runbook.Progress{RunID: found.Name + "-" + hex.EncodeToString(id), Params: parameters}}
	if !inv.asJSON {
		run.entryOutput = inv.progress
	}
	if inv.resume != "" {
		if err := run.resume(inv.resume); err != nil {
			return nil, err
		}
	}
	run.result.Run = run.progress.RunID
	if run.result.Record == "" {
		run.result.Record = run.result.Run + ".jsonl"
	}
	return run, nil
}

// resume restores the progress of an interrupted run from its record, and appends to that record.
func (run *recordedRun) resume(record string) error {
	file, err := os.Open(record)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "open record")
	}
	defer file.Close()
	run.result.Record = record
	run.progress, err = run.runbook.Resume(file)
	return err
}

// writeEntry prints an entry and appends it to the record. The record is synced to disk, so that a resumed run
// doesn't repeat a step that was recorded as done.
func (run *recordedRun) writeEntry(entry runbook.RecordEntry) error {
	entry.At = time.Now().UTC().Format(time.RFC3339)
	run.result.Entries = append(run.result.Entries, entry)
	if run.entryOutput != nil {
		fmt.Fprintf(run.entryOutput, "%2d %-8s %-8s %s %s\n", entry.Step, entry.Type, entry.State, entry.Text, entry.Detail)
	}
	if run.record == nil {
		return nil
	}
	if err := json.NewEncoder(run.record).Encode(entry); err != nil {
		return errs.Wrap(err, "append to record "+run.result.Record)
	}
	return errs.Wrap(run.record.Sync(), "sync record "+run.result.Record)
}

// nodeEnvironment implements runbook.Environment by calls to the operator API of one node.
type nodeEnvironment struct {
	client    *operator.Client
	in        *bufio.Reader
	out       io.Writer
	assumeYes bool
}

func (env *nodeEnvironment) ctx() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 15*time.Second)
}

// row is one row of a view: its values by field name.
type row = map[string]string

// Rows reads a view of the site and returns its rows; an unknown view has none.
//
// Example: rows, err := w.Rows("workers")
func (env *nodeEnvironment) Rows(view string) ([]map[string]string, error) {
	ctx, cancel := env.ctx()
	defer cancel()
	read := map[string]func(context.Context) ([]row, error){"nodes": env.nodeRows, "workers": env.workerRows, "parts": env.shardRows,
		"problems": env.problemRows, "moves": env.moveRows, "setup": env.configRows}[view]
	if view == "retirements" {
		return env.retirementRows(ctx)
	}
	if read == nil {
		return nil, nil
	}
	return read(ctx)
}

func (env *nodeEnvironment) nodeRows(ctx context.Context) (rows []row, err error) {
	list, err := env.client.ListNodes(ctx)
	if err != nil {
		return nil, typedError(err, "")
	}
	for _, node := range list.Nodes {
		rows = append(rows, row{"name": node.Name, "role": node.Role, "district": node.District, "state": node.State, "addr": node.Addr})
	}
	return rows, nil
}

func (env *nodeEnvironment) workerRows(ctx context.Context) (rows []row, err error) {
	list, err := env.client.ListWorkers(ctx)
	if err != nil {
		return nil, typedError(err, "")
	}
	for _, worker := range list.Workers {
		rows = append(rows, row{"name": worker.Name, "service": worker.Service, "district": worker.District, "state": worker.State, "weights": strconv.FormatInt(worker.Weights, 10)})
	}
	return rows, nil
}

func (env *nodeEnvironment) shardRows(ctx context.Context) (rows []row, err error) {
	status, err := env.client.GetStatus(ctx)
	if err != nil {
		return nil, typedError(err, "")
	}
	for _, shard := range status.Parts {
		rows = append(rows, row{"name": fmt.Sprintf("%d@%s", shard.Part, shard.Member), "part": strconv.Itoa(shard.Part), "member": shard.Member, "state": shard.State})
	}
	return rows, nil
}

func (env *nodeEnvironment) problemRows(ctx context.Context) (rows []row, err error) {
	status, err := env.client.GetStatus(ctx)
	if err != nil {
		return nil, typedError(err, "")
	}
	for _, problem := range status.Problems {
		rows = append(rows, row{"name": problem.Kind + ":" + problem.Where, "kind": problem.Kind, "where": problem.Where})
	}
	return rows, nil
}

func (env *nodeEnvironment) moveRows(ctx context.Context) (rows []row, err error) {
	list, err := env.client.ListMoves(ctx)
	if err != nil {
		return nil, typedError(err, "")
	}
	for _, move := range list.Moves {
		entry, err := calendar.Decode(move)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row{"name": entry.Name, "service": entry.Service, "kind": string(entry.Kind), "state": string(entry.State)})
	}
	return rows, nil
}

func (env *nodeEnvironment) configRows(ctx context.Context) (rows []row, err error) {
	inForce, err := env.client.GetSetup(ctx)
	if err != nil {
		return nil, typedError(err, "")
	}
	var config any
	if err := json.Unmarshal(inForce.Setup, &config); err != nil {
		return nil, errs.Wrap(err, "decode configuration in force")
	}
	values := map[string]string{}
	flatten("", config, values)
	for path, value := range values {
		rows = append(rows, row{"name": path, "value": strings.Trim(value, `"`)})
	}
	return rows, nil
}

// Do executes an action of a runbook's step. Actions that take an idempotency token get the step's.
//
// Example: err := w.Do("drain", map[string]string{"worker": "worker-3"}, "run-1/2")
func (env *nodeEnvironment) Do(action string, arguments map[string]string, token string) error {
	ctx, cancel := env.ctx()
	defer cancel()
	inv := &invocation{file: arguments["file"], token: token, ifVersion: -1, worker: arguments["worker"], undrain: action == "undrain", tenant: arguments["tenant"], key: arguments["key"],
		model: arguments["model"], service: arguments["service"], name: arguments["name"]}
	var err error
	switch action {
	case "drain", "undrain":
		_, err = drainWorker(ctx, env.client, inv, nil)
	case "name-weights":
		if inv.weights, err = strconv.ParseInt(arguments["weights"], 10, 64); err != nil {
			return errs.WrapAs(err, errs.BadInput, "weights")
		}
		_, err = nameWeights(ctx, env.client, inv, nil)
	case "revoke-key":
		if _, err = revokeKey(ctx, env.client, inv, nil); err != nil && errs.KindOf(typedError(err, "")) == errs.NotFound && strings.Contains(err.Error(), "no such key") {
			err = nil // an earlier attempt, whose response was lost, has revoked the key already
		}
	case "patch-setup":
		_, err = applyConfig(true, false)(ctx, env.client, inv, nil)
	case "write-move":
		_, err = writeMove(false)(ctx, env.client, inv, nil)
	case "ask-move":
		_, err = controlMove(operator.AskMoveVerb(arguments["verb"]))(ctx, env.client, inv, nil)
	case "ask-retirement":
		_, err = controlRetirement(operator.AskRetirementVerb(arguments["verb"]))(ctx, env.client, inv, nil)
	default:
		err = errs.New(errs.BadInput, "unknown runbook action %q", action)
	}
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return typedError(err, "")
}

// Confirm prints a question and reports whether the operator answers yes.
//
// Example: if !w.Confirm("Is the disk replaced?") { stop() }
func (env *nodeEnvironment) Confirm(text string) bool {
	if env.assumeYes {
		return true
	}
	fmt.Fprintf(env.out, "   %s [yes/no] ", text)
	answer, err := env.in.ReadString('\n')
	return (err == nil || err == io.EOF) && strings.TrimSpace(answer) == "yes"
}

// Pause sleeps for one second.
//
// Example: w.Pause(1)
func (env *nodeEnvironment) Pause(int) { time.Sleep(time.Second) }

func formatRunbooks(out io.Writer, listing *Listing) {
	fmt.Fprintln(out, "RUNBOOK\tWHEN\tPARAMETERS")
	for _, listed := range listing.Runbooks {
		var parameters []string
		for name := range listed.Params {
			parameters = append(parameters, name)
		}
		fmt.Fprintf(out, "%s\t%s\t%s\n", listed.Name, listed.When, strings.Join(parameters, " "))
	}
}
