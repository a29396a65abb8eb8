package serviceconfig

import (
	"bytes"
	"testing"

	"pebbleloom/internal/errs"
)

// Any input, whole or partial, is decoded or rejected with a typed error; what is decoded is
// encoded in a form that decodes to the same. `go test ./internal/control/serviceconfig -fuzz FuzzConfigs`
func FuzzConfigs(f *testing.F) {
	for _, s := range []string{`{}`, `{"models":{"m":{"weights":1}},"services":{"s":{"model":"m"}},"ways":{"m":{"service":"s"}}}`, `{"tenants":{"t":{"keys":["12345678"]}}}`,
		`[]`, `null`, `{"models":{"m":null}}`, `{"models":{"m":{"weights":-1}}}`, `{"wait_max_ms":1e99}`, "\x00", `{"tenants":{"t":{"rate":1e308}}}`} {
		f.Add([]byte(s), []byte(s))
	}
	f.Fuzz(func(t *testing.T, whole, part []byte) {
		a, err := Merge(nil, whole)
		if err != nil {
			if errs.KindOf(err) == errs.Internal {
				t.Fatalf("rejected without a type: %v", err)
			}
			return
		}
		if b, err := Merge(nil, a); err != nil || !bytes.Equal(a, b) {
			t.Fatalf("%s reads back as %s, %v", a, b, err)
		}
		if err := CheckSuccessor(a, a); err != nil {
			t.Fatalf("a configuration is no successor of itself: %v", err)
		}
		if b, err := Merge(a, part); err == nil {
			if _, err := Decode(b); err != nil {
				t.Fatalf("what was merged isn't read: %v", err)
			}
		} else if errs.KindOf(err) == errs.Internal {
			t.Fatalf("rejected without a type: %v", err)
		}
	})
}
