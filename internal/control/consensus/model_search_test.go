package consensus

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/wire"
)

// pathStep leads from an earlier state to a new one.
type pathStep struct {
	from int32
	action
}

// report is what a search has covered.
type report struct {
	states, transitions, depth int
	nodes, messages            int // different ones
	elapsed                    time.Duration
	fault                      string // empty: every invariant holds in every state
	trace                      []string
	limited                    bool // it was cut off before all states were visited
}

func (r report) String() string {
	return fmt.Sprintf("%d states, %d transitions, depth %d, %v (%d different members, %d different messages)",
		r.states, r.transitions, r.depth, r.elapsed.Round(10*time.Millisecond), r.nodes, r.messages)
}

// search visits every state within the bounds, breadth first, and stops at the first that breaks an
// invariant: no shorter path leads to one.
func search(b bounds, limit int) (r report) {
	begun := time.Now()
	s := newSpace(b)
	first := s.initialState()
	seen := map[fingerprint]struct{}{s.fingerprint(first): {}}
	path := []pathStep{{from: -1}}
	level := []*state{first}
	for ; len(level) > 0 && r.fault == "" && !r.limited; r.depth++ {
		var next []*state
		for _, x := range level {
			for _, a := range s.actions(x) {
				y, changed, fault := s.applyAction(x, a)
				if !changed {
					continue
				}
				r.transitions++
				key := s.fingerprint(y)
				if _, known := seen[key]; known && fault == "" {
					continue
				}
				seen[key] = struct{}{}
				y.number = int32(len(path))
				path = append(path, pathStep{x.number, a})
				next = append(next, y)
				if fault == "" {
					fault = s.checkState(y)
				}
				if fault != "" {
					r.fault, r.trace = fault, s.trace(path)
					break
				}
			}
			if r.limited = limit > 0 && len(path) > limit; r.limited || r.fault != "" {
				break
			}
		}
		level = next
	}
	if r.fault == "" {
		r.fault = s.verifyNoEffect()
	}
	if r.fault == "" {
		r.fault = s.verifyUnchanged()
	}
	r.states, r.nodes, r.messages, r.elapsed = len(path), len(s.nodes), len(s.messages), time.Since(begun)
	return r
}

// trace tells the steps from the start to the last state of a path.
func (s *space) trace(path []pathStep) (l []string) {
	for at := int32(len(path) - 1); at > 0; at = path[at].from {
		l = append([]string{s.describe(path[at].action)}, l...)
	}
	return l
}

func (s *space) describe(a action) string {
	name := slotNames[a.slot]
	held := ""
	if a.delayFlush {
		held = ", and hasn't synced yet"
	}
	switch a.kind {
	case deliver:
		m := s.messages[a.arg]
		return fmt.Sprintf("%s takes from %s: %s%s", name, m.From, describeMessage(m.Message), held)
	case queryFreshness:
		return "an agent asks whether there is anything newer"
	case attestFreshness:
		return name + " vouches that its disk holds nothing newer"
	case addLearner, addMember, removeMember, replaceMember, transfer:
		return fmt.Sprintf("%s %s %s", name, eventNames[a.kind], slotNames[a.arg])
	case propose:
		return fmt.Sprintf("%s proposes %c%s", name, a.arg, held)
	}
	return name + " " + eventNames[a.kind]
}

func describeMessage(m *wire.Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s of term %d, index %d/%d", m.Kind, m.Term, m.LogTerm, m.Index)
	for _, e := range m.Entries {
		fmt.Fprintf(&b, ", entry %d/%d %s%v", e.Term, e.Index, e.Body, e.Members)
	}
	if m.Snapshot != nil {
		fmt.Fprintf(&b, ", snapshot %d/%d", m.Snapshot.Term, m.Snapshot.Index)
	}
	fmt.Fprintf(&b, ", commit %d, ok %v, probe %d", m.Commit, m.Ok, m.Probe)
	return b.String()
}
