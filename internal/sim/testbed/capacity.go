package testbed

import (
	"io"
	"os"

	"pebbleloom/internal/capacity"
	"pebbleloom/internal/errs"
)

// measureCapacity measures the resource use of each role at several fleet sizes and merges the series into the file
// options.Out, which keeps its other series. If options.Out is empty, it prints the series. If options.Part is "page"
// it measures nothing and regenerates the capacity page in the folder options.Out.
func measureCapacity(options Options, out, errOut io.Writer) error {
	if options.Part == "page" {
		return capacity.WritePage(options.Out)
	}
	series, err := capacity.Measure(options.Part, options.Quick, errOut)
	if err != nil {
		return err
	}
	if raw, err := os.ReadFile(options.Out); options.Out != "" && err == nil {
		previous, err := capacity.Read(raw)
		if err != nil {
			return errs.Wrap(err, options.Out)
		}
		series = capacity.Join(previous, series)
	}
	raw, err := series.Write()
	if err != nil {
		return err
	}
	if options.Out == "" {
		_, err = out.Write(raw)
	} else {
		err = os.WriteFile(options.Out, raw, 0o644)
	}
	return errs.WrapAs(err, errs.BadInput, "write the measured capacity series")
}
