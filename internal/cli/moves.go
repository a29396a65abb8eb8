package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/errs"
)

func listMoves(ctx context.Context, c *operator.Client, _ *invocation, _ io.Reader) (any, error) {
	return c.ListMoves(ctx)
}

func writeMove(dry bool) func(context.Context, *operator.Client, *invocation, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, inv *invocation, in io.Reader) (any, error) {
		b, err := readFile(inv, in)
		if err != nil {
			return nil, err
		}
		return c.WriteMove(ctx, &operator.NewMove{Move: jx.Raw(b), Dry: operator.NewOptBool(dry)})
	}
}

func controlMove(verb operator.AskMoveVerb) func(context.Context, *operator.Client, *invocation, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
		if err := requireFlags("service", inv.service, "name", inv.name); err != nil {
			return nil, err
		}
		return c.AskMove(ctx, operator.AskMoveParams{Service: inv.service, Name: inv.name, Verb: verb})
	}
}

func formatMoves(out io.Writer, list *operator.Moves) {
	fmt.Fprintf(out, "SERVICE\tNAME\tKIND\tSTATE\tSTEP\tREASON\n")
	for _, move := range list.Moves {
		entry, err := calendar.Decode(move)
		if err != nil {
			fmt.Fprintf(out, "?\t?\t?\t?\t?\t%s\n", errs.Text(err))
			continue
		}
		step := fmt.Sprintf("%d of %d", entry.CurrentStep, len(entry.Steps))
		if entry.CurrentStep < len(entry.Steps) {
			current := entry.Steps[entry.CurrentStep]
			step += ": " + string(current.Kind) + " " + strings.Join(current.Workers, " ")
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n", entry.Service, entry.Name, entry.Kind, entry.State, step, entry.Reason)
	}
}
