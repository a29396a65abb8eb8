package testbed

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"pebbleloom/internal/cli"
	"pebbleloom/internal/errs"
)

// operatorAnswers is the standard input of a runbook, from which it reads the operator's confirmations. It answers every
// confirmation with yes, and before the first one executes the actions that the runbook asks the operator for.
type operatorAnswers struct {
	act   func() error // function that executes the operator's actions
	acted bool         // whether act has been called
	err   error        // error that act returned
}

// Read implements io.Reader: each call returns one answer.
func (o *operatorAnswers) Read(answer []byte) (int, error) {
	if !o.acted {
		o.acted, o.err = true, o.act()
	}
	if o.err != nil {
		return 0, io.EOF // without an answer, the runbook stops at the confirmation
	}
	return copy(answer, "yes\n"), nil
}

// writeEntryFile writes the calendar entry, in JSON, that a runbook will plan into a file. It does nothing if entry is
// empty, which stands for a runbook that plans none.
func (run *scenarioRun) writeEntryFile(file, entry string) error {
	if entry == "" {
		return nil
	}
	entry = strings.ReplaceAll(entry, "{model}", run.fleet.Site.Traffic.Model)
	if err := run.beginCalendarEntry(entry); err != nil {
		return err
	}
	return errs.Wrap(os.WriteFile(file, []byte(entry), 0o600), "write "+file)
}

// executeRunbook runs the runbook named by step.Targets with the parameters in step.Argument through the command line.
// It uses the last operator address, since no scenario cuts that off the network. At the first confirmation it executes
// the actions in step.Confirm.
func (run *scenarioRun) executeRunbook(ctx context.Context, step Step) error {
	transport := &http.Transport{DialContext: run.fleet.env.Dial}
	defer transport.CloseIdleConnections()
	operators := run.fleet.Site.Operators
	args := []string{"--node", operators[len(operators)-1], "runbook", "run", "--name", step.Targets,
		"--record", filepath.Join(run.options.Dir, "runbook-"+step.Targets+".jsonl")}
	file := filepath.Join(run.options.Dir, "runbook-"+step.Targets+".json")
	if err := run.writeEntryFile(file, step.Entry); err != nil {
		return err
	}
	parameters := strings.NewReplacer("{model}", run.fleet.Site.Traffic.Model, "{file}", file).Replace(step.Argument)
	for _, parameter := range strings.Fields(parameters) {
		args = append(args, "--set", parameter)
	}
	answers := &operatorAnswers{act: func() error {
		var batch errs.Batch
		for _, action := range step.Confirm {
			batch.Add(action.Action, run.execute(ctx, action))
		}
		return batch.Err()
	}}
	var out, progress bytes.Buffer
	if code := cli.Run(args, answers, &out, &progress, transport); code != 0 {
		return errs.New(errs.CheckFailed, "runbook %s: got exit code %d, want 0; error of the operator's actions: %v; output: %s%s", step.Targets, code, answers.err, out.String(), progress.String())
	}
	if !answers.acted {
		return errs.New(errs.CheckFailed, "runbook %s asked for no confirmation; output: %s", step.Targets, progress.String())
	}
	return nil
}
