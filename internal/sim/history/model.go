package history

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// register is the state of one document in the model: a register with a version, and the orders
// that it has taken.
type register struct {
	version uint64
	body    string
	known   bool // the body is known
	taken   *taken
	ended   bool // all that was answered has its place
}

// taken is one order that took effect, and those before it.
type taken struct {
	token   string
	version uint64
	before  *taken
}

// find gives the version under which an order was taken, and how many were taken since.
func (t *taken) find(token string) (version uint64, found bool) {
	for x := t; x != nil && token != ""; x = x.before {
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
		Init: func() any { return register{known: true} },
		Step: func(state, input, output any) (bool, any) {
			s, o, seen := state.(register), input.(*Order), output.(*observation)
			switch {
			case seen == nil:
				s.ended = true
				return true, s
			case o == nil:
				return s.read(seen)
			case seen.outcome == Unknown:
				return s.mayTake(o)
			}
			return s.write(o, seen)
		},
		Equal: func(a, b any) bool { return a.(register).same(b.(register)) },
		DescribeOperation: func(input, output any) string {
			return describe(input.(*Order), output.(*observation))
		},
	}
}

func (s register) read(seen *observation) (bool, any) {
	if seen.version != s.version || s.known && seen.body != s.body {
		return false, s
	}
	s.body, s.known = seen.body, true // of a patch the first read tells what it led to
	return true, s
}

func (s register) write(o *Order, seen *observation) (bool, any) {
	if version, found := s.taken.find(o.Token); found {
		return seen.outcome == Done && seen.version == version, s
	}
	if !s.fits(o) {
		named := seen.outcome == Refused && seen.version != 0
		return seen.outcome != Done && (!named || seen.version == s.version), s
	}
	switch seen.outcome {
	case Refused:
		return false, s
	case Invalid:
		return true, s
	}
	next := s.apply(o)
	return seen.version == next.version, next
}

// mayTake is an order without a clear answer: it takes effect where it fits, or, once all that was
// answered has its place, never. So the checker doesn't try each place where it would do nothing.
func (s register) mayTake(o *Order) (bool, any) {
	if s.ended {
		return true, s
	}
	if _, found := s.taken.find(o.Token); found || !s.fits(o) {
		return false, s
	}
	return true, s.apply(o)
}

// fits tells whether an order may take effect on the current version.
func (s register) fits(o *Order) bool {
	return (o.AnyVersion || o.Base == s.version) && (o.Number == 0 || o.Number > s.version)
}

func (s register) apply(o *Order) register {
	n := register{version: o.Number, body: o.Body, known: o.Body != "", taken: s.taken}
	if n.version == 0 {
		n.version = s.version + 1
	}
	n.taken = &taken{o.Token, n.version, s.taken}
	return n
}

// same tells whether two states can't be told apart by anything that follows.
func (s register) same(o register) bool {
	if s.version != o.version || s.body != o.body || s.known != o.known || s.ended != o.ended {
		return false
	}
	x, y := s.taken, o.taken
	for ; x != y; x, y = x.before, y.before {
		if x == nil || y == nil || x.token != y.token || x.version != y.version {
			return false
		}
	}
	return true
}

func describe(o *Order, seen *observation) string {
	if seen == nil {
		return "end"
	}
	if o == nil {
		return fmt.Sprintf("[%d-%d] read version %d %q", seen.call, seen.answer, seen.version, seen.body)
	}
	said := [...]string{"unknown", "done", "refused", "invalid", "not taken"}[seen.outcome]
	base := fmt.Sprint(o.Base)
	if o.AnyVersion {
		base = "any"
	}
	return fmt.Sprintf("[%d-%d] order %s on %s, number %d: %s, version %d", seen.call, seen.answer, o.Token, base, o.Number, said, seen.version)
}
