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

// Book is one runbook.
type Book struct {
	Name   string            `json:"name"`
	When   string            `json:"when"`   // the problem it is for
	Params map[string]string `json:"params"` // name -> what it means
	Steps  []Step            `json:"steps"`
}

// Step is one typed step.
type Step struct {
	Type    string            `json:"type"`            // check, wait, do, confirm
	Text    string            `json:"text"`            // for people
	Of      string            `json:"of,omitempty"`    // check, wait: one of Views
	Match   map[string]string `json:"match,omitempty"` // rows whose fields are these; "!x" is: not x; "x*": begins with x
	AtLeast *int              `json:"at_least,omitempty"`
	AtMost  *int              `json:"at_most,omitempty"`
	WithinS int               `json:"within_s,omitempty"` // wait
	Action  string            `json:"action,omitempty"`   // do: see Actions
	Args    map[string]string `json:"args,omitempty"`
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
var files embed.FS

// Shipped reads the runbooks that are part of the programs.
//
// Example: l, err := runbook.Shipped()
func Shipped() ([]Book, error) {
	es, err := files.ReadDir("books")
	if err != nil {
		return nil, errs.Wrap(err, "list runbooks")
	}
	var l []Book
	for _, e := range es {
		raw, err := files.ReadFile("books/" + e.Name())
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
func Read(raw []byte) (*Book, error) {
	b := &Book{}
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.DisallowUnknownFields()
	if err := d.Decode(b); err != nil {
		return nil, errs.As(err, errs.BadInput, "runbook")
	}
	var f errs.Batch
	b.check(&f)
	return b, f.Look()
}

var param = regexp.MustCompile(`\{([a-z_]+)\}`)

func (b *Book) check(f *errs.Batch) {
	if b.Name == "" || b.When == "" || len(b.Steps) == 0 {
		f.Fault(errs.BadInput, "name, when, steps: give all three")
	}
	used := map[string]bool{}
	for i, s := range b.Steps {
		bad := func(format string, a ...any) {
			f.Fault(errs.BadInput, "steps[%d]: %s", i, fmt.Sprintf(format, a...))
		}
		if s.Text == "" {
			bad("text: say what it is for")
		}
		for _, t := range s.texts() {
			for _, m := range param.FindAllStringSubmatch(t, -1) {
				if used[m[1]] = true; b.Params[m[1]] == "" {
					bad("{%s}: no such parameter: describe it under params", m[1])
				}
			}
		}
		switch s.Type {
		case "check", "wait":
			known := false
			for _, v := range Views() {
				known = known || v == s.Of
			}
			if !known {
				bad("of: %q: give one of %v", s.Of, Views())
			}
			if s.AtLeast == nil && s.AtMost == nil {
				bad("at_least, at_most: give one or both")
			}
			if s.Type == "wait" && (s.WithinS < 1 || s.WithinS > 3600) {
				bad("within_s: %d: give 1 to 3600", s.WithinS)
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
			f.Fault(errs.BadInput, "params.%s: no step uses it: remove it", n)
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

// Fill substitutes parameters; missing and unknown ones are rejected by name.
//
// Example: b2, err := b.Fill(map[string]string{"worker": "worker-3"})
func (b *Book) Fill(set map[string]string) (*Book, error) {
	var f errs.Batch
	for _, n := range queue.Keys(b.Params) {
		if set[n] == "" {
			f.Fault(errs.BadInput, "parameter %s is missing (%s): give --set %s=…", n, b.Params[n], n)
		}
	}
	for _, n := range queue.Keys(set) {
		if _, ok := b.Params[n]; !ok {
			f.Fault(errs.BadInput, "parameter %s is unknown: this runbook takes %v", n, queue.Keys(b.Params))
		}
	}
	if err := f.Look(); err != nil {
		return nil, err
	}
	put := func(t string) string {
		return param.ReplaceAllStringFunc(t, func(m string) string { return set[m[1:len(m)-1]] })
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
