package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
)

// Retired is the output of `retire status` and `retire history`.
type Retired struct {
	Retirements []*retire.Retirement `json:"retirements"`
	history     bool
}

func planRetirement(ctx context.Context, c *operator.Client, r *request, in io.Reader) (any, error) {
	b, err := read(r, in)
	if err != nil {
		return nil, err
	}
	return c.PlanRetirement(ctx, &operator.NewRetirement{Retirement: jx.Raw(b), Dry: operator.NewOptBool(r.dry)})
}

func askRetirement(verb operator.AskRetirementVerb) func(context.Context, *operator.Client, *request, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
		if err := need("service", r.service, "name", r.name); err != nil {
			return nil, err
		}
		return c.AskRetirement(ctx, operator.AskRetirementParams{Service: r.service, Name: r.name, Verb: verb})
	}
}

// listRetirements lists those of a service, or of a name, or all.
func listRetirements(history bool) func(context.Context, *operator.Client, *request, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
		l, err := c.ListRetirements(ctx)
		if err != nil {
			return nil, err
		}
		x := &Retired{Retirements: []*retire.Retirement{}, history: history}
		for _, raw := range l.Retirements {
			y, err := retire.Read(raw)
			if err != nil {
				return nil, err
			}
			if (r.service == "" || y.Service == r.service) && (r.name == "" || y.Name == r.name) {
				x.Retirements = append(x.Retirements, y)
			}
		}
		if r.name != "" && len(x.Retirements) == 0 {
			return nil, errs.New(errs.NotFound, "no retirement %q: pebblectl retire status lists all", r.name)
		}
		return x, nil
	}
}

// Wrong reports whether a retirement needs an operator: it is paused, or blocked by a node that the
// system can't fix by itself.
//
// Example: if x.Wrong() { return 1 }
func (x *Retired) Wrong() bool {
	for _, r := range x.Retirements {
		if r.State == retire.StatePaused || r.NeedsOperator() {
			return !x.history
		}
	}
	return false
}

func formatRetirements(w io.Writer, x *Retired) {
	if x.history {
		for _, r := range x.Retirements {
			for _, l := range r.History {
				fmt.Fprintf(w, "%s\t%s\t%s\n", r.Service, r.Name, l)
			}
		}
		return
	}
	fmt.Fprintf(w, "SERVICE\tNAME\tFROM\tTO\tSTATE\tPROGRESS\tWHY\n")
	for _, r := range x.Retirements {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Service, r.Name, r.OldBase, r.NewBase, r.State, r.Progress(), r.Reason)
		for _, h := range r.Blockers {
			fmt.Fprintf(w, "\theld by %s:\t%s\n\tdo:\t%s\n", h.Node, h.Reason, h.Remedy)
		}
	}
}

// retirements are the rows that a runbook checks; held reports whether one needs an operator.
func (w *nodeWorld) retirements(ctx context.Context) ([]map[string]string, error) {
	m, err := w.c.ListRetirements(ctx)
	if err != nil {
		return nil, typedError(err, "")
	}
	var l []map[string]string
	for _, raw := range m.Retirements {
		r, err := retire.Read(raw)
		if err != nil {
			return nil, err
		}
		l = append(l, map[string]string{"name": r.Name, "service": r.Service, "state": string(r.State), "phase": string(r.Phase), "held": fmt.Sprint(r.NeedsOperator())})
	}
	return l, nil
}
