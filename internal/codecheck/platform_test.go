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

// platformLines bounds the sources of platform/, without tests and its command: it holds names,
// formats and calls, and whatever grows in it belongs in the product.
const platformLines = 1400

// What looks like a name of the platform in a string of platform/: a header, a path, a variable of
// a process, or a field with an inner capital or underscore.
var platformName = regexp.MustCompile(`^(X-[A-Za-z-]+|/[a-z][a-z0-9/-]*|PEBBLELOOM_[A-Z_]+|[a-z]+[a-z0-9]*([A-Z_][A-Za-z0-9]*)+)$`)

// ownNames are those of the product's own interface (docs/contract.md), which had them first; an X- goes
// before each.
var ownNames = map[string][]string{"../../internal/contract/contract.go": {"Kv-Fetch-From", "Kv-Save-To"}}

// words of a string that could be such names; paths are looked for as a whole.
var stringWord = regexp.MustCompile(`[A-Za-z][A-Za-z0-9_-]*`)

// literals lists the strings of a file with their places, imports apart. A field's tag counts as
// the names in it.
func literals(file string, src []byte) (map[string][]string, error) {
	fs := token.NewFileSet()
	f, err := parser.ParseFile(fs, file, src, 0)
	if err != nil {
		return nil, err
	}
	l := map[string][]string{}
	add := func(at token.Pos, s string) { l[s] = append(l[s], fs.Position(at).String()) }
	ast.Inspect(f, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			if x.Tag == nil {
				return true
			}
			raw, _ := strconv.Unquote(x.Tag.Value)
			for _, k := range []string{"json", "toml"} {
				if s, _, _ := strings.Cut(reflect.StructTag(raw).Get(k), ","); s != "" {
					add(x.Pos(), s)
				}
			}
			x.Tag = nil // its names stand already
		case *ast.BasicLit:
			if x.Kind == token.STRING {
				if s, err := strconv.Unquote(x.Value); err == nil {
					add(x.Pos(), s)
				}
			}
		}
		return true
	})
	return l, nil
}

// platformNames are those that the sources of platform/ spell out.
func platformNames(srcs map[string][]byte) (map[string]bool, error) {
	names := map[string]bool{}
	for p, b := range srcs {
		if !strings.HasPrefix(p, "../../platform/") || strings.HasSuffix(p, "_test.go") {
			continue
		}
		l, err := literals(p, b)
		if err != nil {
			return nil, err
		}
		for s := range l {
			if s, _, _ = strings.Cut(s, "?"); platformName.MatchString(s) {
				names[s] = true
			}
		}
	}
	return names, nil
}

// strayNames are the places outside platform/ that know a name of the platform.
func strayNames(srcs map[string][]byte) ([]string, error) {
	names, err := platformNames(srcs)
	if err != nil {
		return nil, err
	}
	folded := map[string]bool{} // headers are the same in any case
	var paths []string
	for n := range names {
		if strings.HasPrefix(n, "/") {
			paths = append(paths, regexp.QuoteMeta(n))
		} else if strings.HasPrefix(n, "X-") {
			folded[strings.ToLower(n)] = true
		}
	}
	slices.Sort(paths)
	slices.Reverse(paths) // the longest first
	path := regexp.MustCompile(`(?:^|[^a-zA-Z0-9_./-])(` + strings.Join(paths, "|") + `)(?:[^a-zA-Z0-9_/-]|$)`)
	var stray []string
	for p, b := range srcs {
		if strings.HasPrefix(p, "../../platform/") {
			continue
		}
		l, err := literals(p, b)
		if err != nil {
			return nil, err
		}
		for s, at := range l {
			found := map[string]bool{}
			for _, w := range stringWord.FindAllString(s, -1) {
				if names[w] || folded[strings.ToLower(w)] {
					found[w] = true
				}
			}
			if m := path.FindStringSubmatch(s); m != nil && m[1] != "" {
				found[m[1]] = true
			}
			for _, w := range slices.Sorted(maps.Keys(found)) {
				if slices.Contains(ownNames[p], strings.TrimPrefix(w, "X-")) {
					continue
				}
				stray = append(stray, strings.Join(at, ", ")+": "+w)
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
	if l, err := strayNames(planted); err != nil || len(l) != 6 {
		t.Fatalf("the check itself finds %d, %v:\n%s", len(l), err, strings.Join(l, "\n"))
	}
	srcs := files(t)
	names, err := platformNames(srcs)
	if err != nil || len(names) < 50 {
		t.Fatalf("only %d names found in platform/ (%v): the check reads it wrong", len(names), err)
	}
	for p, l := range ownNames {
		for _, n := range l {
			if !bytes.Contains(srcs[p], []byte("X-"+n)) || !names["X-"+n] {
				t.Errorf("%s: %s is no exception any more: take it off the list", p, n)
			}
		}
	}
	l, err := strayNames(srcs)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range l {
		t.Errorf("%s: a name of the users' platform: only platform/ knows it; take it as a parameter", s)
	}
}

func TestPlatformIsSmall(t *testing.T) {
	n := 0
	for p, b := range files(t) {
		if strings.HasPrefix(p, "../../platform/") && !strings.HasPrefix(p, "../../platform/cmd/") && !strings.HasSuffix(p, "_test.go") {
			n += bytes.Count(b, []byte("\n"))
		}
	}
	if n == 0 || n > platformLines {
		t.Errorf("platform/ has %d lines of at most %d: what it decides belongs in the product", n, platformLines)
	}
}
