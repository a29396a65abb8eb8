package serviceconfig

import (
	"bytes"
	"testing"

	"pebbleloom/internal/errs"
)

// Any input is either accepted as a service configuration or patch, or rejected with an error of a kind other than
// errs.Internal. The encoding of an accepted service configuration decodes to the same configuration. To run the
// fuzzer: go test ./internal/control/serviceconfig -fuzz FuzzConfigs
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
				t.Fatalf("Merge rejected a document with an error of the unexpected kind %s: %v", errs.Internal.Name, err)
			}
			return
		}
		if again, err := Merge(nil, encoded); err != nil || !bytes.Equal(encoded, again) {
			t.Fatalf("Merge of the encoded configuration %s into an empty one: got %s, error %v; want the same configuration", encoded, again, err)
		}
		if err := CheckSuccessor(encoded, encoded); err != nil {
			t.Fatalf("CheckSuccessor rejected a configuration as the successor of itself: %v", err)
		}
		if merged, err := Merge(encoded, patch); err == nil {
			if _, err := Decode(merged); err != nil {
				t.Fatalf("Decode rejected a service configuration that Merge had returned: %v", err)
			}
		} else if errs.KindOf(err) == errs.Internal {
			t.Fatalf("Merge rejected a patch with an error of the unexpected kind %s: %v", errs.Internal.Name, err)
		}
	})
}
