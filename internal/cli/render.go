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
	parameters, err := parseParameters(inv.parameters)
	if err != nil {
		return nil, err
	}
	var overlays []serviceconfig.Overlay
	for _, path := range inv.overlays {
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "overlay")
		}
		overlays = append(overlays, serviceconfig.Overlay{Name: path, Body: body})
	}
	config, origins, err := serviceconfig.Render(raw, parameters, overlays)
	return &Rendered{config, origins}, err
}

func formatRendered(out io.Writer, rendered *Rendered) {
	fmt.Fprintln(out, indent(rendered.Config))
	fmt.Fprintln(out, "PATH\tVALUE\tORIGIN")
	for _, origin := range rendered.Origins {
		fmt.Fprintf(out, "%s\t%s\t%s\n", origin.Path, origin.Value, origin.From)
	}
}
