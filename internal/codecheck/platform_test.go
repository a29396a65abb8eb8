package codecheck

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// platformLines is the maximum number of source lines in platform/, without its tests and platform/cmd. The package
// only adapts names, formats and calls of the platform that runs pebbleloom; decisions belong in other packages.
const platformLines = 1400

// platformName matches strings in platform/ that look like a name of the platform's interface: an HTTP header, a
// path, an environment variable, or a field name with an inner capital letter or underscore.
var platformName = regexp.MustCompile(`^(X-[A-Za-z-]+|/[a-z][a-z0-9/-]*|PEBBLELOOM_[A-Z_]+|[a-z]+[a-z0-9]*([A-Z_][A-Za-z0-9]*)+)$`)

// ownNames lists, by file, header names that platform/ uses but that pebbleloom's own protocol (docs/contract.md)
// defined first, so they may occur in that file. The prefix "X-" is omitted.
var ownNames = map[string][]string{"../../internal/contract/contract.go": {"Kv-Fetch-From", "Kv-Save-To"}}

// nameInString matches the words of a string that could be names of the platform's interface. Paths are matched
// separately, because they contain slashes.
var nameInString = regexp.MustCompile(`[A-Za-z][A-Za-z0-9_-]*`)

// literals returns the string literals of a file with their positions, except import paths. Of struct tags, it
// returns the field names for JSON and TOML.
func literals(file string, src []byte) (map[string][]string, error) {
	fs := token.NewFileSet()
	f, err := parser.ParseFile(fs, file, src, 0)
	if err != nil {
		return nil, err
	}
	positions := map[string][]string{}
	add := func(at token.Pos, text string) { positions[text] = append(positions[text], fs.Position(at).String()) }
	ast.Inspect(f, func(n ast.Node) bool {
		switch node := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if node.Tag == nil {
				return true
			}
			raw, _ := strconv.Unquote(node.Tag.Value)
			for _, key := range []string{"json", "toml"} {
				if text, _, _ := strings.Cut(reflect.StructTag(raw).Get(key), ","); text != "" {
					add(node.Pos(), text)
				}
			}
			node.Tag = nil // its names were added above; don't visit the tag as a string literal
		case *ast.BasicLit:
			if node.Kind == token.STRING {
				if text, err := strconv.Unquote(node.Value); err == nil {
					add(node.Pos(), text)
				}
			}
		}
		return true
	})
	return positions, nil
}

// platformNames returns the names of the platform's interface that occur in the sources of platform/, without tests.
func platformNames(srcs map[string][]byte) (map[string]bool, error) {
	names := map[string]bool{}
	for file, src := range srcs {
		if !strings.HasPrefix(file, "../../platform/") || strings.HasSuffix(file, "_test.go") {
			continue
		}
		positions, err := literals(file, src)
		if err != nil {
			return nil, err
		}
		for text := range positions {
			if text, _, _ = strings.Cut(text, "?"); platformName.MatchString(text) {
				names[text] = true
			}
		}
	}
	return names, nil
}

// namesOutsidePlatform lists the places outside platform/ where a name of the platform's interface occurs.
func namesOutsidePlatform(srcs map[string][]byte) ([]string, error) {
	names, err := platformNames(srcs)
	if err != nil {
		return nil, err
	}
	folded := map[string]bool{} // header names in lower case, because they are case-insensitive
	var paths []string
	for n := range names {
		if strings.HasPrefix(n, "/") {
			paths = append(paths, regexp.QuoteMeta(n))
		} else if strings.HasPrefix(n, "X-") {
			folded[strings.ToLower(n)] = true
		}
	}
	slices.Sort(paths)
	slices.Reverse(paths) // a path before its own prefixes, since the first alternative that matches wins
	path := regexp.MustCompile(`(?:^|[^a-zA-Z0-9_./-])(` + strings.Join(paths, "|") + `)(?:[^a-zA-Z0-9_/-]|$)`)
	var stray []string
	for file, src := range srcs {
		if strings.HasPrefix(file, "../../platform/") {
			continue
		}
		positions, err := literals(file, src)
		if err != nil {
			return nil, err
		}
		for text, at := range positions {
			found := map[string]bool{}
			for _, term := range nameInString.FindAllString(text, -1) {
				if names[term] || folded[strings.ToLower(term)] {
					found[term] = true
				}
			}
			if m := path.FindStringSubmatch(text); m != nil && m[1] != "" {
				found[m[1]] = true
			}
			for _, term := range slices.Sorted(maps.Keys(found)) {
				if slices.Contains(ownNames[file], strings.TrimPrefix(term, "X-")) {
					continue
				}
				stray = append(stray, strings.Join(at, ", ")+": "+term)
			}
		}
	}
	slices.Sort(stray)
	return stray, nil
}

func TestPlatformNamesStayInPlatform(t *testing.T) {
	planted := map[string][]byte{
		"../../platform/a.go":      []byte("package platform\nimport \"a/b\"\ntype t struct{ A int `json:\"plantedAddr,omitempty\"`; N int `json:\"name\"` }\nvar h, p, e, s = \"X-Planted-Id\", \"/things/report?at=\", \"PEBBLELOOM_THINGS\", \"state\"\nvar w = \"Content-Type\"\n"),
		"../../platform/a_test.go": []byte("package platform\nvar x = \"X-Of-Tests\"\n"),
		"../../internal/x/a.go": []byte("package x\nimport \"a/things/report\"\nvar a = \"x-planted-id\"\nvar b = \"GET /things/report\"\nvar c = `{\"plantedAddr\":1}`\n" +
			"var d = \"PEBBLELOOM_THINGS=1\"\ntype u struct{ B int `json:\"plantedAddr\"`; N int `json:\"name\"` }\n"),
		"../../internal/x/a_test.go": []byte("package x\nvar a = \"X-Planted-Id: 1\"\nvar ok = \"Content-Type name state /things /things/reports X-Planted-Ids X-Of-Tests plantedAddrs\"\n"),
	}
	if stray, err := namesOutsidePlatform(planted); err != nil || len(stray) != 6 {
		t.Fatalf("self-test: found %d platform names outside platform/, error %v; want 6 and no error:\n%s", len(stray), err, strings.Join(stray, "\n"))
	}
	srcs := files(t)
	names, err := platformNames(srcs)
	if err != nil || len(names) < 50 {
		t.Fatalf("found %d platform names in platform/, error %v; want at least 50, so the search itself is at fault", len(names), err)
	}
	for file, headers := range ownNames {
		for _, name := range headers {
			if !bytes.Contains(srcs[file], []byte("X-"+name)) || !names["X-"+name] {
				t.Errorf("ownNames lists X-%s for %s, but the name no longer occurs both there and in platform/: remove it from ownNames", name, file)
			}
		}
	}
	stray, err := namesOutsidePlatform(srcs)
	if err != nil {
		t.Fatalf("search source files for platform names: %v", err)
	}
	for _, s := range stray {
		t.Errorf("%s: name of the platform's interface outside platform/: pass it as a parameter instead", s)
	}
}

func TestPlatformIsSmall(t *testing.T) {
	n := 0
	for file, src := range files(t) {
		if strings.HasPrefix(file, "../../platform/") && !strings.HasPrefix(file, "../../platform/cmd/") && !strings.HasSuffix(file, "_test.go") {
			n += bytes.Count(src, []byte("\n"))
		}
	}
	if n == 0 || n > platformLines {
		t.Errorf("platform/ has %d source lines, want 1 to %d: move decisions to other packages", n, platformLines)
	}
}
