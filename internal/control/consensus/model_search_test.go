package consensus

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/wire"
)

// pathStep is the action that leads from an earlier state to a new one.
type pathStep struct {
	from int32 // number of the earlier state
	modelAction
}

// report is the coverage and the outcome of a search.
type report struct {
	states, transitions, depth int
	nodes, messages            int // numbers of distinct ones
	elapsed                    time.Duration
	fault                      string   // the invariant that is violated; empty: none
	trace                      []string // the actions that lead to the violation
	limited                    bool     // the search ended before it had visited all states
}

func (r report) String() string {
	return fmt.Sprintf("%d states, %d transitions, depth %d, %v (%d different members, %d different messages)",
		r.states, r.transitions, r.depth, r.elapsed.Round(10*time.Millisecond), r.nodes, r.messages)
}

// searcher is a breadth-first search of a space.
type searcher struct {
	report
	space     *space
	maxStates int // 0: no limit
	visited   map[fingerprint]struct{}
	path      []pathStep // by the number of a state: how it was reached
}

// search visits every state within the bounds, breadth first, and stops at the first one that violates an
// invariant: no shorter path leads to a violation.
func search(limits bounds, maxStates int) report {
	begun := time.Now()
	space := newSpace(limits)
	first := space.initialState()
	s := &searcher{space: space, maxStates: maxStates, visited: map[fingerprint]struct{}{space.fingerprint(first): {}}, path: []pathStep{{from: -1}}}
	for level := []*groupState{first}; len(level) > 0 && !s.ended(); s.depth++ {
		level = s.expand(level)
	}
	if s.fault == "" {
		s.fault = space.verifyNoEffect()
	}
	if s.fault == "" {
		s.fault = space.verifyUnchanged()
	}
	s.states, s.nodes, s.messages, s.elapsed = len(s.path), len(space.nodes), len(space.messages), time.Since(begun)
	return s.report
}

func (s *searcher) ended() bool { return s.limited || s.fault != "" }

// expand returns the new states that are one action away from those of a level.
func (s *searcher) expand(level []*groupState) (next []*groupState) {
	for _, state := range level {
		for _, action := range s.space.actions(state) {
			if reached := s.follow(state, action); reached != nil {
				next = append(next, reached)
			}
			if s.fault != "" {
				break
			}
		}
		if s.limited = s.maxStates > 0 && len(s.path) > s.maxStates; s.ended() {
			break
		}
	}
	return next
}

// follow returns the state after an action, or nil if it was visited before. It records the first violation.
func (s *searcher) follow(state *groupState, action modelAction) *groupState {
	next, changed, fault := s.space.applyAction(state, action)
	if !changed {
		return nil
	}
	s.transitions++
	key := s.space.fingerprint(next)
	if _, known := s.visited[key]; known && fault == "" {
		return nil
	}
	s.visited[key] = struct{}{}
	next.number = int32(len(s.path))
	s.path = append(s.path, pathStep{state.number, action})
	if fault == "" {
		fault = s.space.checkState(next)
	}
	if fault != "" {
		s.fault, s.trace = fault, s.space.trace(s.path)
	}
	return next
}

// trace describes the actions from the first state to the last one of a path.
func (s *space) trace(path []pathStep) (l []string) {
	for at := int32(len(path) - 1); at > 0; at = path[at].from {
		l = append([]string{s.describe(path[at].modelAction)}, l...)
	}
	return l
}

func (s *space) describe(action modelAction) string {
	name := slotNames[action.slot]
	delayed := ""
	if action.delayFlush {
		delayed = ", and hasn't persisted yet"
	}
	switch action.kind {
	case deliver:
		message := s.messages[action.arg]
		return fmt.Sprintf("%s receives from %s: %s%s", name, message.From, describeMessage(message.Message), delayed)
	case queryFreshness:
		return "an agent asks whether there is a newer document"
	case attestFreshness:
		return name + " attests that it has no newer document"
	case addLearner, addMember, removeMember, replaceMember, transfer:
		return fmt.Sprintf("%s %s %s", name, eventNames[action.kind], slotNames[action.arg])
	case propose:
		return fmt.Sprintf("%s proposes %c%s", name, action.arg, delayed)
	}
	return name + " " + eventNames[action.kind]
}

func describeMessage(message *wire.Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s of term %d, index %d/%d", message.Kind, message.Term, message.LogTerm, message.Index)
	for _, entry := range message.Entries {
		fmt.Fprintf(&b, ", entry %d/%d %s%v", entry.Term, entry.Index, entry.Body, entry.Members)
	}
	if message.Snapshot != nil {
		fmt.Fprintf(&b, ", snapshot %d/%d", message.Snapshot.Term, message.Snapshot.Index)
	}
	fmt.Fprintf(&b, ", commit %d, ok %v, probe %d", message.Commit, message.Ok, message.Probe)
	return b.String()
}
