// Package runbook executes operational procedures made of typed steps: checks, waits, actions and
// confirmations by an operator. Each run writes a record from which it can be resumed after an interruption.
package runbook

import (
	"embed"
	"encoding/json"
	"strings"

	"pebbleloom/internal/errs"
)

// Runbook is an operational procedure for one kind of problem.
type Runbook struct {
	Name   string            `json:"name"`
	When   string            `json:"when"`   // description of the problem that the runbook solves
	Params map[string]string `json:"params"` // descriptions of the parameters, by name
	Steps  []Step            `json:"steps"`
}

// StepType is the type of a runbook's step.
type StepType string

// Types of steps of a runbook.
const (
	Check   StepType = "check"   // evaluate a condition once and fail if it doesn't hold
	Wait    StepType = "wait"    // evaluate a condition every second until it holds
	Do      StepType = "do"      // execute an action
	Confirm StepType = "confirm" // ask the operator to confirm
)

// Step is one step of a runbook. Text, Match and Args may contain parameters as {name}.
type Step struct {
	Type StepType `json:"type"`
	Text string   `json:"text"` // shown to the operator

	// The fields up to WithinSeconds are for steps of type Check and Wait. Their condition holds if at least
	// Min and at most Max rows of View match. A row matches if its fields have the values in Match; "!x"
	// matches all values but x, and "x*" all values that begin with x.
	View          string            `json:"of,omitempty"` // name of the view whose rows are counted: one of those that the function Views returns
	Match         map[string]string `json:"match,omitempty"`
	Min           *int              `json:"at_least,omitempty"`
	Max           *int              `json:"at_most,omitempty"`
	WithinSeconds int               `json:"within_s,omitempty"` // time limit, for steps of type Wait only

	// Action and Args are for steps of type Do.
	Action string            `json:"action,omitempty"` // name of the action: one of those that the function Actions returns
	Args   map[string]string `json:"args,omitempty"`
}

// Views returns the names of the views of the site whose rows steps can check.
//
// Example: slices.Contains(runbook.Views(), "nodes")
func Views() []string {
	return []string{"nodes", "workers", "parts", "problems", "setup", "moves", "retirements"}
}

// Actions returns the actions that steps can execute, each with the names of its required arguments.
//
// Example: arguments := runbook.Actions()["drain"]
func Actions() map[string][]string {
	return map[string][]string{"drain": {"worker"}, "undrain": {"worker"}, "name-weights": {"model", "weights"}, "revoke-key": {"tenant", "key"},
		"patch-setup": {"file"}, "write-move": {"file"}, "ask-move": {"service", "name", "verb"}, "ask-retirement": {"service", "name", "verb"}}
}

//go:embed books/*.json
var builtinFiles embed.FS

// Builtin returns the runbooks that are embedded in the binary, sorted by name.
//
// Example: runbooks, err := runbook.Builtin()
func Builtin() ([]Runbook, error) {
	entries, err := builtinFiles.ReadDir("books")
	if err != nil {
		return nil, errs.Wrap(err, "list built-in runbooks")
	}
	var runbooks []Runbook
	for _, entry := range entries {
		raw, err := builtinFiles.ReadFile("books/" + entry.Name())
		if err != nil {
			return nil, errs.Wrap(err, "read built-in runbook "+entry.Name())
		}
		b, err := Read(raw)
		if err != nil {
			return nil, errs.Wrap(err, entry.Name())
		}
		if b.Name+".json" != entry.Name() {
			return nil, errs.New(errs.BadInput, "built-in runbook %s: its name field is %q, which differs from the file name", entry.Name(), b.Name)
		}
		runbooks = append(runbooks, *b)
	}
	return runbooks, nil
}

// Read decodes and validates a runbook in JSON. An error lists all validation failures; its kind is
// errs.BadInput.
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
