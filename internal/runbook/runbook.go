// Package runbook runs procedures for operators: typed steps that check, wait, act and ask for
// confirmation, with a record from which an interrupted run resumes.
package runbook

import (
	"embed"
	"encoding/json"
	"strings"

	"pebbleloom/internal/errs"
)

// Runbook is a procedure for one problem.
type Runbook struct {
	Name   string            `json:"name"`
	When   string            `json:"when"`   // the problem it is for
	Params map[string]string `json:"params"` // description by name
	Steps  []Step            `json:"steps"`
}

// StepType is what a step does.
type StepType string

// Types of steps.
const (
	Check   StepType = "check"   // check a condition once
	Wait    StepType = "wait"    // check it every second until it holds
	Do      StepType = "do"      // carry out an action
	Confirm StepType = "confirm" // ask the operator
)

// Step is one step. Texts, matches and arguments may contain parameters in braces.
type Step struct {
	Type StepType `json:"type"`
	Text string   `json:"text"` // for the operator

	// Of Check and Wait: the condition holds if the number of rows of a view that match is at least Min
	// and at most Max. A row matches if its fields have these values; "!x" matches all values but x, and
	// "x*" all that begin with x.
	View          string            `json:"of,omitempty"` // one of Views
	Match         map[string]string `json:"match,omitempty"`
	Min           *int              `json:"at_least,omitempty"`
	Max           *int              `json:"at_most,omitempty"`
	WithinSeconds int               `json:"within_s,omitempty"` // of Wait

	// Of Do.
	Action string            `json:"action,omitempty"` // one of Actions
	Args   map[string]string `json:"args,omitempty"`
}

// Views returns what steps can check.
//
// Example: slices.Contains(runbook.Views(), "nodes")
func Views() []string {
	return []string{"nodes", "workers", "parts", "problems", "setup", "moves", "retirements"}
}

// Actions returns what steps can do, with the arguments that each action needs.
//
// Example: arguments := runbook.Actions()["drain"]
func Actions() map[string][]string {
	return map[string][]string{"drain": {"worker"}, "undrain": {"worker"}, "name-weights": {"model", "weights"}, "revoke-key": {"tenant", "key"},
		"patch-setup": {"file"}, "write-move": {"file"}, "ask-move": {"service", "name", "verb"}, "ask-retirement": {"service", "name", "verb"}}
}

//go:embed books/*.json
var builtinFiles embed.FS

// Builtin reads the runbooks that are part of the programs, in the order of their names.
//
// Example: runbooks, err := runbook.Builtin()
func Builtin() ([]Runbook, error) {
	entries, err := builtinFiles.ReadDir("books")
	if err != nil {
		return nil, errs.Wrap(err, "list runbooks")
	}
	var runbooks []Runbook
	for _, entry := range entries {
		raw, err := builtinFiles.ReadFile("books/" + entry.Name())
		if err != nil {
			return nil, errs.Wrap(err, "read runbook")
		}
		b, err := Read(raw)
		if err != nil {
			return nil, errs.Wrap(err, entry.Name())
		}
		if b.Name+".json" != entry.Name() {
			return nil, errs.New(errs.BadInput, "runbook %s has the name %q", entry.Name(), b.Name)
		}
		runbooks = append(runbooks, *b)
	}
	return runbooks, nil
}

// Read decodes and validates a runbook. An error lists all faults; its kind is errs.BadInput.
//
// Example: b, err := runbook.Read(raw)
func Read(raw []byte) (*Runbook, error) {
	b := &Runbook{}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(b); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "runbook")
	}
	var faults errs.Batch
	b.validate(&faults)
	return b, faults.Err()
}
