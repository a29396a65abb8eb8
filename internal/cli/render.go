package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// Rendered is the output of `pebblectl config render`.
type Rendered struct {
	Config  jx.Raw                 `json:"setup"`
	Origins []serviceconfig.Origin `json:"origins"`
}

// renderConfig fills in a configuration template and merges overlays, without a call to a node. With --json,
// the rendered configuration can be extracted from the output (jq .setup) and applied.
func renderConfig(_ context.Context, _ *operator.Client, inv *invocation, in io.Reader) (any, error) {
	raw, err := readFile(inv, in)
	if err != nil {
		return nil, err
	}
	set, err := parseParameters(inv.parameters)
	if err != nil {
		return nil, err
	}
	var ls []serviceconfig.Overlay
	for _, f := range inv.overlays {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "read --overlay")
		}
		ls = append(ls, serviceconfig.Overlay{Name: f, Body: b})
	}
	body, os, err := serviceconfig.Render(raw, set, ls)
	return &Rendered{body, os}, err
}

func formatRendered(w io.Writer, x *Rendered) {
	fmt.Fprintln(w, indent(x.Config))
	fmt.Fprintln(w, "PATH\tVALUE\tORIGIN")
	for _, o := range x.Origins {
		fmt.Fprintf(w, "%s\t%s\t%s\n", o.Path, o.Value, o.From)
	}
}
