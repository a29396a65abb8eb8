package controlstate

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pebbleloom/internal/control/consensus"
)

// repairCase is a group with a member to be replaced. A leads, X (and Y) are lost first, N (and M) are the
// newcomers, the other letters are followers.
type repairCase struct {
	members  string // one letter each
	lost     string // X, or XY
	failure  repairFailure
	newcomer string // N, NM, or none
}

// repairFailure is how members are lost, in the words of docs/control.md.
type repairFailure string

// Failures of members.
const (
	failureWiped   repairFailure = "disk lost"
	failureSilent  repairFailure = "silent, disk kept"
	failureLeaving repairFailure = "leaves in order"
)

// changeSequence is the order in which a repair changes the membership, in the words of docs/control.md.
type changeSequence string

// Sequences of changes that were compared.
const (
	sequenceRemoveFirst changeSequence = "remove, then add"
	sequenceAddFirst    changeSequence = "add, then remove"
	sequenceJoint       changeSequence = "joint change"
	sequenceRemoveOnly  changeSequence = "remove, nobody to add"
	sequenceNone        changeSequence = "no change"
)

// repairStep is one state of a repair: the alternatives that may be the newest in the log of the next leader,
// and for each of them the memberships whose quorums are needed (two in a joint change).
type repairStep struct{ memberships [][]string }

// steps are the states of a repair, before, in flight and committed, change by change.
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

// hasQuorum reports whether the group has a quorum without those that are lost, whichever of the alternatives
// the next leader's log holds.
func (s repairStep) hasQuorum(lost string) bool {
	for _, together := range s.memberships {
		for _, members := range together {
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

// tolerated is how many more machines may be lost, whichever they are; -1: there is no quorum.
func (s repairStep) tolerated(lost string) int {
	isAlive := map[rune]bool{}
	for _, together := range s.memberships {
		for _, members := range together {
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

// everySubset reports whether a condition holds with any so many of the alive added to the lost.
func everySubset(alive []rune, count int, lost string, holds func(lost string) bool) bool {
	if count == 0 {
		return holds(lost)
	}
	if len(alive) < count {
		return true // there is no such subset
	}
	return everySubset(alive[1:], count-1, lost+string(alive[0]), holds) && everySubset(alive[1:], count, lost, holds)
}

// repairRow is a row of the table: what each step of a repair tolerates.
type repairRow struct {
	tolerated          []int
	stepsWithoutQuorum map[string][]int // by second loss: the steps without a quorum
}

// secondLossColumns are the machines that may be lost next.
var secondLossColumns = []string{"the leader", "a follower", "the newcomer", "the leader, the first one back"}

// row evaluates each step of a sequence.
func (r repairCase) row(sequence changeSequence) repairRow {
	row := repairRow{stepsWithoutQuorum: map[string][]int{}}
	steps := r.steps(sequence)
	if r.failure == failureLeaving { // it serves until the changes are made, then it stops
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

// evaluatedRepair is a repair with the sequences of changes that were compared, and the chosen one.
type evaluatedRepair struct {
	repairCase
	sequences []changeSequence
	chosen    changeSequence
}

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

// secondLossTable is the table of docs/control.md.
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
				cells[3] = "" // it doesn't return
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

// formatSteps is a list of steps in words.
func formatSteps(steps []int) string {
	if len(steps) == 0 {
		return "never"
	}
	if steps[len(steps)-1]-steps[0] == len(steps)-1 && len(steps) > 1 {
		return fmt.Sprintf("steps %d to %d", steps[0], steps[len(steps)-1])
	}
	return "step " + strings.ReplaceAll(strings.Trim(fmt.Sprint(steps), "[]"), " ", ", ")
}

// docs/control.md holds the table as it is computed here. For the chosen sequences no step tolerates less than
// was tolerated before the repair, and for a lost member no step needs the newcomer, as add-first does.
func TestSecondLossTableMatchesTheDocs(t *testing.T) {
	table := secondLossTable()
	page, err := os.ReadFile("../../../docs/control.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), table) {
		t.Errorf("docs/control.md lacks this table:\n%s", table)
	}
	for _, evaluated := range evaluatedRepairs {
		row := evaluated.row(evaluated.chosen)
		if evaluated.chosen != sequenceNone && slices.Min(row.tolerated) < row.tolerated[0] {
			t.Errorf("%+v, %s: %v are tolerated step by step", evaluated.repairCase, evaluated.chosen, row.tolerated)
		}
		if evaluated.failure != failureLeaving && len(row.stepsWithoutQuorum[secondLossColumns[2]]) > 0 {
			t.Errorf("%+v, %s: the newcomer is needed at %v", evaluated.repairCase, evaluated.chosen, row.stepsWithoutQuorum[secondLossColumns[2]])
		}
	}
	if len(evaluatedRepairs[0].row(sequenceAddFirst).stepsWithoutQuorum[secondLossColumns[2]]) == 0 {
		t.Error("add-first doesn't need the newcomer: the table doesn't distinguish the sequences")
	}
}

// The planner makes the changes of the chosen sequence, from any step on.
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
				want = append(want, step.memberships[0][0])
			}
		}
		if evaluated.failure == failureWiped && len(evaluated.lost) == 2 && evaluated.newcomer != "" {
			want = []string{"ABCY", "ABC", "ABCN", "ABCNM"} // both are removed first: neither can ever vote again
		}
		if fmt.Sprint(sortLetters(got)) != fmt.Sprint(sortLetters(want)) {
			t.Errorf("%+v: the planner's steps are %v, chosen are %v", evaluated.repairCase, got, want)
		}
	}
}

// sortLetters sorts the letters of each membership.
func sortLetters(memberships []string) (sorted []string) {
	for _, members := range memberships {
		letters := strings.Split(members, "")
		slices.Sort(letters)
		sorted = append(sorted, strings.Join(letters, ""))
	}
	return sorted
}

// memberNames are the names of first incarnations.
func memberNames(members []string) (names []string) {
	for _, member := range members {
		names = append(names, member+"/0")
	}
	return names
}

// peers is what the leader sees of its peers; the new incarnation of a wiped member is at its address.
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
