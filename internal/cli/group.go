package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"pebbleloom/api/operator"
)

// restoreGroup restores the consensus group from the named node, or shows what that would keep.
func restoreGroup(ctx context.Context, c *operator.Client, inv *invocation, _ io.Reader) (any, error) {
	request := &operator.GroupRestore{}
	if inv.confirmedMember != "" {
		request.Confirm = operator.NewOptString(inv.confirmedMember)
	}
	return c.RestoreGroup(ctx, request)
}

// formatGroupRestored shows what a restore of the group would do, or has done.
func formatGroupRestored(out io.Writer, result *operator.GroupRestored) {
	fmt.Fprintf(out, "member:\t%s\n", result.Member)
	fmt.Fprintf(out, "its last entry:\tindex %d of term %d\n", result.LogIndex, result.LogTerm)
	fmt.Fprintf(out, "its plan:\tversion %d\n", result.PlanVersion)
	fmt.Fprintf(out, "members:\t%s\n", strings.Join(result.Members, " "))
	fmt.Fprintf(out, "don't answer:\t%s\n", strings.Join(result.Silent, " "))
	fmt.Fprintf(out, "restored before:\t%d times\n", result.TimesRestored)
	switch {
	case result.Restored:
		fmt.Fprintln(out, "the group is restored from this member; what only the others held is lost")
	case len(result.Objections) > 0:
		for _, objection := range result.Objections {
			fmt.Fprintf(out, "not from here:\t%s\n", objection)
		}
	default:
		fmt.Fprintf(out, "nothing is done yet: changes that only the others hold would be lost for good; to restore the group from this member, add --confirm %s\n", result.Member)
	}
}
