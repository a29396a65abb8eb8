package controlstate

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"pebbleloom/internal/control/consensus"
)

// repairCase is a group with a member to be replaced: A leads, X (and Y) are the first loss, N (and M) are
// the newcomers, the other letters are followers.
type repairCase struct {
	members  string // one letter each
	lost     string // X, or XY
	failure  string // how: failureWiped, failureSilent or failureLeaving
	newcomer string // N, NM, or none
}

const (
	failureWiped   = "disk lost"
	failureSilent  = "silent, disk kept"
	failureLeaving = "leaves in order"
)

// The orders that were weighed.
const (
	orderRemoveFirst = "remove, then add"
	orderAddFirst    = "add, then remove"
	orderJoint       = "joint change"
	orderRemoveOnly  = "remove, nobody to add"
	orderNone        = "no change"
)

// repairStep is one state of a repair: the memberships that may be the newest in the log of whoever
// leads next, and, in a joint change, those whose majorities are needed together.
type repairStep struct{ memberships [][]string }

// steps are the states of a repair, before, in flight and committed, change by change.
func (r repairCase) steps(order string) (steps []repairStep) {
	now := r.members
	steps = append(steps, repairStep{[][]string{{now}}})
	change := func(to string) {
		steps = append(steps, repairStep{[][]string{{now}, {to}}}, repairStep{[][]string{{to}}})
		now = to
	}
	for i, x := range strings.Split(r.lost, "") {
		newcomer := ""
		if i < len(r.newcomer) {
			newcomer = r.newcomer[i : i+1]
		}
		switch order {
		case orderRemoveFirst:
			change(strings.Replace(now, x, "", 1))
			change(now + newcomer)
		case orderAddFirst:
			change(now + newcomer)
			change(strings.Replace(now, x, "", 1))
		case orderRemoveOnly:
			change(strings.Replace(now, x, "", 1))
		case orderJoint:
			to := strings.Replace(now, x, "", 1) + newcomer
			steps = append(steps, repairStep{[][]string{{now}, {now, to}}}, repairStep{[][]string{{now, to}}},
				repairStep{[][]string{{now, to}, {to}}}, repairStep{[][]string{{to}}})
			now = to
		}
	}
	return steps
}

