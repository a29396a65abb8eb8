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
	modelAction
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

func (result report) String() string {
	return fmt.Sprintf("%d states, %d transitions, depth %d, %v (%d different members, %d different messages)",
		result.states, result.transitions, result.depth, result.elapsed.Round(10*time.Millisecond), result.nodes, result.messages)
}

// search visits every state within the bounds, breadth first, and stops at the first that breaks an
// invariant: no shorter path leads to one.
func search(limits bounds, limit int) (result report) {
	begun := time.Now()
	space := newSpace(limits)
	first := space.initialState()
	seen := map[fingerprint]struct{}{space.fingerprint(first): {}}
	path := []pathStep{{from: -1}}
	level := []*groupState{first}
	for ; len(level) > 0 && result.fault == "" && !result.limited; result.depth++ {
		var nextLevel []*groupState
		for _, state := range level {
			for _, action := range space.actions(state) {
				next, changed, fault := space.applyAction(state, action)
				if !changed {
					continue
				}
				result.transitions++
				key := space.fingerprint(next)
				if _, known := seen[key]; known && fault == "" {
					continue
				}
				seen[key] = struct{}{}
				next.number = int32(len(path))
				path = append(path, pathStep{state.number, action})
				nextLevel = append(nextLevel, next)
				if fault == "" {
					fault = space.checkState(next)
				}
				if fault != "" {
					result.fault, result.trace = fault, space.trace(path)
					break
				}
			}
			if result.limited = limit > 0 && len(path) > limit; result.limited || result.fault != "" {
				break
			}
		}
		level = nextLevel
	}
	if result.fault == "" {
		result.fault = space.verifyNoEffect()
	}
	if result.fault == "" {
		result.fault = space.verifyUnchanged()
	}
	result.states, result.nodes, result.messages, result.elapsed = len(path), len(space.nodes), len(space.messages), time.Since(begun)
	return result
}

// trace tells the steps from the start to the last state of a path.
func (s *space) trace(path []pathStep) (l []string) {
	for at := int32(len(path) - 1); at > 0; at = path[at].from {
		l = append([]string{s.describe(path[at].modelAction)}, l...)
	}
	return l
}

func (s *space) describe(action modelAction) string {
	name := slotNames[action.slot]
	held := ""
	if action.delayFlush {
		held = ", and hasn't synced yet"
	}
	switch action.kind {
	case deliver:
		message := s.messages[action.arg]
		return fmt.Sprintf("%s takes from %s: %s%s", name, message.From, describeMessage(message.Message), held)
	case queryFreshness:
		return "an agent asks whether there is anything newer"
	case attestFreshness:
		return name + " vouches that its disk holds nothing newer"
	case addLearner, addMember, removeMember, replaceMember, transfer:
		return fmt.Sprintf("%s %s %s", name, eventNames[action.kind], slotNames[action.arg])
	case propose:
		return fmt.Sprintf("%s proposes %c%s", name, action.arg, held)
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
