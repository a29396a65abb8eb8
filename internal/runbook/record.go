package runbook

import (
	"encoding/json"
	"io"

	"pebbleloom/internal/errs"
)

// StepState is the state of a step in the record of a run.
type StepState string

// States of a step in the record of a run.
const (
	Begun   StepState = "begun"
	Done    StepState = "done"
	Failed  StepState = "failed"
	Planned StepState = "planned" // the step would be executed; dry runs record it in place of the other states
)

// RecordEntry is one line in the record of a runbook's run.
type RecordEntry struct {
	RunID   string            `json:"run"`
	Runbook string            `json:"book"`
	Params  map[string]string `json:"set,omitempty"`
	Step    int               `json:"step"` // index of the step in the runbook, from 0
	Type    StepType          `json:"type"`
	Text    string            `json:"text"`
	State   StepState         `json:"state"`
	Detail  string            `json:"detail,omitempty"`
	At      string            `json:"at"` // wall-clock time of the entry, set by the record function in RFC 3339 format
}

// Progress identifies a run of a runbook and the step at which it starts or continues.
type Progress struct {
	RunID  string
	Params map[string]string
	Next   int // index of the first step that isn't done yet
}

// Resume reads the record of an interrupted run and returns the run's progress; a step that was begun but not
// done is executed again. An empty record or that of another runbook is an error of kind errs.BadInput, the
// record of a completed run one of kind errs.Conflict.
//
// Example: progress, err := b.Resume(file)
func (b *Runbook) Resume(record io.Reader) (Progress, error) {
	decoder := json.NewDecoder(record)
	var progress Progress
	entries := 0
	for {
		var entry RecordEntry
		if err := decoder.Decode(&entry); err != nil {
			break // end of the record, or a last line that was only partly written when the run was interrupted
		}
		if entry.Runbook != b.Name {
			return Progress{}, errs.New(errs.BadInput, "resume runbook %q: the record is of runbook %q", b.Name, entry.Runbook)
		}
		entries++
		progress.Params, progress.RunID = entry.Params, entry.RunID
		if entry.State == Done && entry.Step == progress.Next {
			progress.Next++
		}
	}
	if entries == 0 {
		return Progress{}, errs.New(errs.BadInput, "resume runbook %q: the record has no entries: run without --resume", b.Name)
	}
	if progress.Next >= len(b.Steps) {
		return Progress{}, errs.New(errs.Conflict, "resume runbook %q: all steps of run %s are done already", b.Name, progress.RunID)
	}
	return progress, nil
}
