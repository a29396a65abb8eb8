package controlstate

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pebbleloom/internal/control/consensus"
)

// repairCase is a group in which one or two members have to be replaced. Each machine is one letter: A is the leader,
// X and Y are the members that are lost first, N and M are their replacements, and all others are followers.
type repairCase struct {
	members  string // voters before the loss, one letter per machine
	lost     string // members that are lost: "X" or "XY"
	failure  repairFailure
	newcomer string // machines that replace the lost members: "N" (one machine, N), "NM" (two, N and M) or "" (none available)
}

// repairFailure is the way in which members are lost. The values appear in the table in docs/control.md.
type repairFailure string

// Ways in which the members that a repair replaces are lost.
const (
	failureWiped   repairFailure = "disk lost"         // the machine returns with an empty disk
	failureSilent  repairFailure = "silent, disk kept" // the machine does not respond, but may return with its disk
	failureLeaving repairFailure = "leaves in order"   // the machine announces its shutdown
)

// changeSequence is the order in which a repair changes the membership. The values appear in the table in
// docs/control.md.
type changeSequence string

// Sequences of membership changes that the table of second losses in docs/control.md compares.
const (
	sequenceRemoveFirst changeSequence = "remove, then add"
	sequenceAddFirst    changeSequence = "add, then remove"
	sequenceJoint       changeSequence = "joint change"
	sequenceRemoveOnly  changeSequence = "remove, nobody to add"
	sequenceNone        changeSequence = "no change"
)

// repairStep is one state of a repair. While a membership change is in flight, the log of the next leader may end with
// the old or the new membership, which are the alternatives. Each alternative lists the memberships in which it needs a
// quorum: one, or both in a joint change (as in Raft's joint consensus).
type repairStep struct{ alternatives [][]string }

// steps returns the states of a repair: the state before it and, for each membership change, the states in which the
// change is in flight and committed.
func (r repairCase) steps(sequence changeSequence) (steps []repairStep) {
	current := r.members
	steps = append(steps, repairStep{[][]string{{current}}})
	change := func(next string) {
		steps = append(steps, repairStep{[][]string{{current}, {next}}}, repairStep{[][]string{{next}}})
		current = next
	}
	for index, lost := range strings.Split(r.lost, "") {
		newcomer := ""
		if index < len(r.newcomer) {
			newcomer = r.newcomer[index : index+1]
		}
		switch sequence {
		case sequenceRemoveFirst:
			change(strings.Replace(current, lost, "", 1))
			change(current + newcomer)
		case sequenceAddFirst:
			change(current + newcomer)
			change(strings.Replace(current, lost, "", 1))
		case sequenceRemoveOnly:
			change(strings.Replace(current, lost, "", 1))
		case sequenceJoint:
			next := strings.Replace(current, lost, "", 1) + newcomer
			steps = append(steps, repairStep{[][]string{{current}, {current, next}}}, repairStep{[][]string{{current, next}}},
				repairStep{[][]string{{current, next}, {next}}}, repairStep{[][]string{{next}}})
			current = next
		}
	}
	return steps
}

// hasQuorum reports whether the group has a quorum without the lost machines, whichever alternative the next leader's
// log ends with.
func (s repairStep) hasQuorum(lost string) bool {
	for _, required := range s.alternatives {
		for _, members := range required {
			alive := 0
			for _, member := range members {
				if !strings.ContainsRune(lost, member) {
					alive++
				}
			}
			if 2*alive <= len(members) {
				return false
			}
		}
	}
	return true
}

// tolerated returns how many more machines, whichever they are, may be lost without losing the quorum; -1 if there is
// no quorum.
func (s repairStep) tolerated(lost string) int {
	isAlive := map[rune]bool{}
	for _, required := range s.alternatives {
		for _, members := range required {
			for _, member := range members {
				isAlive[member] = !strings.ContainsRune(lost, member)
			}
		}
	}
	var alive []rune
	for member := range isAlive {
		if isAlive[member] {
			alive = append(alive, member)
		}
	}
	if !s.hasQuorum(lost) {
		return -1
	}
	for count := 1; ; count++ {
		if !everySubset(alive, count, lost, s.hasQuorum) {
			return count - 1
		}
	}
}

// everySubset reports whether a condition holds for every set of lost machines that consists of the given ones and
// count of those that are alive.
func everySubset(alive []rune, count int, lost string, holds func(lost string) bool) bool {
	if count == 0 {
		return holds(lost)
	}
	if len(alive) < count {
		return true // count exceeds the number of machines that are alive, so there is no such set
	}
	return everySubset(alive[1:], count-1, lost+string(alive[0]), holds) && everySubset(alive[1:], count, lost, holds)
}

// repairRow is a row of the table in docs/control.md. It describes which losses each step of a repair tolerates.
type repairRow struct {
	tolerated          []int            // number of further machines that may be lost at each step of the repair
	stepsWithoutQuorum map[string][]int // steps of the repair at which a second loss leaves no quorum, by kind of the second loss
}

// secondLossColumns lists the second losses, each of which is a column of the table of second losses in docs/control.md.
var secondLossColumns = []string{"the leader", "a follower", "the newcomer", "the leader, the first one back"}

