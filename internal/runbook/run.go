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

// Line is one line of a run's record.
type Line struct {
	// Run executes a runbook from a step on. Every step is recorded as begun before, and as done after; a
	// dry run only checks, and neither waits, acts nor asks. Each action has a token of its own, so that
	// one whose response was lost isn't executed twice by resuming.
	Run    string            `json:"run"`
	Book   string            `json:"book"`
	Set    map[string]string `json:"set,omitempty"`
	Step   int               `json:"step"`
	Type   string            `json:"type"`
	Text   string            `json:"text"`
	State  string            `json:"state"` // begun, done, failed, refused, planned
	Detail string            `json:"detail,omitempty"`
	At     string            `json:"at"`
}

// Run carries a book out from a step on. Every step is recorded as begun before, and as
// done after; a dry run looks, and neither waits nor acts nor asks. An action carries a
// token of its own, so that one whose answer was lost isn't made twice by going on.
//
// Example: err := runbook.Run(book, set, "r-1", 0, false, world, record)
func Run(b *Book, set map[string]string, run string, from int, dry bool, w Environment, record func(Line) error) error {
	f, err := b.Fill(set)
	if err != nil {
		return err
	}
	for i, s := range f.Steps {
		if i < from {
			continue
		}
		note := func(state, detail string) error {
			return errs.Wrap(record(Line{Run: run, Book: b.Name, Set: set, Step: i, Type: s.Type, Text: s.Text, State: state, Detail: detail}), "record")
		}
		if dry && s.Type != "check" {
			if err := note("planned", strings.TrimSpace(s.Action+" "+flat(s.Args)+flat(s.Match))); err != nil {
				return err
			}
			continue
		}
		if err := note("begun", ""); err != nil {
			return err // no step runs without its record
		}
		detail, err := s.step(w, fmt.Sprintf("%s/%d", run, i))
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

func flat(m map[string]string) string {
	var l []string
	for _, k := range queue.Keys(m) {
		l = append(l, k+"="+m[k])
	}
	return strings.Join(l, " ")
}

func (s *Step) step(w Environment, token string) (string, error) {
	switch s.Type {
	case "confirm":
		if !w.Confirm(s.Text) {
			return "", errs.New(errs.NotAsDue, "not confirmed")
		}
		return "confirmed", nil
	case "do":
		return s.Action + " " + flat(s.Args), w.Do(s.Action, s.Args, token)
	case "check":
		return s.holds(w)
	}
	var detail string
	var err error
	for n := range s.WithinS + 1 {
		if detail, err = s.holds(w); err == nil {
			return detail, nil
		}
		w.Pause(n)
	}
	return "", errs.Wrap(err, fmt.Sprintf("waited %d s", s.WithinS))
}

// holds checks once how many rows match, and whether that is the required number.
func (s *Step) holds(w Environment) (string, error) {
	rows, err := w.Rows(s.Of)
	if err != nil {
		return "", errs.Wrap(err, "look at "+s.Of)
	}
	var hit []string
	for _, r := range rows {
		if matches(r, s.Match) {
			hit = append(hit, r["name"])
		}
	}
	said := fmt.Sprintf("%d of %d %s match %s", len(hit), len(rows), s.Of, flat(s.Match))
	if len(hit) > 0 && len(hit) <= 8 {
		said += ": " + strings.Join(hit, " ")
	}
	if s.AtLeast != nil && len(hit) < *s.AtLeast {
		return "", errs.New(errs.NotAsDue, "%s, at least %d are due", said, *s.AtLeast)
	}
	if s.AtMost != nil && len(hit) > *s.AtMost {
		return "", errs.New(errs.NotAsDue, "%s, at most %d are due", said, *s.AtMost)
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
func Resume(r io.Reader, b *Book) (from int, set map[string]string, run string, err error) {
	d := json.NewDecoder(r)
	n := 0
	for {
		var l Line
		if e := d.Decode(&l); e != nil {
			break // the end, or a line cut off by the interruption
		}
		if l.Book != b.Name {
			return 0, nil, "", errs.New(errs.BadInput, "the record is of runbook %q", l.Book)
		}
		n++
		set, run = l.Set, l.Run
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
