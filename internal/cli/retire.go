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

// RetirementList is the output of `pebblectl retire status` and `pebblectl retire history`.
type RetirementList struct {
	Retirements []*retire.Retirement `json:"retirements"`
	history     bool
}

func planRetirement(ctx context.Context, c *operator.Client, inv *invocation, in io.Reader) (any, error) {
	b, err := readFile(inv, in)
	if err != nil {
		return nil, err
	}
	return c.PlanRetirement(ctx, &operator.NewRetirement{Retirement: jx.Raw(b), Dry: operator.NewOptBool(inv.dryRun)})
}

func controlRetirement(verb operator.AskRetirementVerb) func(context.Context, *operator.Client, *invocation, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
		if err := requireFlags("service", inv.service, "name", inv.name); err != nil {
			return nil, err
		}
		return c.AskRetirement(ctx, operator.AskRetirementParams{Service: inv.service, Name: inv.name, Verb: verb})
	}
}

// listRetirements lists the retirements of base models, optionally only those of a service or with a name.
func listRetirements(history bool) func(context.Context, *operator.Client, *invocation, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
		response, err := c.ListRetirements(ctx)
		if err != nil {
			return nil, err
		}
		list := &RetirementList{Retirements: []*retire.Retirement{}, history: history}
		for _, raw := range response.Retirements {
			retirement, err := retire.Read(raw)
			if err != nil {
				return nil, err
			}
			if (inv.service == "" || retirement.Service == inv.service) && (inv.name == "" || retirement.Name == inv.name) {
				list.Retirements = append(list.Retirements, retirement)
			}
		}
		if inv.name != "" && len(list.Retirements) == 0 {
			return nil, errs.New(errs.NotFound, "no retirement with name %q: pebblectl retire status lists all", inv.name)
		}
		return list, nil
	}
}

// NeedsAttention reports whether the list is a status in which a retirement is paused or blocked by a node
// that only an operator can repair.
//
// Example: if list.NeedsAttention() { return 1 }
func (l *RetirementList) NeedsAttention() bool {
	for _, r := range l.Retirements {
		if r.State == retire.StatePaused || r.NeedsOperator() {
			return !l.history
		}
	}
	return false
}

func formatRetirements(out io.Writer, list *RetirementList) {
	if list.history {
		for _, r := range list.Retirements {
			for _, transition := range r.History {
				fmt.Fprintf(out, "%s\t%s\t%s\n", r.Service, r.Name, transition)
			}
		}
		return
	}
	fmt.Fprintf(out, "SERVICE\tNAME\tFROM\tTO\tSTATE\tPROGRESS\tREASON\n")
	for _, r := range list.Retirements {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Service, r.Name, r.OldBase, r.NewBase, r.State, r.Progress(), r.Reason)
		for _, blocker := range r.Blockers {
			fmt.Fprintf(out, "\tblocked by %s:\t%s\n\tremedy:\t%s\n", blocker.Node, blocker.Reason, blocker.Remedy)
		}
	}
}

// retirementRows returns the rows of the view retirements for runbooks; the field held is true if a retirement is
// blocked until an operator acts.
func (env *nodeEnvironment) retirementRows(ctx context.Context) ([]map[string]string, error) {
	list, err := env.client.ListRetirements(ctx)
	if err != nil {
		return nil, typedError(err, "")
	}
	var rows []map[string]string
	for _, raw := range list.Retirements {
		r, err := retire.Read(raw)
		if err != nil {
			return nil, err
		}
		rows = append(rows, map[string]string{"name": r.Name, "service": r.Service, "state": string(r.State), "phase": string(r.Phase), "held": fmt.Sprint(r.NeedsOperator())})
	}
	return rows, nil
}
