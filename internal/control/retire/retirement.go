// Package retire takes a base model out of use: every adapter that depends on it is loaded on the
// new base and answers on every node before the old base leaves any of them. All of it is pure; the
// holder of the service's duty carries it out.
package retire

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pebbleloom/internal/errs"
)

// The states of a retirement.
const (
	Planned  = "planned"
	Running  = "running"
	Paused   = "paused"
	Aborting = "aborting"
	Aborted  = "aborted"
	Done     = "done"
)

// The phases of one that runs, in order. From Drop on there is no going back.
const (
	LoadBase     = "load-base"     // the new base, where there is room
	LoadAdapters = "load-adapters" // the replacements on it
	Prove        = "prove"         // each node answers a real request under each of them
	Move         = "move"          // requests are led to them, share by share
	Drain        = "drain"         // what runs on the old base ends there
	Barrier      = "barrier"       // every node answers once more, after all that
	Drop         = "drop"          // the old base leaves the nodes, a few at once
	Finish       = "finish"        // the service is named by the new base
)

// The phases of one that is taken back.
const (
	Return = "return" // requests are led back
	Settle = "settle" // what runs on the new base ends there
	Clean  = "clean"  // the new base leaves the nodes
)

var phases = []string{LoadBase, LoadAdapters, Prove, Move, Drain, Barrier, Drop, Finish}

// Retirement is one base model's way out with how far it has come. It is one document of the control
// state, so whoever takes the duty over goes on exactly where the last one stopped.
type Retirement struct {
	Name    string            `json:"name"`
	Service string            `json:"service"`
	From    string            `json:"from"`
	To      string            `json:"to"`
	Replace map[string]string `json:"replace"`            // adapter -> the one that was built for the new base
	Shares  []int             `json:"shares,omitempty"`   // percent by percent, the last is 100
	SoakS   int               `json:"soak_s,omitempty"`   // how long each share is held
	AtOnce  int               `json:"at_once,omitempty"`  // how many nodes load or drop together; 0: 1
	AbortAt float64           `json:"abort_at,omitempty"` // abort when a larger share of attempts fails; 0: 0.2

	State  string            `json:"state"`
	Phase  string            `json:"phase,omitempty"`
	Why    string            `json:"why,omitempty"`
	Share  int               `json:"share"`            // index of the share in hand
	Doing  bool              `json:"doing,omitempty"`  // the change of the setup that the phase makes has begun
	Made   bool              `json:"made,omitempty"`   // and was acknowledged
	Before map[string]string `json:"before,omitempty"` // route -> what answered it
	Proofs map[string]Proof  `json:"proofs,omitempty"` // by node
	Clean  map[string]string `json:"clean,omitempty"`  // node -> the life that was told to drop the new base
	Going  []string          `json:"going,omitempty"`  // nodes that drop the old base now
	Nodes  int               `json:"nodes,omitempty"`
	Ready  int               `json:"ready,omitempty"` // nodes that hold nothing up
	Holds  []Hold            `json:"holds,omitempty"`
	Log    []string          `json:"log,omitempty"` // states and phases, oldest first
}

// Proof is that a node's life answered under every set of weights.
type Proof struct {
	Life  string `json:"life"`
	Set   string `json:"set"`
	Round int    `json:"round"` // 1: before requests were moved, 2: at the barrier
}

// Hold is who holds a retirement up, and what to do about it.
type Hold struct {
	Node   string `json:"node"`
	Why    string `json:"why"`
	Remedy string `json:"remedy"`
	Stuck  bool   `json:"stuck,omitempty"` // the system can't bring it along by itself
}

const (
	maxLog   = 64
	maxHolds = 16 // named; the others are counted by Nodes and Ready
)

// Key is the document that holds a retirement.
//
// Example: retire.Key("lector-main", "spring") == "retire/lector-main/spring"
func Key(service, name string) string { return "retire/" + service + "/" + name }

// Read decodes a retirement.
//
// Example: r, err := retire.Read(doc.Body)
func Read(body []byte) (*Retirement, error) {
	r := &Retirement{}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, errs.As(err, errs.BadInput, "retirement")
	}
	return r, nil
}

// Write encodes a retirement.
//
// Example: body, err := r.Write()
func (r *Retirement) Write() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errs.Wrap(err, "write retirement")
}

// Active tells whether a retirement still has a place among the service's plans.
//
// Example: if r.Active() { … }
func (r *Retirement) Active() bool { return r.State != Done && r.State != Aborted }

// Past tells whether the barrier is passed: the old base may have left a node.
//
// Example: if r.Past() { … }
func (r *Retirement) Past() bool { return r.Phase == Drop || r.Phase == Finish || r.State == Done }

// Check notes every fault of a new retirement that it shows by itself.
//
// Example: r.Check(&b)
func (r *Retirement) Check(b *errs.Batch) {
	bad := func(f, format string, a ...any) { b.Fault(errs.BadInput, "%s: %s", f, fmt.Sprintf(format, a...)) }
	for _, x := range [][2]string{{"name", r.Name}, {"service", r.Service}, {"from", r.From}, {"to", r.To}} {
		if v := x[1]; v == "" || len(v) > 64 || strings.ContainsAny(v, " /\x00\n") {
			bad(x[0], "%q: give a word of 1 to 64 letters without spaces or slashes", v)
		}
	}
	if r.From == r.To {
		bad("to", "%q is the base that is retired: name another", r.To)
	}
	last := 0
	for _, s := range r.Shares {
		if s <= last || s > 100 {
			bad("shares", "%v: give rising percents", r.Shares)
			break
		}
		last = s
	}
	if len(r.Shares) > 0 && last != 100 {
		bad("shares", "%v: end with 100", r.Shares)
	}
	if r.SoakS < 0 || r.SoakS > 86400 {
		bad("soak_s", "%d: give 0 to 86400", r.SoakS)
	}
	if r.AtOnce < 0 {
		bad("at_once", "%d: give 1 or more, or leave it out", r.AtOnce)
	}
	if r.AbortAt < 0 || r.AbortAt > 1 {
		bad("abort_at", "%g: give a share from 0 to 1", r.AbortAt)
	}
}

