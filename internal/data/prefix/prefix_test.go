package prefix

import (
	"fmt"
	"testing"
)

// No entry of one wall, model, weights epoch or prompt has another's key, however the parts
// are cut.
func TestKeysAreDistinct(t *testing.T) {
	seen := map[Key]string{}
	for _, domain := range []string{"shared", "t:a", "t:b", ""} {
		for _, model := range []string{"m", "m2", ""} {
			for weights := range uint64(3) {
				for _, parts := range [][]string{{"ab", "c"}, {"a", "bc"}, {"abc"}, {"c", "ab"}, {"", "abc"}, {"abc", ""}, {"a\x00b"}, {"a", "b"}} {
					es := Chain(domain, model, weights, parts)
					who := fmt.Sprintf("%q %q %d %q", domain, model, weights, parts)
					for i, e := range es {
						name := fmt.Sprintf("%q %q %d %q", domain, model, weights, parts[:i+1])
						if o, ok := seen[e.Key]; ok && o != name {
							t.Fatalf("%s has the key of %s", who, o)
						}
						seen[e.Key] = name
						if k, ok := Parse(e.Key.String()); !ok || k != e.Key {
							t.Fatalf("%s doesn't read back", e.Key)
						}
					}
				}
			}
		}
	}
	if len(seen) < 300 {
		t.Fatalf("only %d keys", len(seen))
	}
}