// hasQuorum reports whether the group can go on without those that are lost, whichever of the
// memberships that are in flight the next leader's log holds.
func (step repairStep) hasQuorum(lost string) bool {
	for _, together := range step.memberships {
		for _, members := range together {
			alive := 0
			for _, m := range members {
				if !strings.ContainsRune(lost, m) {
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

// tolerated is how many machines more may be lost, whichever they are.
func (step repairStep) tolerated(lost string) int {
	all := map[rune]bool{}
	for _, together := range step.memberships {
		for _, members := range together {
			for _, m := range members {
				all[m] = !strings.ContainsRune(lost, m)
			}
		}
	}
	var alive []rune
	for m, is := range all {
		if is {
			alive = append(alive, m)
		}
	}
	if !step.hasQuorum(lost) {
		return -1
	}
	for k := 1; ; k++ {
		if !everySubset(alive, k, lost, step.hasQuorum) {
			return k - 1
		}
	}
}

// everySubset reports whether a test holds with any k of the alive added to the lost.
func everySubset(alive []rune, k int, lost string, holds func(lost string) bool) bool {
	if k == 0 {
		return holds(lost)
	}
	if len(alive) < k {
		return true // there is no such subset
	}
	return everySubset(alive[1:], k-1, lost+string(alive[0]), holds) && everySubset(alive[1:], k, lost, holds)
}

// repairRow is how a repair stands at each of its steps, as the page has it.
type repairRow struct {
	tolerated          []int
	stepsWithoutQuorum map[string][]int // by second loss: the steps without a quorum
}

var secondLossColumns = []string{"the leader", "a follower", "the newcomer", "the leader, the first one back"}

func (r repairCase) row(order string) repairRow {
	row := repairRow{stepsWithoutQuorum: map[string][]int{}}
	steps := r.steps(order)
	if r.failure == failureLeaving { // it is there until the change is done, then it stops
		steps = append(steps, steps[len(steps)-1])
	}
	for i, step := range steps {
		lost := r.lost
		if r.failure == failureLeaving && i < len(steps)-1 {
			lost = ""
		}
		row.tolerated = append(row.tolerated, step.tolerated(lost))
		for column, hit := range map[string]string{secondLossColumns[0]: lost + "A", secondLossColumns[1]: lost + "B", secondLossColumns[2]: lost + "N", secondLossColumns[3]: "A"} {
			if !step.hasQuorum(hit) {
				row.stepsWithoutQuorum[column] = append(row.stepsWithoutQuorum[column], i)
			}
		}
	}
	return row
}

type evaluatedRepair struct {
	repairCase
	orders      []string
	chosenOrder string
}

var evaluatedRepairs = []evaluatedRepair{
	{repairCase{"ABX", "X", failureWiped, "N"}, []string{orderRemoveFirst, orderAddFirst, orderJoint, orderNone}, orderRemoveFirst},
	{repairCase{"ABX", "X", failureSilent, "N"}, []string{orderRemoveFirst, orderAddFirst, orderJoint, orderNone}, orderRemoveFirst},
	{repairCase{"ABX", "X", failureLeaving, "N"}, []string{orderRemoveFirst, orderAddFirst, orderJoint, orderNone}, orderAddFirst},
	{repairCase{"ABX", "X", failureSilent, ""}, []string{orderRemoveOnly, orderNone}, orderNone},
	{repairCase{"ABCDX", "X", failureWiped, "N"}, []string{orderRemoveFirst, orderAddFirst, orderJoint, orderNone}, orderRemoveFirst},
	{repairCase{"ABCDX", "X", failureSilent, "N"}, []string{orderRemoveFirst, orderAddFirst, orderJoint, orderNone}, orderRemoveFirst},
	{repairCase{"ABCDX", "X", failureLeaving, "N"}, []string{orderRemoveFirst, orderAddFirst, orderJoint, orderNone}, orderAddFirst},
	{repairCase{"ABCXY", "XY", failureWiped, "NM"}, []string{orderRemoveFirst, orderAddFirst, orderJoint, orderNone}, orderRemoveFirst},
	{repairCase{"ABCXY", "XY", failureWiped, ""}, []string{orderRemoveOnly, orderNone}, orderRemoveOnly},
	{repairCase{"ABCXY", "XY", failureSilent, "NM"}, []string{orderRemoveFirst, orderAddFirst, orderJoint, orderNone}, orderRemoveFirst},
	{repairCase{"ABCXY", "XY", failureSilent, ""}, []string{orderRemoveOnly, orderNone}, orderNone},
}

// secondLossTable is the table of the page.
func secondLossTable() string {
	var b strings.Builder
	b.WriteString("| members | first loss | newcomers | order | losses tolerated, step by step | no quorum if then lost: " + strings.Join(secondLossColumns, " | ") + " |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, evaluated := range evaluatedRepairs {
		for _, order := range evaluated.orders {
			row := evaluated.row(order)
			name := order
			if order == evaluated.chosenOrder {
				name = "**" + order + "**"
			}
			var cells []string
			for _, c := range secondLossColumns {
				cells = append(cells, formatSteps(row.stepsWithoutQuorum[c]))
			}
			if evaluated.failure != failureSilent {
				cells[3] = "" // it doesn't come back
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

func formatSteps(steps []int) string {
	if len(steps) == 0 {
		return "never"
	}
	if steps[len(steps)-1]-steps[0] == len(steps)-1 && len(steps) > 1 {
		return fmt.Sprintf("steps %d to %d", steps[0], steps[len(steps)-1])
	}
	return "step " + strings.ReplaceAll(strings.Trim(fmt.Sprint(steps), "[]"), " ", ", ")
}

// The page holds the table as it is computed here; and what was chosen by it holds: no step tolerates
// less than there was tolerated before the repair, and for a member that is gone no step needs the
// newcomer, which add-first does.
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
		row := evaluated.row(evaluated.chosenOrder)
		if evaluated.chosenOrder != orderNone && slices.Min(row.tolerated) < row.tolerated[0] {
			t.Errorf("%+v, %s: %v are tolerated step by step", evaluated.repairCase, evaluated.chosenOrder, row.tolerated)
		}
		if evaluated.failure != failureLeaving && len(row.stepsWithoutQuorum[secondLossColumns[2]]) > 0 {
			t.Errorf("%+v, %s: the newcomer is needed at %v", evaluated.repairCase, evaluated.chosenOrder, row.stepsWithoutQuorum[secondLossColumns[2]])
		}
	}
	if len(evaluatedRepairs[0].row(orderAddFirst).stepsWithoutQuorum[secondLossColumns[2]]) == 0 {
		t.Error("add-first doesn't need the newcomer: the table can't say the orders apart")
	}
}

// The policy takes the steps that were chosen, from any of them on, whatever was done before.
func TestPlannerTakesTheChosenSteps(t *testing.T) {
	for _, evaluated := range evaluatedRepairs {
		members := strings.Split(evaluated.members, "")
		var got []string
		for range 2 * len(evaluated.lost) {
			planner := membershipPlanner{self: "A/0", members: memberNames(members), peers: evaluated.peers(members), targetSize: len(evaluated.members),
				zoneOf: func(string) string { return "" }, isLeaving: func(m string) bool { return evaluated.failure == failureLeaving && m == "X/0" }}
			next := planner.next()
			if next == nil {
				break
			}
			members = members[:0:0]
			for _, m := range next {
				members = append(members, m[:1])
			}
			got = append(got, strings.Join(members, ""))
		}
		var want []string
		for i, step := range evaluated.steps(evaluated.chosenOrder) {
			if i > 0 && i%2 == 0 {
				want = append(want, step.memberships[0][0])
			}
		}
		if evaluated.failure == failureWiped && len(evaluated.lost) == 2 && evaluated.newcomer != "" {
			want = []string{"ABCY", "ABC", "ABCN", "ABCNM"} // both at once: neither can ever vote
		}
		if fmt.Sprint(sortLetters(got)) != fmt.Sprint(sortLetters(want)) {
			t.Errorf("%+v: the policy's steps are %v, chosen are %v", evaluated.repairCase, got, want)
		}
	}
}

func sortLetters(l []string) (out []string) {
	for _, s := range l {
		x := strings.Split(s, "")
		slices.Sort(x)
		out = append(out, strings.Join(x, ""))
	}
	return out
}

func memberNames(members []string) (l []string) {
	for _, m := range members {
		l = append(l, m+"/0")
	}
	return l
}

// peers is how the leader sees the group: a wiped member's successor is at its address.
func (e evaluatedRepair) peers(members []string) (peers []consensus.PeerStatus) {
	for _, m := range members {
		peer := consensus.PeerStatus{Name: m + "/0", IsVoter: true, ContactAge: 1, Responded: true, CaughtUp: true}
		if strings.Contains(e.lost, m) && e.failure != failureLeaving {
			peer.ContactAge = replaceAfterTicks
		}
		if m != "A" {
			peers = append(peers, peer)
		}
	}
	for _, m := range e.newcomer {
		if !slices.Contains(members, string(m)) {
			peers = append(peers, consensus.PeerStatus{Name: string(m) + "/0", ContactAge: 2, Responded: true, CaughtUp: true})
		}
	}
	if e.failure == failureWiped {
		for _, m := range e.lost {
			peers = append(peers, consensus.PeerStatus{Name: string(m) + "/7", ContactAge: 2, Responded: true})
		}
	}
	return peers
}
