package history

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// register is the state of one document in the model: a register with a version, and the orders
// that it has taken.
type register struct {
	version      uint64
	body         string
	bodyKnown    bool // the body is known
	applied      *appliedChange
	allCompleted bool // all that was answered has its place
}

// appliedChange is one order that took effect, and those before it.
type appliedChange struct {
	token    string
	version  uint64
	previous *appliedChange
}

// find gives the version under which an order was taken, and how many were taken since.
func (t *appliedChange) find(token string) (version uint64, found bool) {
	for x := t; x != nil && token != ""; x = x.previous {
		if x.token == token {
			return x.version, true
		}
	}
	return 0, false
}

// model is a register with compare-and-set and reads. An order that was taken is acknowledged
// again with its first outcome, or left unclear; however late it is sent again, it isn't refused.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return register{bodyKnown: true} },
		Step: func(state, input, output any) (bool, any) {
			s, o, seen := state.(register), input.(*Change), output.(*observation)
			switch {
			case seen == nil:
				s.allCompleted = true
				return true, s
			case o == nil:
				return s.stepRead(seen)
			case seen.outcome == Unknown:
				return s.stepIndeterminate(o)
			}
			return s.stepChange(o, seen)
		},
		Equal: func(a, b any) bool { return a.(register).equal(b.(register)) },
		DescribeOperation: func(input, output any) string {
			return describe(input.(*Change), output.(*observation))
		},
	}
}

func (s register) stepRead(seen *observation) (bool, any) {
	if seen.version != s.version || s.bodyKnown && seen.body != s.body {
		return false, s
	}
	s.body, s.bodyKnown = seen.body, true // of a patch the first read tells what it led to
	return true, s
}

func (s register) stepChange(o *Change, seen *observation) (bool, any) {
	if version, found := s.applied.find(o.Token); found {
		return seen.outcome == Acknowledged && seen.version == version, s
	}
	if !s.isApplicable(o) {
		named := seen.outcome == Rejected && seen.version != 0
		return seen.outcome != Acknowledged && (!named || seen.version == s.version), s
	}
	switch seen.outcome {
	case Rejected:
		return false, s
	case Invalid:
		return true, s
	}
	next := s.apply(o)
	return seen.version == next.version, next
}

// stepIndeterminate is an order without a clear answer: it takes effect where it fits, or, once all that was
// answered has its place, never. So the checker doesn't try each place where it would do nothing.
func (s register) stepIndeterminate(o *Change) (bool, any) {
	if s.allCompleted {
		return true, s
	}
	if _, found := s.applied.find(o.Token); found || !s.isApplicable(o) {
		return false, s
	}
	return true, s.apply(o)
}

// isApplicable tells whether an order may take effect on the current version.
func (s register) isApplicable(o *Change) bool {
	return (o.AnyVersion || o.BaseVersion == s.version) && (o.NewVersion == 0 || o.NewVersion > s.version)
}

func (s register) apply(o *Change) register {
	n := register{version: o.NewVersion, body: o.Body, bodyKnown: o.Body != "", applied: s.applied}
	if n.version == 0 {
		n.version = s.version + 1
	}
	n.applied = &appliedChange{o.Token, n.version, s.applied}
	return n
}

// equal tells whether two states can't be told apart by anything that follows.
func (s register) equal(o register) bool {
	if s.version != o.version || s.body != o.body || s.bodyKnown != o.bodyKnown || s.allCompleted != o.allCompleted {
		return false
	}
	x, y := s.applied, o.applied
	for ; x != y; x, y = x.previous, y.previous {
		if x == nil || y == nil || x.token != y.token || x.version != y.version {
			return false
		}
	}
	return true
}

func describe(o *Change, seen *observation) string {
	if seen == nil {
		return "end"
	}
	if o == nil {
		return fmt.Sprintf("[%d-%d] read version %d %q", seen.calledAt, seen.returnedAt, seen.version, seen.body)
	}
	said := [...]string{"unknown", "done", "refused", "invalid", "not taken"}[seen.outcome]
	base := fmt.Sprint(o.BaseVersion)
	if o.AnyVersion {
		base = "any"
	}
	return fmt.Sprintf("[%d-%d] order %s on %s, number %d: %s, version %d", seen.calledAt, seen.returnedAt, o.Token, base, o.NewVersion, said, seen.version)
}
