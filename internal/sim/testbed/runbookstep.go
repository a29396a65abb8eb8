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

// operatorAnswers confirms the steps of a runbook, as an operator who does what they ask for: at the first confirmation
// it carries out the actions.
type operatorAnswers struct {
	act   func() error
	acted bool
	err   error
}

// Read implements io.Reader: each read is one answer.
func (o *operatorAnswers) Read(answer []byte) (int, error) {
	if !o.acted {
		o.acted, o.err = true, o.act()
	}
	if o.err != nil {
		return 0, io.EOF // the runbook stops at a confirmation without an answer
	}
	return copy(answer, "yes\n"), nil
}

// writeEntryFile writes the calendar entry that a runbook plans into a file; an empty one: the runbook plans none.
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

// executeRunbook runs the runbook that the step names (Targets) with its parameters (Argument), by the command line, at an
// operator address that no step partitions; Confirm are the actions that its confirmations ask for.
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
		return errs.New(errs.CheckFailed, "exit code %d: %v; %s%s", code, answers.err, out.String(), progress.String())
	}
	if !answers.acted {
		return errs.New(errs.CheckFailed, "the runbook asked for no confirmation: %s", progress.String())
	}
	return nil
}
