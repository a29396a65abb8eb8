package controlstate

import (
	"bytes"
	"fmt"
	"strconv"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
)

// textPlanCodec is a codec for large routing configurations: it parses only the version at the start of the text and
// keeps the rest unchanged.
type textPlanCodec struct{}

// planVersion parses the version at the start of a routing configuration in the format of planText.
func planVersion(plan []byte) (uint64, error) {
	rest, ok := bytes.CutPrefix(plan, []byte(`{"version":`))
	end := bytes.IndexByte(rest, ',')
	if !ok || end < 0 {
		return 0, errs.New(errs.BadInput, "routing configuration does not start with a version: %.40q", plan)
	}
	return strconv.ParseUint(string(rest[:end]), 10, 64)
}

// Read parses the version of a routing configuration, and ignores the rest.
func (textPlanCodec) Read(plan []byte) (*routingconfig.Plan, error) {
	version, err := planVersion(plan)
	return &routingconfig.Plan{Version: version}, err
}

// Merge returns the sent routing configuration unchanged, regardless of the old one.
func (textPlanCodec) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) {
	version, err := planVersion(sent)
	return sent, version, err
}

// Tenants returns none.
func (textPlanCodec) Tenants([]byte) ([]routingconfig.Tenant, error) { return nil, nil }

// planText returns a routing configuration with the given number of routes, about 300 bytes each. The host names
// contain the version, so that the contents of any two versions differ.
func planText(version uint64, routes int) []byte {
	text := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range routes {
		text = fmt.Appendf(text, `{"name":"route-%d-%d","host":"h%d.tenant-%d.example","prefix":"/v1/%d","kind":"once","timeout":%d,"priority":%d,"split":[{"service":"service-%d","weight":90},{"service":"service-%d-canary","weight":10}],"attempts":3,"public":true,"session":%v,"comment":"%0100d"},`,
			i, version, i%97, i%31, i, 1000+i, i%4, i%120, i%120, i%2 == 0, version)
	}
	return append(text[:len(text)-1], "]}"...)
}
