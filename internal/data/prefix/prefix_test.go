package prefix

import (
	"fmt"
	"testing"
)

// Entries of different domains, models, versions of the weights or prompts have different keys, however the
// prompts are split into parts.
func TestKeysAreDistinct(t *testing.T) {
	seen := map[Key]string{}
	for _, domain := range []string{"shared", "t:a", "t:b", ""} {
		for _, model := range []string{"m", "m2", ""} {
			for weights := range uint64(3) {
				for _, parts := range [][]string{{"ab", "c"}, {"a", "bc"}, {"abc"}, {"c", "ab"}, {"", "abc"}, {"abc", ""}, {"a\x00b"}, {"a", "b"}} {
					prompt := fmt.Sprintf("%q %q %d %q", domain, model, weights, parts)
					for i, entry := range Chain(domain, model, weights, parts) {
						name := fmt.Sprintf("%q %q %d %q", domain, model, weights, parts[:i+1])
						if other, ok := seen[entry.Key]; ok && other != name {
							t.Fatalf("%s has the key of %s", prompt, other)
						}
						seen[entry.Key] = name
						if key, ok := Parse(entry.Key.String()); !ok || key != entry.Key {
							t.Fatalf("%s doesn't read back", entry.Key)
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