// Clash says which of the other retirements can't stand beside this one; both are named.
//
// Example: if err := r.Clash(others); err != nil { return err }
func (r *Retirement) Clash(others []*Retirement) error {
	for _, o := range others {
		if o.Name == r.Name && o.Service == r.Service || !o.Active() || !r.Active() {
			continue
		}
		for _, x := range []string{r.From, r.To} {
			if x == o.From || x == o.To {
				return errs.New(errs.Conflict, "retirement %q clashes with retirement %q (%s): both take base model %s: end or abort one first", r.Name, o.Name, o.State, x)
			}
		}
		if o.Service == r.Service {
			return errs.New(errs.Conflict, "retirement %q clashes with retirement %q (%s): both move service %s: end or abort one first", r.Name, o.Name, o.State, r.Service)
		}
	}
	return nil
}

// Ask is what an operator asks of a retirement: start, pause, resume or abort. Asked again it changes
// nothing. It changes the state alone; what follows from it is carried out by the duty's holder.
//
// Example: err := r.Ask("pause")
func (r *Retirement) Ask(verb string) error {
	switch {
	case verb == "start" && r.State == Planned:
		r.note(Running, LoadBase, "started by an operator")
	case verb == "start" && r.State == Running:
	case verb == "pause" && r.State == Running:
		r.note(Paused, r.Phase, "by an operator")
	case verb == "pause" && r.State == Paused:
	case verb == "resume" && r.State == Paused:
		r.note(Running, r.Phase, "")
	case verb == "resume" && r.State == Running:
	case verb == "abort" && r.Past():
		return errs.New(errs.Conflict, "retirement %q has passed its barrier: old weights may have gone: let it end, then retire %s in favour of %s", r.Name, r.To, r.From)
	case verb == "abort" && (r.State == Aborting || r.State == Aborted):
	case verb == "abort" && r.State == Planned:
		r.note(Aborted, "", "before it began")
	case verb == "abort":
		r.abort("by an operator")
	case verb == "start" || verb == "pause" || verb == "resume":
		return errs.New(errs.Conflict, "retirement %q is %s: %s doesn't go with that", r.Name, r.State, verb)
	default:
		return errs.New(errs.BadInput, "%q: give start, pause, resume or abort", verb)
	}
	return nil
}

// abort takes back what was done: requests first, if any may have been moved.
func (r *Retirement) abort(why string) {
	first := Settle
	if i := slices.Index(phases, r.Phase); i >= slices.Index(phases, Move) {
		first = Return
	}
	r.Doing, r.Made, r.Clean = false, false, nil
	r.note(Aborting, first, why)
}

// note goes to a state and a phase, and writes that into the history.
func (r *Retirement) note(state, phase, why string) {
	if r.State != state || r.Phase != phase {
		r.Log = append(r.Log, strings.TrimSpace(strings.TrimSuffix(state+" "+phase+": "+why, ": ")))
		r.Log = r.Log[max(0, len(r.Log)-maxLog):]
	}
	r.State, r.Phase, r.Why, r.Holds = state, phase, why, nil
}

func (r *Retirement) clone() *Retirement {
	c := *r
	c.Before, c.Proofs, c.Clean = maps.Clone(r.Before), maps.Clone(r.Proofs), maps.Clone(r.Clean)
	c.Going, c.Holds, c.Log = slices.Clone(r.Going), slices.Clone(r.Holds), slices.Clone(r.Log)
	return &c
}

func (r *Retirement) atOnce() int { return max(1, r.AtOnce) }

func (r *Retirement) shares() []int {
	if len(r.Shares) == 0 {
		return []int{10, 50, 100}
	}
	return r.Shares
}

// Progress tells how far it has come, for people.
//
// Example: fmt.Println(r.Progress())
func (r *Retirement) Progress() string {
	i := slices.Index(phases, r.Phase)
	switch {
	case r.State == Done:
		return "the old base is gone"
	case r.State == Aborted:
		return "as it was before"
	case r.State == Planned:
		return "not begun"
	case i < 0:
		return fmt.Sprintf("%s, %d of %d nodes as before", r.Phase, r.Ready, r.Nodes)
	}
	s := fmt.Sprintf("phase %d of %d (%s), %d of %d nodes ready", i+1, len(phases), r.Phase, r.Ready, r.Nodes)
	if l := r.shares(); r.Phase == Move && r.Share < len(l) {
		s += fmt.Sprintf(", share %d of %d: %d percent", r.Share+1, len(l), l[r.Share])
	}
	return s
}

// Stuck tells whether somebody holds it up whom the system can't bring along by itself.
//
// Example: if r.Stuck() { lookIntoIt() }
func (r *Retirement) Stuck() bool {
	return r.Active() && slices.ContainsFunc(r.Holds, func(h Hold) bool { return h.Stuck })
}
