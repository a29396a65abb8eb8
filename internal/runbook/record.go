package runbook

import (
	"encoding/json"
	"io"

	"pebbleloom/internal/errs"
)

// StepState is how far a run has come with a step.
type StepState string

// States of steps in a record.
const (
	Begun   StepState = "begun"
	Done    StepState = "done"
	Failed  StepState = "failed"
	Planned StepState = "planned" // in a dry run, instead of the others
)

// RecordEntry is one line of a run's record.
type RecordEntry struct {
	RunID   string            `json:"run"`
	Runbook string            `json:"book"`
	Params  map[string]string `json:"set,omitempty"`
	Step    int               `json:"step"` // index
	Type    StepType          `json:"type"`
	Text    string            `json:"text"`
	State   StepState         `json:"state"`
	Detail  string            `json:"detail,omitempty"`
	At      string            `json:"at"` // the recorder's time
}

// Progress is a run of a runbook, and how far it has come.
type Progress struct {
	RunID  string
	Params map[string]string
	Next   int // index of the next step
}

// Resume reads the record of an interrupted run. A step that was begun but not done is repeated. A record of
// another runbook is an error of kind errs.BadInput, that of a completed run one of kind errs.Conflict.
//
// Example: progress, err := b.Resume(file)
func (b *Runbook) Resume(record io.Reader) (Progress, error) {
	decoder := json.NewDecoder(record)
	var progress Progress
	entries := 0
	for {
		var entry RecordEntry
		if err := decoder.Decode(&entry); err != nil {
			break // the end, or a line that the interruption cut off
		}
		if entry.Runbook != b.Name {
			return Progress{}, errs.New(errs.BadInput, "the record is of runbook %q", entry.Runbook)
		}
		entries++
		progress.Params, progress.RunID = entry.Params, entry.RunID
		if entry.State == Done && entry.Step == progress.Next {
			progress.Next++
		}
	}
	if entries == 0 {
		return Progress{}, errs.New(errs.BadInput, "the record is empty: run without --resume")
	}
	if progress.Next >= len(b.Steps) {
		return Progress{}, errs.New(errs.Conflict, "the run was carried out to its end")
	}
	return progress, nil
}
