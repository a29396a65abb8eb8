// Package retire takes a base model out of use: every adapter that depends on it is loaded on the
// new base and answers on every node before the old base leaves any of them. All of it is pure; the
// holder of the service's lease carries it out.
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

// Retirement is the removal of one base model, with its progress. It is one document of the control
// state, so the next holder of the lease resumes exactly where the last one stopped.
type Retirement struct {
	Name    string            `json:"name"`
	Service string            `json:"service"`
	From    string            `json:"from"`
	To      string            `json:"to"`
	Replace map[string]string `json:"replace"`            // adapter -> the one that was built for the new base
	Shares  []int             `json:"shares,omitempty"`   // rising percents; the last is 100
	SoakS   int               `json:"soak_s,omitempty"`   // how long each share is held
	AtOnce  int               `json:"at_once,omitempty"`  // how many nodes load or drop together; 0: 1
	AbortAt float64           `json:"abort_at,omitempty"` // abort when a larger share of attempts fails; 0: 0.2

	State         string            `json:"state"`
	Phase         string            `json:"phase,omitempty"`
	Why           string            `json:"why,omitempty"`
	Share         int               `json:"share"`            // index of the current share
	ChangeStarted bool              `json:"doing,omitempty"`  // the phase's change of the service configuration was started
	ChangeAcked   bool              `json:"made,omitempty"`   // and acknowledged
	PreviousUse   map[string]string `json:"before,omitempty"` // route -> the model or adapter that answered it
	Proofs        map[string]Proof  `json:"proofs,omitempty"` // by node
	Unloaded      map[string]string `json:"clean,omitempty"`  // node -> the incarnation that unloaded the new base
	Dropping      []string          `json:"going,omitempty"`  // nodes that are unloading the old base
	Nodes         int               `json:"nodes,omitempty"`
	Ready         int               `json:"ready,omitempty"` // nodes that block nothing
	Blockers      []Blocker         `json:"holds,omitempty"`
	Log           []string          `json:"log,omitempty"` // states and phases, oldest first
}

// Proof records that a node's incarnation answered under every set of weights.
type Proof struct {
	Incarnation string `json:"life"`
	Set         string `json:"set"`
	Round       int    `json:"round"` // 1: before requests were moved, 2: at the barrier
}

// Blocker is a node that blocks a retirement, why, and the remedy.
type Blocker struct {
	Node   string `json:"node"`
	Why    string `json:"why"`
	Remedy string `json:"remedy"`
	Stuck  bool   `json:"stuck,omitempty"` // the system can't resolve it by itself
}

const (
	maxLog      = 64
	maxBlockers = 16 // listed; the others are counted by Nodes and Ready
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

// Active reports whether a retirement hasn't ended.
//
// Example: if r.Active() { … }
func (r *Retirement) Active() bool { return r.State != Done && r.State != Aborted }

// PastBarrier reports whether the barrier is passed: the old base may have left a node.
//
// Example: if r.PastBarrier() { … }
func (r *Retirement) PastBarrier() bool {
	return r.Phase == Drop || r.Phase == Finish || r.State == Done
}

// Check notes every fault of a new retirement that shows without the service configuration.
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

// ConflictWith returns a conflict with another active retirement; both are named.
//
// Example: if err := r.ConflictWith(others); err != nil { return err }
func (r *Retirement) ConflictWith(others []*Retirement) error {
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

// Request applies an operator's verb: start, pause, resume or abort. Repeating it changes nothing. It
// changes the state alone; the lease's holder carries out what follows from it.
//
// Example: err := r.Request("pause")
func (r *Retirement) Request(verb string) error {
	switch {
	case verb == "start" && r.State == Planned:
		r.transition(Running, LoadBase, "started by an operator")
	case verb == "start" && r.State == Running:
	case verb == "pause" && r.State == Running:
		r.transition(Paused, r.Phase, "by an operator")
	case verb == "pause" && r.State == Paused:
	case verb == "resume" && r.State == Paused:
		r.transition(Running, r.Phase, "")
	case verb == "resume" && r.State == Running:
	case verb == "abort" && r.PastBarrier():
		return errs.New(errs.Conflict, "retirement %q has passed its barrier: old weights may have gone: let it end, then retire %s in favour of %s", r.Name, r.To, r.From)
	case verb == "abort" && (r.State == Aborting || r.State == Aborted):
	case verb == "abort" && r.State == Planned:
		r.transition(Aborted, "", "before it began")
	case verb == "abort":
		r.abort("by an operator")
	case verb == "start" || verb == "pause" || verb == "resume":
		return errs.New(errs.Conflict, "retirement %q is %s: %s doesn't go with that", r.Name, r.State, verb)
	default:
		return errs.New(errs.BadInput, "%q: give start, pause, resume or abort", verb)
	}
	return nil
}

// abort starts to revert what was done: routes first, if any may have been moved.
func (r *Retirement) abort(why string) {
	first := Settle
	if i := slices.Index(phases, r.Phase); i >= slices.Index(phases, Move) {
		first = Return
	}
	r.ChangeStarted, r.ChangeAcked, r.Unloaded = false, false, nil
	r.transition(Aborting, first, why)
}

// transition enters a state and a phase, and appends them to the history.
func (r *Retirement) transition(state, phase, why string) {
	if r.State != state || r.Phase != phase {
		r.Log = append(r.Log, strings.TrimSpace(strings.TrimSuffix(state+" "+phase+": "+why, ": ")))
		r.Log = r.Log[max(0, len(r.Log)-maxLog):]
	}
	r.State, r.Phase, r.Why, r.Blockers = state, phase, why, nil
}

func (r *Retirement) clone() *Retirement {
	c := *r
	c.PreviousUse, c.Proofs, c.Unloaded = maps.Clone(r.PreviousUse), maps.Clone(r.Proofs), maps.Clone(r.Unloaded)
	c.Dropping, c.Blockers, c.Log = slices.Clone(r.Dropping), slices.Clone(r.Blockers), slices.Clone(r.Log)
	return &c
}

func (r *Retirement) atOnce() int { return max(1, r.AtOnce) }

func (r *Retirement) shares() []int {
	if len(r.Shares) == 0 {
		return []int{10, 50, 100}
	}
	return r.Shares
}

// Progress describes how far it has come, for people.
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

// Stuck reports whether a blocker needs an operator.
//
// Example: if r.Stuck() { lookIntoIt() }
func (r *Retirement) Stuck() bool {
	return r.Active() && slices.ContainsFunc(r.Blockers, func(h Blocker) bool { return h.Stuck })
}
