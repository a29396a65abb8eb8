package testbed

import (
	"io"
	"os"

	"pebbleloom/internal/capacity"
	"pebbleloom/internal/errs"
)

// sizes measures what each role costs as the fleet grows, into a file whose other series stay; or it
// writes the page anew from the folder with what was measured.
func sizes(o Options, out, bad io.Writer) error {
	if o.Part == "page" {
		return capacity.WritePage(o.Out)
	}
	m, err := capacity.Measure(o.Part, o.Quick, bad)
	if err != nil {
		return err
	}
	if raw, err := os.ReadFile(o.Out); o.Out != "" && err == nil {
		old, err := capacity.Read(raw)
		if err != nil {
			return errs.Wrap(err, o.Out)
		}
		m = capacity.Join(old, m)
	}
	raw, err := m.Write()
	if err != nil {
		return err
	}
	if o.Out == "" {
		_, err = out.Write(raw)
	} else {
		err = os.WriteFile(o.Out, raw, 0o644)
	}
	return errs.WrapAs(err, errs.BadInput, "write what was measured")
}