// row computes the row of a repair's sequence of membership changes in the table of second losses.
func (r repairCase) row(sequence changeSequence) repairRow {
	row := repairRow{stepsWithoutQuorum: map[string][]int{}}
	steps := r.steps(sequence)
	if r.failure == failureLeaving { // the leaving member serves until the changes are committed, and stops in an extra last step
		steps = append(steps, steps[len(steps)-1])
	}
	for i, step := range steps {
		lost := r.lost
		if r.failure == failureLeaving && i < len(steps)-1 {
			lost = ""
		}
		row.tolerated = append(row.tolerated, step.tolerated(lost))
		for column, allLost := range map[string]string{secondLossColumns[0]: lost + "A", secondLossColumns[1]: lost + "B", secondLossColumns[2]: lost + "N", secondLossColumns[3]: "A"} {
			if !step.hasQuorum(allLost) {
				row.stepsWithoutQuorum[column] = append(row.stepsWithoutQuorum[column], i)
			}
		}
	}
	return row
}

// evaluatedRepair is a repairCase with the sequences of membership changes that are compared for it, and the one that
// membershipPlanner implements.
type evaluatedRepair struct {
	repairCase
	sequences []changeSequence
	chosen    changeSequence
}

// evaluatedRepairs lists the replacements or removals of lost group members that are compared in the table of second
// losses in docs/control.md.
var evaluatedRepairs = []evaluatedRepair{
	{repairCase{"ABX", "X", failureWiped, "N"}, []changeSequence{sequenceRemoveFirst, sequenceAddFirst, sequenceJoint, sequenceNone}, sequenceRemoveFirst},
	{repairCase{"ABX", "X", failureSilent, "N"}, []changeSequence{sequenceRemoveFirst, sequenceAddFirst, sequenceJoint, sequenceNone}, sequenceRemoveFirst},
	{repairCase{"ABX", "X", failureLeaving, "N"}, []changeSequence{sequenceRemoveFirst, sequenceAddFirst, sequenceJoint, sequenceNone}, sequenceAddFirst},
	{repairCase{"ABX", "X", failureSilent, ""}, []changeSequence{sequenceRemoveOnly, sequenceNone}, sequenceNone},
	{repairCase{"ABCDX", "X", failureWiped, "N"}, []changeSequence{sequenceRemoveFirst, sequenceAddFirst, sequenceJoint, sequenceNone}, sequenceRemoveFirst},
	{repairCase{"ABCDX", "X", failureSilent, "N"}, []changeSequence{sequenceRemoveFirst, sequenceAddFirst, sequenceJoint, sequenceNone}, sequenceRemoveFirst},
	{repairCase{"ABCDX", "X", failureLeaving, "N"}, []changeSequence{sequenceRemoveFirst, sequenceAddFirst, sequenceJoint, sequenceNone}, sequenceAddFirst},
	{repairCase{"ABCXY", "XY", failureWiped, "NM"}, []changeSequence{sequenceRemoveFirst, sequenceAddFirst, sequenceJoint, sequenceNone}, sequenceRemoveFirst},
	{repairCase{"ABCXY", "XY", failureWiped, ""}, []changeSequence{sequenceRemoveOnly, sequenceNone}, sequenceRemoveOnly},
	{repairCase{"ABCXY", "XY", failureSilent, "NM"}, []changeSequence{sequenceRemoveFirst, sequenceAddFirst, sequenceJoint, sequenceNone}, sequenceRemoveFirst},
	{repairCase{"ABCXY", "XY", failureSilent, ""}, []changeSequence{sequenceRemoveOnly, sequenceNone}, sequenceNone},
}

// secondLossTable returns the Markdown table of second losses that docs/control.md must contain: for each repair and
// sequence of membership changes, the further losses that the group tolerates at each step.
func secondLossTable() string {
	var b strings.Builder
	b.WriteString("| members | first loss | newcomers | order | losses tolerated, step by step | no quorum if then lost: " + strings.Join(secondLossColumns, " | ") + " |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, evaluated := range evaluatedRepairs {
		for _, sequence := range evaluated.sequences {
			row := evaluated.row(sequence)
			name := string(sequence)
			if sequence == evaluated.chosen {
				name = "**" + string(sequence) + "**"
			}
			var cells []string
			for _, column := range secondLossColumns {
				cells = append(cells, formatSteps(row.stepsWithoutQuorum[column]))
			}
			if evaluated.failure != failureSilent {
				cells[3] = "" // the first lost machine does not return with its disk
			}
			if evaluated.newcomer == "" {
				cells[2] = ""
			}
			fmt.Fprintf(&b, "| %d | %s: %s | %d | %s | %s | %s |\n", len(evaluated.members), evaluated.lost, evaluated.failure, len(evaluated.newcomer), name,
				strings.Trim(fmt.Sprint(row.tolerated), "[]"), strings.Join(cells, " | "))
		}
	}
	return b.String()
}

