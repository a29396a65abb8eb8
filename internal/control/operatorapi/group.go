package operatorapi

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// seat is how one core machine's control node answered.
type seat struct {
	node  *wire.Node
	stand *wire.ShardStatus
	tell  *wire.FollowResponse // its name, and the newest membership that it knows
}

// GetStatus looks at the whole site from here and says what is wrong, and what to do.
//
// Example: GET /v1/status
func (d *siteDesk) GetStatus(ctx context.Context) (*operator.Status, error) {
	f := &finder{list: []operator.StatusProblemsItem{}}
	s := &operator.Status{Parts: []operator.StatusPartsItem{}, Facts: []operator.StatusFactsItem{}}
	fact := func(name, format string, a ...any) {
		s.Facts = append(s.Facts, operator.StatusFactsItem{Name: name, Value: fmt.Sprintf(format, a...)})
	}
	view := d.view()
	for _, n := range view.Nodes {
		if n.State == clustermembership.Gone {
			book := "edge-gone"
			if n.Role != "runner" {
				book = "core-gone"
			}
			f.add("node-gone", n.Name, "no watcher hears it", "start it again, or take its machine out for good", book)
		}
	}
	owned := d.group(ctx, view, s, f, fact)
	d.index(view, f, fact)
	if owned { // else a read would wait for nothing
		d.documents(ctx, view, f, fact)
	}
	s.Problems, s.Ok = f.list, len(f.list) == 0
	return s, nil
}

// seats asks all control nodes at once how they stand, each for a short time.
func (d *siteDesk) seats(ctx context.Context, view clustermembership.View) []seat {
	ctx, end := context.WithTimeout(ctx, d.b.Heal(1.0/12))
	defer end()
	var l []seat
	var all sync.WaitGroup
	for _, n := range view.Role("archive") {
		l = append(l, seat{node: n})
	}
	for i := range l {
		x := &l[i]
		all.Go(func() {
			if t, err := d.calls.ControlNode(x.node.Addr).Stand(ctx, &wire.StatusRequest{}); err == nil && len(t.Shards) > 0 {
				x.stand = t.Shards[0]
			}
		})
		all.Go(func() {
			if t, err := d.calls.ControlNode(x.node.Addr).Follow(ctx, &wire.FollowRequest{}); err == nil {
				x.tell = t
			}
		})
	}
	all.Wait()
	slices.SortFunc(l, func(a, b seat) int { return strings.Compare(a.node.Name, b.node.Name) })
	return l
}

// group tells how the group stands, and whether one of those that answer owns it.
func (d *siteDesk) group(ctx context.Context, view clustermembership.View, s *operator.Status, f *finder, fact func(string, string, ...any)) (owned bool) {
	l := d.seats(ctx, view)
	var members []string
	var term, index uint64
	at, by := map[string]string{}, map[string]string{} // node by address, life by address
	heard := map[string]bool{}                         // by address
	for _, n := range view.Nodes {
		if n.Role == "archive" && (at[n.Addr] == "" || n.State != clustermembership.Gone) { // another may stand there now
			at[n.Addr] = n.Name
		}
	}
	for _, x := range l {
		heard[x.node.Addr] = true
		if t := x.tell; t != nil {
			by[x.node.Addr] = t.Member
			if members == nil || t.MembersTerm > term || t.MembersTerm == term && t.MembersIndex > index {
				members, term, index = t.Members, t.MembersTerm, t.MembersIndex
			}
		}
	}
	called := func(member string) string {
		if n := at[controlclient.Addr(member)]; n != "" {
			return n
		}
		return member
	}
	for _, x := range l {
		name := x.node.Name
		if x.stand == nil || x.tell == nil {
			f.add("core-silent", name, "it doesn't answer", "see whether it is cut off, frozen or stopped", "machine-cut")
			continue
		}
		p, st := x.stand, "follows"
		switch {
		case p.Failure != "":
			st = "out"
			f.add("member-out", name, p.Failure, errs.DiskBad.Remedy, "disk-full")
		case !slices.Contains(members, x.tell.Member):
			st = "learner"
		case p.IsLeader:
			st, owned = "owns", true
		}
		s.Parts = append(s.Parts, operator.StatusPartsItem{Member: name, Owner: called(p.Leader), State: st, Applied: int64(p.Applied),
			Last: int64(p.Last), StateBytes: int64(p.StateBytes), LogBytes: int64(p.LogBytes)})
	}
	var names []string
	for _, m := range members {
		life, answers := by[controlclient.Addr(m)]
		names = append(names, called(m))
		switch {
		case answers && life != m:
			f.add("member-blank", called(m), "it came back without its disk", "wait until it is taken in anew; else see that the others reach it", "disk-lost")
		case !answers && !heard[controlclient.Addr(m)]:
			f.add("member-gone", called(m), "a member whose machine isn't there", "start it again; else wait until a spare takes its place", "core-gone")
		}
	}
	fact("members", "%s", strings.Join(names, " "))
	if want := 2*d.site.Tolerate + 1; len(members) < want {
		f.add("members-few", "site", fmt.Sprintf("%d members: %d can bear what the site is to bear", len(members), want), "see that as many core machines run and reach each other", "core-gone")
	}
	if !owned {
		f.add("part-unowned", "site", "no core machine that answers owns the control state: nothing can be read or changed", "see that a majority of the members run and reach each other", "core-split")
	}
	return owned
}

