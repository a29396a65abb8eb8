package serviceconfig

import (
	"bytes"
	"testing"

	"pebbleloom/internal/errs"
)

// Whatever comes as a setup, whole or partial, is read or denied with a type; what is read is
// kept in a form that reads back as the same. `go test ./internal/control/serviceconfig -fuzz FuzzSetups`
func FuzzSetups(f *testing.F) {
	for _, s := range []string{`{}`, `{"models":{"m":{"weights":1}},"services":{"s":{"model":"m"}},"ways":{"m":{"service":"s"}}}`, `{"tenants":{"t":{"keys":["12345678"]}}}`,
		`[]`, `null`, `{"models":{"m":null}}`, `{"models":{"m":{"weights":-1}}}`, `{"wait_max_ms":1e99}`, "\x00", `{"tenants":{"t":{"rate":1e308}}}`} {
		f.Add([]byte(s), []byte(s))
	}
	f.Fuzz(func(t *testing.T, whole, part []byte) {
		a, err := Merge(nil, whole)
		if err != nil {
			if errs.KindOf(err) == errs.Inside {
				t.Fatalf("denied without a type: %v", err)
			}
			return
		}
		if b, err := Merge(nil, a); err != nil || !bytes.Equal(a, b) {
			t.Fatalf("%s reads back as %s, %v", a, b, err)
		}
		if err := Follows(a, a); err != nil {
			t.Fatalf("a setup doesn't follow itself: %v", err)
		}
		if b, err := Merge(a, part); err == nil {
			if _, err := Read(b); err != nil {
				t.Fatalf("what was merged isn't read: %v", err)
			}
		} else if errs.KindOf(err) == errs.Inside {
			t.Fatalf("denied without a type: %v", err)
		}
	})
}
