package testbed

import (
	"io"
	"os"

	"pebbleloom/internal/capacity"
	"pebbleloom/internal/errs"
)

// measureCapacity measures what each role costs as the fleet grows, into a file whose other series stay; or it
// writes the page anew from the folder with what was measured.
func measureCapacity(options Options, out, bad io.Writer) error {
	if options.Part == "page" {
		return capacity.WritePage(options.Out)
	}
	m, err := capacity.Measure(options.Part, options.Quick, bad)
	if err != nil {
		return err
	}
	if raw, err := os.ReadFile(options.Out); options.Out != "" && err == nil {
		old, err := capacity.Read(raw)
		if err != nil {
			return errs.Wrap(err, options.Out)
		}
		m = capacity.Join(old, m)
	}
	raw, err := m.Write()
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
