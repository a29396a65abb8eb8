package serviceconfig

import (
	"bytes"
	"testing"

	"pebbleloom/internal/errs"
)

// Any configuration or patch is decoded or rejected with a typed error; what is decoded is encoded in a
// form that decodes to the same. `go test ./internal/control/serviceconfig -fuzz FuzzConfigs`
func FuzzConfigs(f *testing.F) {
	for _, seed := range []string{
		`{}`,
		`{"models":{"m":{"weights":1}},"services":{"s":{"model":"m"}},"ways":{"m":{"service":"s"}}}`,
		`{"tenants":{"t":{"keys":["12345678"]}}}`,
		`[]`,
		`null`,
		`{"models":{"m":null}}`,
		`{"models":{"m":{"weights":-1}}}`,
		`{"wait_max_ms":1e99}`,
		"\x00",
		`{"tenants":{"t":{"rate":1e308}}}`,
	} {
		f.Add([]byte(seed), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, document, patch []byte) {
		encoded, err := Merge(nil, document)
		if err != nil {
			if errs.KindOf(err) == errs.Internal {
				t.Fatalf("rejected without a type: %v", err)
			}
			return
		}
		if again, err := Merge(nil, encoded); err != nil || !bytes.Equal(encoded, again) {
			t.Fatalf("%s decodes to %s, %v", encoded, again, err)
		}
		if err := CheckSuccessor(encoded, encoded); err != nil {
			t.Fatalf("a configuration is no successor of itself: %v", err)
		}
		if merged, err := Merge(encoded, patch); err == nil {
			if _, err := Decode(merged); err != nil {
				t.Fatalf("the merged configuration isn't decoded: %v", err)
			}
		} else if errs.KindOf(err) == errs.Internal {
			t.Fatalf("rejected without a type: %v", err)
		}
	})
}