// formatSteps formats a list of step numbers of a repair for a cell of the table of second losses.
func formatSteps(steps []int) string {
	if len(steps) == 0 {
		return "never"
	}
	if steps[len(steps)-1]-steps[0] == len(steps)-1 && len(steps) > 1 {
		return fmt.Sprintf("steps %d to %d", steps[0], steps[len(steps)-1])
	}
	return "step " + strings.ReplaceAll(strings.Trim(fmt.Sprint(steps), "[]"), " ", ", ")
}

// docs/control.md contains the table that secondLossTable computes: how many further losses a group tolerates while lost
// members are replaced. With the sequences of membership changes that membershipPlanner implements, no step tolerates
// fewer losses than the group did before the repair. After the loss of a member, no step depends on its replacement
// for a quorum, as it would if the replacement were added first.
func TestSecondLossTableMatchesTheDocs(t *testing.T) {
	table := secondLossTable()
	page, err := os.ReadFile("../../../docs/control.md")
	if err != nil {
		t.Fatalf("read docs/control.md, which contains the table of second losses: %v", err)
	}
	if !strings.Contains(string(page), table) {
		t.Errorf("docs/control.md does not contain the table of second losses that secondLossTable computes:\n%s", table)
	}
	for _, evaluated := range evaluatedRepairs {
		row := evaluated.row(evaluated.chosen)
		if evaluated.chosen != sequenceNone && slices.Min(row.tolerated) < row.tolerated[0] {
			t.Errorf("repair %+v, sequence %q: numbers of further losses tolerated at each step are %v, want none lower than the first", evaluated.repairCase, evaluated.chosen, row.tolerated)
		}
		if evaluated.failure != failureLeaving && len(row.stepsWithoutQuorum[secondLossColumns[2]]) > 0 {
			t.Errorf("repair %+v, sequence %q: the quorum depends on the replacement machine at steps %v, want none", evaluated.repairCase, evaluated.chosen, row.stepsWithoutQuorum[secondLossColumns[2]])
		}
	}
	if len(evaluatedRepairs[0].row(sequenceAddFirst).stepsWithoutQuorum[secondLossColumns[2]]) == 0 {
		t.Error("no step of \"add, then remove\" depends on the replacement machine for a quorum, want at least one: the table of second losses must distinguish the sequences")
	}
}

// membershipPlanner proposes the membership changes of the sequence that evaluatedRepairs names for it, one at a time.
func TestPlannerTakesTheChosenSteps(t *testing.T) {
	for _, evaluated := range evaluatedRepairs {
		members := strings.Split(evaluated.members, "")
		var got []string
		for range 2 * len(evaluated.lost) {
			planner := membershipPlanner{self: "A/0", members: memberNames(members), peers: evaluated.peers(members), targetSize: len(evaluated.members),
				zoneOf: func(string) string { return "" }, isLeaving: func(name string) bool { return evaluated.failure == failureLeaving && name == "X/0" }}
			next := planner.next()
			if next == nil {
				break
			}
			members = members[:0:0]
			for _, name := range next {
				members = append(members, name[:1])
			}
			got = append(got, strings.Join(members, ""))
		}
		var want []string
		for i, step := range evaluated.steps(evaluated.chosen) {
			if i > 0 && i%2 == 0 {
				want = append(want, step.alternatives[0][0])
			}
		}
		if evaluated.failure == failureWiped && len(evaluated.lost) == 2 && evaluated.newcomer != "" {
			want = []string{"ABCY", "ABC", "ABCN", "ABCNM"} // both lost members are removed first, since neither can ever vote again
		}
		if fmt.Sprint(sortLetters(got)) != fmt.Sprint(sortLetters(want)) {
			t.Errorf("repair %+v: planner proposed the memberships %v, want %v", evaluated.repairCase, got, want)
		}
	}
}

// sortLetters returns the memberships with the letters of each one sorted.
func sortLetters(memberships []string) (sorted []string) {
	for _, members := range memberships {
		letters := strings.Split(members, "")
		slices.Sort(letters)
		sorted = append(sorted, strings.Join(letters, ""))
	}
	return sorted
}

// memberNames returns the names of the members' first incarnations.
func memberNames(members []string) (names []string) {
	for _, member := range members {
		names = append(names, member+"/0")
	}
	return names
}

// peers returns the status of the leader's peers. A member that lost its disk has a new incarnation at its address.
func (e evaluatedRepair) peers(members []string) (peers []consensus.PeerStatus) {
	for _, member := range members {
		peer := consensus.PeerStatus{Name: member + "/0", IsVoter: true, ContactAge: 1, Responded: true, CaughtUp: true}
		if strings.Contains(e.lost, member) && e.failure != failureLeaving {
			peer.ContactAge = replaceAfterTicks
		}
		if member != "A" {
			peers = append(peers, peer)
		}
	}
	for _, newcomer := range e.newcomer {
		if !slices.Contains(members, string(newcomer)) {
			peers = append(peers, consensus.PeerStatus{Name: string(newcomer) + "/0", ContactAge: 2, Responded: true, CaughtUp: true})
		}
	}
	if e.failure == failureWiped {
		for _, lost := range e.lost {
			peers = append(peers, consensus.PeerStatus{Name: string(lost) + "/7", ContactAge: 2, Responded: true})
		}
	}
	return peers
}
