package consensus

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/wire"
)

// pathStep is the action by which the search first reached a state, and the state before the action.
type pathStep struct {
	from int32 // number of the state before the action; -1: none, at the initial state
	modelAction
}

// searchResult is the coverage and the outcome of a search.
type searchResult struct {
	states, transitions, depth int
	nodes, messages            int // numbers of distinct nodes and messages
	elapsed                    time.Duration
	violation                  string   // description of the violated invariant; empty: none
	trace                      []string // the actions that lead to the violation, in order
	incomplete                 bool     // the search ended before it had visited all states
}

func (r searchResult) String() string {
	return fmt.Sprintf("%d states, %d transitions, depth %d, %v (%d distinct member states, %d distinct messages)",
		r.states, r.transitions, r.depth, r.elapsed.Round(10*time.Millisecond), r.nodes, r.messages)
}

// searcher is a breadth-first search of a state space.
type searcher struct {
	searchResult
	stateSpace *stateSpace
	maxStates  int // maximum number of states to visit; 0: no limit
	visited    map[fingerprint]struct{}
	path       []pathStep // by state number: the step by which the search first reached the state
}

// search visits every state within the bounds, breadth first, and stops at the first state that violates an
// invariant, so that the trace to the violation is a shortest one.
func search(limits bounds, maxStates int) searchResult {
	begun := time.Now()
	stateSpace := newStateSpace(limits)
	first := stateSpace.initialState()
	s := &searcher{stateSpace: stateSpace, maxStates: maxStates, visited: map[fingerprint]struct{}{stateSpace.fingerprint(first): {}}, path: []pathStep{{from: -1}}}
	for level := []*groupState{first}; len(level) > 0 && !s.ended(); s.depth++ {
		level = s.expand(level)
	}
	if s.violation == "" {
		s.violation = stateSpace.verifyNoEffect()
	}
	if s.violation == "" {
		s.violation = stateSpace.verifyUnchanged()
	}
	s.states, s.nodes, s.messages, s.elapsed = len(s.path), len(stateSpace.nodes), len(stateSpace.messages), time.Since(begun)
	return s.searchResult
}

func (s *searcher) ended() bool { return s.incomplete || s.violation != "" }

// expand returns the states that the search reaches for the first time by one action from the states of a level, which
// are those at one depth of the search.
func (s *searcher) expand(level []*groupState) (next []*groupState) {
	for _, state := range level {
		for _, action := range s.stateSpace.actions(state) {
			if reached := s.follow(state, action); reached != nil {
				next = append(next, reached)
			}
			if s.violation != "" {
				break
			}
		}
		if s.incomplete = s.maxStates > 0 && len(s.path) > s.maxStates; s.ended() {
			break
		}
	}
	return next
}

// follow returns the state after an action, or nil if the action changes nothing or leads to a state that was visited
// before. It records the first violation of an invariant.
func (s *searcher) follow(state *groupState, action modelAction) *groupState {
	next, changed, violation := s.stateSpace.applyAction(state, action)
	if !changed {
		return nil
	}
	s.transitions++
	key := s.stateSpace.fingerprint(next)
	if _, known := s.visited[key]; known && violation == "" {
		return nil
	}
	s.visited[key] = struct{}{}
	next.number = int32(len(s.path))
	s.path = append(s.path, pathStep{state.number, action})
	if violation == "" {
		violation = s.stateSpace.checkState(next)
	}
	if violation != "" {
		s.violation, s.trace = violation, s.stateSpace.trace(s.path)
	}
	return next
}

// trace describes, in order, the actions that lead from the initial state to the state that the search reached last.
func (s *stateSpace) trace(path []pathStep) (actions []string) {
	for number := int32(len(path) - 1); number > 0; number = path[number].from {
		actions = append([]string{s.describe(path[number].modelAction)}, actions...)
	}
	return actions
}

func (s *stateSpace) describe(action modelAction) string {
	name := slotNames[action.slot]
	delayed := ""
	if action.delayFlush {
		delayed = ", and persists and sends its output only at a later flush"
	}
	switch action.kind {
	case deliver:
		message := s.messages[action.arg]
		return fmt.Sprintf("%s receives from %s: %s%s", name, message.From, describeMessage(message.Message), delayed)
	case queryFreshness:
		return "a client asks all members whether they have newer state than its copy"
	case attestFreshness:
		return name + " responds to the client that it has no newer state than the client's copy"
	case addLearner, addMember, removeMember, replaceMember, transfer:
		return fmt.Sprintf("%s %s %s", name, eventNames[action.kind], slotNames[action.arg])
	case propose:
		return fmt.Sprintf("%s proposes command %c%s", name, action.arg, delayed)
	}
	return name + " " + eventNames[action.kind]
}

func describeMessage(message *wire.Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s of term %d, log term/index %d/%d", message.Kind, message.Term, message.LogTerm, message.Index)
	for _, entry := range message.Entries {
		fmt.Fprintf(&b, ", entry term/index %d/%d body %q members %v", entry.Term, entry.Index, entry.Body, entry.Members)
	}
	if message.Snapshot != nil {
		fmt.Fprintf(&b, ", snapshot term/index %d/%d", message.Snapshot.Term, message.Snapshot.Index)
	}
	fmt.Fprintf(&b, ", commit index %d, (pre-)vote granted or append accepted: %v, read sequence number %d", message.Commit, message.Ok, message.Probe)
	return b.String()
}
