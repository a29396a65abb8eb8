package testbed

import (
	"io"
	"os"

	"pebbleloom/internal/capacity"
	"pebbleloom/internal/errs"
)

// measureCapacity measures the resource use of each role over the size of the fleet and merges the series into
// options.Out, which keeps its other series. With the part "page" it regenerates the page in the folder options.Out.
func measureCapacity(options Options, out, bad io.Writer) error {
	if options.Part == "page" {
		return capacity.WritePage(options.Out)
	}
	measured, err := capacity.Measure(options.Part, options.Quick, bad)
	if err != nil {
		return err
	}
	if raw, err := os.ReadFile(options.Out); options.Out != "" && err == nil {
		old, err := capacity.Read(raw)
		if err != nil {
			return errs.Wrap(err, options.Out)
		}
		measured = capacity.Join(old, measured)
	}
	raw, err := measured.Write()
	if err != nil {
		return err
	}
	if options.Out == "" {
		_, err = out.Write(raw)
	} else {
		err = os.WriteFile(options.Out, raw, 0o644)
	}
	return errs.WrapAs(err, errs.BadInput, "write what was measured")
}
