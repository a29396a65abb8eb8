package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"pebbleloom/api/operator"
)

// restoreGroup restores the consensus group from the member at the node; without --confirm, it only shows what
// a restore would keep.
func restoreGroup(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	request := &operator.GroupRestore{}
	if inv.confirmedMember != "" {
		request.Confirm = operator.NewOptString(inv.confirmedMember)
	}
	return c.RestoreGroup(ctx, request)
}

// formatGroupRestored formats the result of a restore of the consensus group, or of a dry run.
func formatGroupRestored(out io.Writer, result *operator.GroupRestored) {
	fmt.Fprintf(out, "member:\t%s\n", result.Member)
	fmt.Fprintf(out, "last log entry:\tindex %d of term %d\n", result.LogIndex, result.LogTerm)
	fmt.Fprintf(out, "routing plan:\tversion %d\n", result.PlanVersion)
	fmt.Fprintf(out, "group members:\t%s\n", strings.Join(result.Members, " "))
	fmt.Fprintf(out, "not answering:\t%s\n", strings.Join(result.Silent, " "))
	fmt.Fprintf(out, "earlier restores:\t%d\n", result.TimesRestored)
	switch {
	case result.Restored:
		fmt.Fprintln(out, "the consensus group is restored from this member; changes that only other members held are lost")
	case len(result.Objections) > 0:
		for _, objection := range result.Objections {
			fmt.Fprintf(out, "objection:\t%s\n", objection)
		}
	default:
		fmt.Fprintf(out, "dry run: a restore would lose all changes that only other members hold; to restore the consensus group from this member, add --confirm %s\n", result.Member)
	}
}
