package prefix

import (
	"fmt"
	"testing"
)

// Entries that differ in domain, model, version of the weights or prompt have different keys, also if the prompts
// differ only in how the same text is split into parts.
func TestKeysAreDistinct(t *testing.T) {
	seen := map[Key]string{}
	for _, domain := range []string{"shared", "t:a", "t:b", ""} {
		for _, model := range []string{"m", "m2", ""} {
			for weights := range uint64(3) {
				for _, parts := range [][]string{{"ab", "c"}, {"a", "bc"}, {"abc"}, {"c", "ab"}, {"", "abc"}, {"abc", ""}, {"a\x00b"}, {"a", "b"}} {
					prompt := fmt.Sprintf("(domain %q, model %q, weights %d, parts %q)", domain, model, weights, parts)
					for i, entry := range Chain(domain, model, weights, parts) {
						name := fmt.Sprintf("(domain %q, model %q, weights %d, parts %q)", domain, model, weights, parts[:i+1])
						if other, ok := seen[entry.Key]; ok && other != name {
							t.Fatalf("prefix %s of prompt %s has the same key as prefix %s, want different keys", name, prompt, other)
						}
						seen[entry.Key] = name
						if key, ok := Parse(entry.Key.String()); !ok || key != entry.Key {
							t.Fatalf("Parse(%q): got key %s, ok %v; want the same key", entry.Key, key, ok)
						}
					}
				}
			}
		}
	}
	if len(seen) < 300 {
		t.Fatalf("distinct keys tested: got %d, want at least 300", len(seen))
	}
}
