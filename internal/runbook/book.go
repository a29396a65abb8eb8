// Package runbook holds executable runbooks: typed steps that check, wait, act and ask for
// confirmation, with a record of what was done from which a later run resumes.
package runbook

import (
	"embed"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// Runbook is one runbook.
type Runbook struct {
	Name   string            `json:"name"`
	When   string            `json:"when"`   // the problem it is for
	Params map[string]string `json:"params"` // name -> what it means
	Steps  []Step            `json:"steps"`
}

// Step is one typed step.
type Step struct {
	Type          string            `json:"type"`            // check, wait, do, confirm
	Text          string            `json:"text"`            // for people
	View          string            `json:"of,omitempty"`    // check, wait: one of Views
	Match         map[string]string `json:"match,omitempty"` // rows whose fields are these; "!x" is: not x; "x*": begins with x
	Min           *int              `json:"at_least,omitempty"`
	Max           *int              `json:"at_most,omitempty"`
	WithinSeconds int               `json:"within_s,omitempty"` // wait
	Action        string            `json:"action,omitempty"`   // do: see Actions
	Args          map[string]string `json:"args,omitempty"`
}

// Views are what steps can check.
//
// Example: slices.Contains(runbook.Views(), "nodes")
func Views() []string {
	return []string{"nodes", "workers", "parts", "problems", "setup", "moves", "retirements"}
}

// Actions are what steps can do, with the arguments each needs.
//
// Example: need := runbook.Actions()["drain"]
func Actions() map[string][]string {
	return map[string][]string{"drain": {"worker"}, "undrain": {"worker"}, "name-weights": {"model", "weights"}, "revoke-key": {"tenant", "key"},
		"patch-setup": {"file"}, "write-move": {"file"}, "ask-move": {"service", "name", "verb"}, "ask-retirement": {"service", "name", "verb"}}
}

//go:embed books/*.json
var builtinFiles embed.FS

// Builtin reads the runbooks that are part of the programs.
//
// Example: l, err := runbook.Shipped()
func Builtin() ([]Runbook, error) {
	es, err := builtinFiles.ReadDir("books")
	if err != nil {
		return nil, errs.Wrap(err, "list runbooks")
	}
	var l []Runbook
	for _, e := range es {
		raw, err := builtinFiles.ReadFile("books/" + e.Name())
		if err != nil {
			return nil, errs.Wrap(err, "read runbook")
		}
		b, err := Read(raw)
		if err != nil {
			return nil, errs.Wrap(err, e.Name())
		}
		if b.Name+".json" != e.Name() {
			return nil, errs.New(errs.BadInput, "runbook %s has the name %q", e.Name(), b.Name)
		}
		l = append(l, *b)
	}
	return l, nil
}

// Read decodes and checks a runbook.
//
// Example: b, err := runbook.Read(raw)
func Read(raw []byte) (*Runbook, error) {
	b := &Runbook{}
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.DisallowUnknownFields()
	if err := d.Decode(b); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "runbook")
	}
	var f errs.Batch
	b.validate(&f)
	return b, f.Err()
}

var parameterPattern = regexp.MustCompile(`\{([a-z_]+)\}`)

func (b *Runbook) validate(f *errs.Batch) {
	if b.Name == "" || b.When == "" || len(b.Steps) == 0 {
		f.Addf(errs.BadInput, "name, when, steps: give all three")
	}
	used := map[string]bool{}
	for i, s := range b.Steps {
		bad := func(format string, a ...any) {
			f.Addf(errs.BadInput, "steps[%d]: %s", i, fmt.Sprintf(format, a...))
		}
		if s.Text == "" {
			bad("text: say what it is for")
		}
		for _, t := range s.texts() {
			for _, m := range parameterPattern.FindAllStringSubmatch(t, -1) {
				if used[m[1]] = true; b.Params[m[1]] == "" {
					bad("{%s}: no such parameter: describe it under params", m[1])
				}
			}
		}
		switch s.Type {
		case "check", "wait":
			known := false
			for _, v := range Views() {
				known = known || v == s.View
			}
			if !known {
				bad("of: %q: give one of %v", s.View, Views())
			}
			if s.Min == nil && s.Max == nil {
				bad("at_least, at_most: give one or both")
			}
			if s.Type == "wait" && (s.WithinSeconds < 1 || s.WithinSeconds > 3600) {
				bad("within_s: %d: give 1 to 3600", s.WithinSeconds)
			}
		case "do":
			need, ok := Actions()[s.Action]
			if !ok {
				bad("action: %q: give one of %s", s.Action, strings.Join(queue.Keys(Actions()), ", "))
			}
			for _, n := range need {
				if s.Args[n] == "" {
					bad("args.%s: missing", n)
				}
			}
		case "confirm":
		default:
			bad("type: %q: give check, wait, do or confirm", s.Type)
		}
	}
	for _, n := range queue.Keys(b.Params) {
		if !used[n] {
			f.Addf(errs.BadInput, "params.%s: no step uses it: remove it", n)
		}
	}
}

func (s *Step) texts() []string {
	l := []string{s.Text}
	for _, m := range []map[string]string{s.Match, s.Args} {
		for _, k := range queue.Keys(m) {
			l = append(l, m[k])
		}
	}
	return l
}

// Substitute substitutes parameters; missing and unknown ones are rejected by name.
//
// Example: b2, err := b.Fill(map[string]string{"worker": "worker-3"})
func (b *Runbook) Substitute(set map[string]string) (*Runbook, error) {
	var f errs.Batch
	for _, n := range queue.Keys(b.Params) {
		if set[n] == "" {
			f.Addf(errs.BadInput, "parameter %s is missing (%s): give --set %s=…", n, b.Params[n], n)
		}
	}
	for _, n := range queue.Keys(set) {
		if _, ok := b.Params[n]; !ok {
			f.Addf(errs.BadInput, "parameter %s is unknown: this runbook takes %v", n, queue.Keys(b.Params))
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	put := func(t string) string {
		return parameterPattern.ReplaceAllStringFunc(t, func(m string) string { return set[m[1:len(m)-1]] })
	}
	fill := func(m map[string]string) map[string]string {
		o := map[string]string{}
		for k, v := range m {
			o[k] = put(v)
		}
		return o
	}
	c := *b
	c.Steps = nil
	for _, s := range b.Steps {
		s.Text, s.Match, s.Args = put(s.Text), fill(s.Match), fill(s.Args)
		c.Steps = append(c.Steps, s)
	}
	return &c, nil
}
