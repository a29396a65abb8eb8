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

func listMoves(ctx context.Context, c *operator.Client, _ *request, _ io.Reader) (any, error) {
	return c.ListMoves(ctx)
}

func writeMove(dry bool) func(context.Context, *operator.Client, *request, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, r *request, in io.Reader) (any, error) {
		b, err := read(r, in)
		if err != nil {
			return nil, err
		}
		return c.WriteMove(ctx, &operator.NewMove{Move: jx.Raw(b), Dry: operator.NewOptBool(dry)})
	}
}

func askMove(verb operator.AskMoveVerb) func(context.Context, *operator.Client, *request, io.Reader) (any, error) {
	return func(ctx context.Context, c *operator.Client, r *request, _ io.Reader) (any, error) {
		if err := need("service", r.service, "name", r.name); err != nil {
			return nil, err
		}
		return c.AskMove(ctx, operator.AskMoveParams{Service: r.service, Name: r.name, Verb: verb})
	}
}

func formatMoves(w io.Writer, l *operator.Moves) {
	fmt.Fprintf(w, "SERVICE\tNAME\tKIND\tSTATE\tSTEP\tWHY\n")
	for _, m := range l.Moves {
		e, err := calendar.Decode(m)
		if err != nil {
			fmt.Fprintf(w, "?\t?\t?\t?\t?\t%s\n", errs.Text(err))
			continue
		}
		step := fmt.Sprintf("%d of %d", e.CurrentStep, len(e.Steps))
		if e.CurrentStep < len(e.Steps) {
			s := e.Steps[e.CurrentStep]
			step += ": " + string(s.Kind) + " " + strings.Join(s.Workers, " ")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.Service, e.Name, e.Kind, e.State, step, e.Reason)
	}
}
