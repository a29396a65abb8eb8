package runbook

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// Environment is what a run works on.
type Environment interface {
	Rows(view string) ([]map[string]string, error) // the rows of a view
	Do(action string, args map[string]string, token string) error
	Confirm(text string) bool
	Pause(second int) // one second of a wait passes
}

// RecordEntry is one line of a run's record.
type RecordEntry struct {
	// Run executes a runbook from a step on. Every step is recorded as begun before, and as done after; a
	// dry run only checks, and neither waits, acts nor asks. Each action has a token of its own, so that
	// one whose response was lost isn't executed twice by resuming.
	RunID   string            `json:"run"`
	Runbook string            `json:"book"`
	Params  map[string]string `json:"set,omitempty"`
	Step    int               `json:"step"`
	Type    string            `json:"type"`
	Text    string            `json:"text"`
	State   string            `json:"state"` // begun, done, failed, refused, planned
	Detail  string            `json:"detail,omitempty"`
	At      string            `json:"at"`
}

// Run carries a book out from a step on. Every step is recorded as begun before, and as
// done after; a dry run looks, and neither waits nor acts nor asks. An action carries a
// token of its own, so that one whose answer was lost isn't made twice by going on.
//
// Example: err := runbook.Run(book, set, "r-1", 0, false, world, record)
func Run(b *Runbook, set map[string]string, run string, from int, dry bool, w Environment, record func(RecordEntry) error) error {
	f, err := b.Substitute(set)
	if err != nil {
		return err
	}
	for i, s := range f.Steps {
		if i < from {
			continue
		}
		note := func(state, detail string) error {
			return errs.Wrap(record(RecordEntry{RunID: run, Runbook: b.Name, Params: set, Step: i, Type: s.Type, Text: s.Text, State: state, Detail: detail}), "record")
		}
		if dry && s.Type != "check" {
			if err := note("planned", strings.TrimSpace(s.Action+" "+formatPairs(s.Args)+formatPairs(s.Match))); err != nil {
				return err
			}
			continue
		}
		if err := note("begun", ""); err != nil {
			return err // no step runs without its record
		}
		detail, err := s.execute(w, fmt.Sprintf("%s/%d", run, i))
		if err != nil {
			if e := note("failed", err.Error()); e != nil {
				return e
			}
			return errs.Wrap(err, fmt.Sprintf("step %d (%s)", i, s.Text))
		}
		if err := note("done", detail); err != nil {
			return err
		}
	}
	return nil
}

func formatPairs(m map[string]string) string {
	var l []string
	for _, k := range queue.Keys(m) {
		l = append(l, k+"="+m[k])
	}
	return strings.Join(l, " ")
}

func (s *Step) execute(w Environment, token string) (string, error) {
	switch s.Type {
	case "confirm":
		if !w.Confirm(s.Text) {
			return "", errs.New(errs.CheckFailed, "not confirmed")
		}
		return "confirmed", nil
	case "do":
		return s.Action + " " + formatPairs(s.Args), w.Do(s.Action, s.Args, token)
	case "check":
		return s.evaluate(w)
	}
	var detail string
	var err error
	for n := range s.WithinSeconds + 1 {
		if detail, err = s.evaluate(w); err == nil {
			return detail, nil
		}
		w.Pause(n)
	}
	return "", errs.Wrap(err, fmt.Sprintf("waited %d s", s.WithinSeconds))
}

// evaluate checks once how many rows match, and whether that is the required number.
func (s *Step) evaluate(w Environment) (string, error) {
	rows, err := w.Rows(s.View)
	if err != nil {
		return "", errs.Wrap(err, "look at "+s.View)
	}
	var hit []string
	for _, r := range rows {
		if matches(r, s.Match) {
			hit = append(hit, r["name"])
		}
	}
	said := fmt.Sprintf("%d of %d %s match %s", len(hit), len(rows), s.View, formatPairs(s.Match))
	if len(hit) > 0 && len(hit) <= 8 {
		said += ": " + strings.Join(hit, " ")
	}
	if s.Min != nil && len(hit) < *s.Min {
		return "", errs.New(errs.CheckFailed, "%s, at least %d are due", said, *s.Min)
	}
	if s.Max != nil && len(hit) > *s.Max {
		return "", errs.New(errs.CheckFailed, "%s, at most %d are due", said, *s.Max)
	}
	return said, nil
}

func matches(row, want map[string]string) bool {
	for k, v := range want {
		not := strings.HasPrefix(v, "!")
		v = strings.TrimPrefix(v, "!")
		ok := row[k] == v
		if p, star := strings.CutSuffix(v, "*"); star {
			ok = strings.HasPrefix(row[k], p)
		}
		if ok == not {
			return false
		}
	}
	return true
}

// Resume reads a record and returns where the run resumes. A step that was begun but not done is
// repeated; a record of another runbook, or of a completed run, is rejected.
//
// Example: from, set, run, err := runbook.Resume(file, book)
func Resume(r io.Reader, b *Runbook) (from int, set map[string]string, run string, err error) {
	d := json.NewDecoder(r)
	n := 0
	for {
		var l RecordEntry
		if e := d.Decode(&l); e != nil {
			break // the end, or a line cut off by the interruption
		}
		if l.Runbook != b.Name {
			return 0, nil, "", errs.New(errs.BadInput, "the record is of runbook %q", l.Runbook)
		}
		n++
		set, run = l.Params, l.RunID
		if l.State == "done" && l.Step == from {
			from++
		}
	}
	if n == 0 {
		return 0, nil, "", errs.New(errs.BadInput, "the record is empty: run without --resume")
	}
	if from >= len(b.Steps) {
		return 0, nil, "", errs.New(errs.Conflict, "the run was carried out to its end")
	}
	return from, set, run, nil
}
