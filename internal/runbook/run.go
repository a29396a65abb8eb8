package runbook

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// World is what a run works on.
type World interface {
	Rows(view string) ([]map[string]string, error) // what a view shows
	Do(action string, args map[string]string, token string) error
	Confirm(text string) bool
	Pause(second int) // one second of a wait passes
}

// Line is one line of a run's record.
type Line struct {
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
func Run(b *Book, set map[string]string, run string, from int, dry bool, w World, record func(Line) error) error {
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
			return err // what can't be recorded isn't done
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

func (s *Step) step(w World, token string) (string, error) {
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

// holds looks once: how many rows match, and whether that is as many as are due.
func (s *Step) holds(w World) (string, error) {
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

// Resume reads a record: where the run goes on. A step that was begun and not done is made
// again; a record of another book, or one that is through, is refused.
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
