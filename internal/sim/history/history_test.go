package history

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"
)

const key = "plan"

const limit = 5 * time.Second

func order(token string, base, number uint64) Order {
	return Order{Key: key, Token: token, Base: base, Number: number, Body: token}
}

// script builds a history step by step.
type script struct{ h *History }

func (s script) done(o Order)               { s.h.Send(o).Answer(Done, o.Number) }
func (s script) refused(o Order, at uint64) { s.h.Send(o).Answer(Refused, at) }
func (s script) read(v uint64, body string) { s.h.Ask(key).Value(v, body) }
func (s script) chain(names string) {
	for i, n := range strings.Fields(names) {
		s.done(order(n, uint64(i), uint64(i+1)))
	}
}

// The checker itself: histories that are known good and known bad.
func TestTheCheckerSeparatesGoodFromBad(t *testing.T) {
	for _, x := range []struct {
		name string
		good bool
		play func(script)
	}{
		{"nothing happened", true, func(s script) { s.read(0, "") }},
		{"one after the other", true, func(s script) { s.chain("a b"); s.read(2, "b") }},
		{"of two on one base one is refused", true, func(s script) {
			x, y := s.h.Send(order("a", 0, 1)), s.h.Send(order("b", 0, 1))
			x.Answer(Refused, 1)
			y.Answer(Done, 1)
			s.read(1, "b")
		}},
		{"two are acknowledged on one base", false, func(s script) { s.done(order("a", 0, 1)); s.done(order("b", 0, 2)) }},
		{"two are acknowledged under one number", false, func(s script) { s.done(order("a", 0, 1)); s.done(order("b", 0, 1)) }},
		{"a stale read", false, func(s script) { s.chain("a b"); s.read(1, "a") }},
		{"a read beside a change sees either", true, func(s script) {
			s.chain("a")
			q, w := s.h.Ask(key), s.h.Send(order("b", 1, 2))
			w.Answer(Done, 2)
			q.Value(1, "a")
		}},
		{"reads go back beside one change", false, func(s script) {
			s.chain("a")
			w := s.h.Send(order("b", 1, 2))
			s.read(2, "b")
			s.read(1, "a")
			w.Answer(Done, 2)
		}},
		{"an acknowledged change is lost", false, func(s script) { s.chain("a b"); s.done(order("c", 1, 2)); s.read(2, "c") }},
		{"a read finds another body", false, func(s script) { s.chain("a"); s.read(1, "x") }},
		{"an unknown order comes into force late", true, func(s script) {
			s.h.Send(order("a", 0, 1))
			s.read(0, "")
			s.read(1, "a")
		}},
		{"an unknown order never comes into force", true, func(s script) {
			s.h.Send(order("a", 0, 1))
			s.done(order("b", 0, 2))
			s.read(2, "b")
		}},
		{"an unknown order comes into force before it was sent", false, func(s script) { s.read(1, "a"); s.h.Send(order("a", 0, 1)) }},
		{"an unknown order comes into force twice", false, func(s script) {
			s.h.Send(order("a", 0, 1))
			s.read(1, "a")
			s.done(order("b", 1, 2))
			s.read(1, "a")
		}},
		{"sent again it is acknowledged again", true, func(s script) {
			s.chain("a b")
			s.done(order("a", 0, 1))
			s.h.Send(order("a", 0, 1))
			s.read(2, "b")
		}},
		{"sent again it is refused", false, func(s script) { s.chain("a"); s.refused(order("a", 0, 1), 1) }},
		{"sent again after others it is acknowledged again", true, func(s script) {
			s.chain("a b c d e")
			s.done(order("a", 0, 1))
			s.read(5, "e")
		}},
		{"sent again after others it is refused", false, func(s script) {
			s.chain("a b c d e")
			s.refused(order("a", 0, 1), 5)
		}},
		{"sent again it is acknowledged as another version", false, func(s script) {
			s.chain("a b")
			s.h.Send(order("a", 0, 1)).Answer(Done, 2)
		}},
		{"a refused order comes into force", false, func(s script) {
			s.chain("a")
			s.refused(order("b", 0, 2), 1)
			s.read(2, "b")
		}},
		{"an order is refused on the version that it builds on", false, func(s script) {
			s.chain("a")
			s.refused(order("b", 1, 2), 1)
			s.read(1, "a")
		}},
		{"a refusal names a version of the past", false, func(s script) { s.chain("a b"); s.refused(order("c", 0, 3), 1) }},
		{"an attempt that never ran comes into force", false, func(s script) {
			s.h.Send(order("a", 0, 1)).Answer(NotTaken, 0)
			s.read(1, "a")
		}},
		{"an invalid order comes into force", false, func(s script) {
			s.h.Send(order("a", 0, 1)).Answer(Invalid, 0)
			s.read(1, "a")
		}},
		{"patches on any version count up", true, func(s script) {
			x, y := s.h.Send(Order{Key: key, Token: "a", AnyVersion: true}), s.h.Send(Order{Key: key, Token: "b", AnyVersion: true})
			x.Answer(Done, 2)
			y.Answer(Done, 1)
			s.read(2, "ba")
			s.read(2, "ba")
		}},
		{"a patch's outcome is read in two ways", false, func(s script) {
			s.h.Send(Order{Key: key, Token: "a", AnyVersion: true}).Answer(Done, 1)
			s.read(1, "x")
			s.read(1, "y")
		}},
		{"another document has its own history", true, func(s script) {
			s.chain("a b")
			s.h.Ask("other").Value(0, "")
		}},
	} {
		s := script{&History{}}
		x.play(s)
		if v := s.h.Judge(limit); (len(v.Faults) == 0) != x.good {
			t.Errorf("%s: %+v", x.name, v)
		}
	}
}

// A check that isn't done in time is a failure, not a pass.
func TestACheckThatIsNotDoneIsAFailure(t *testing.T) {
	s := script{&History{}}
	for range 40 {
		s.h.Send(Order{Key: key, AnyVersion: true})
	}
	s.done(order("z", 100, 101))
	v := s.h.Judge(50 * time.Millisecond)
	if len(v.Faults) != 1 || !strings.Contains(v.Faults[0], "wasn't judged") {
		t.Errorf("%+v", v)
	}
}

// testPrograms drive the test bed; they are no part of the product.
var testPrograms = []string{"pebbleloom/cmd/testbed", "pebbleloom/cmd/loadgen"}

// No program of the product links the checker.
func TestNoProductProgramLinksTheChecker(t *testing.T) {
	c := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Deps}} {{.}}{{end}}`, "./cmd/...", "./platform/...")
	c.Dir = "../../.."
	out, err := c.Output()
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(lines) < 3 {
		t.Fatalf("only %d packages listed", len(lines))
	}
	for _, l := range lines {
		program, _, _ := strings.Cut(l, " ")
		if strings.Contains(l, "anishathalye/porcupine") && strings.Contains(program, "/cmd/") && !slices.Contains(testPrograms, program) {
			t.Errorf("%s links the checker", program)
		}
	}
}