// index tells which index nodes there are.
func (d *siteDesk) index(view clustermembership.View, f *finder, fact func(string, string, ...any)) {
	var serving []string
	for _, n := range promptindex.Serving(view.Nodes) {
		serving = append(serving, n.Name)
	}
	fact("index nodes", "%d, serving: %s", len(view.Role("catalogue")), strings.Join(serving, " "))
	if len(serving) == 0 {
		f.add("index-none", "site", "no index node is heard: requests go without what it knows", "start the index on the core machines", "core-gone")
	}
}

// documents tells what is in force.
func (d *siteDesk) documents(ctx context.Context, view clustermembership.View, f *finder, fact func(string, string, ...any)) {
	x, _, err := d.doc(ctx, d.key)
	if err != nil { // then nothing else can be read either
		f.add("plan-unknown", "site", err.Error(), errs.KindOf(err).Remedy, "core-split")
		return
	}
	if x == nil {
		f.add("no-setup", "site", "no plan is in force", "send one: desk setup apply --file …", "setup-wrong")
	} else {
		fact("plan", "version %d, %d bytes", x.Version, len(x.Body))
	}
	d.duties(ctx, view, f, fact)
}

// duties tells who does the site's duties, and how the workers stand.
func (d *siteDesk) duties(ctx context.Context, view clustermembership.View, f *finder, fact func(string, string, ...any)) {
	w, err := d.staff(ctx)
	if err != nil {
		f.add("workers-unknown", "site", err.Error(), errs.KindOf(err).Remedy, "core-split")
		return
	}
	held := false
	for _, l := range w.leases {
		m, _, _ := strings.Cut(l.Holder, "/")
		fact("duties of the "+l.Name, "%s, fence %d", l.Holder, l.Fence)
		for _, n := range view.Role("catalogue") {
			held = held || m != "" && n.Name == "catalogue/"+m && n.State == clustermembership.Alive
		}
	}
	if !held {
		f.add("duties-unheld", "site", "no machine that is heard does the site's duties", "see that an index process runs and reaches the members", "core-gone")
	}
	if w.version == 0 {
		f.add("workers-unknown", "site", "the list of workers hasn't been read yet", "see whether the platform's list answers", "core-gone")
	}
	states, old := map[string]int{}, map[string]int{}
	for _, x := range w.workers {
		states[w.state(x)]++
		if m := w.behind(x); m != "" && !x.Draining {
			old[m]++
		}
	}
	fact("workers", "%d: %d up, %d draining, %d set aside for new weights, %d behind the named weights", len(w.workers),
		states["up"], states["draining"], states["rolling"], states["behind"])
	for _, m := range queue.Keys(w.named) {
		fact("weights of "+m, "version %d named, %d workers behind", w.named[m], old[m])
	}
	for _, m := range queue.Keys(old) {
		f.add("older-weights", m, fmt.Sprintf("%d of %d workers aren't on the named weights %d yet", old[m], len(w.workers), w.named[m]),
			"wait for the roll-out; else see the log of the machine that does the duties", "weights-midday")
	}
}
