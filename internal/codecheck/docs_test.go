package codecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// declaredNames returns the names that all source files declare at package level, as "package.Name" and
// "package.Type.Method". Functions are also included by their name alone, which is how pages refer to tests.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for file, src := range files(t) {
		f, err := parser.ParseFile(token.NewFileSet(), file, src, 0)
		if err != nil {
			t.Fatalf("parse source file to list its declarations: %v", err)
		}
		prefix := strings.TrimSuffix(f.Name.Name, "_test") + "."
		for _, d := range f.Decls {
			switch x := d.(type) {
			case *ast.FuncDecl:
				names[x.Name.Name] = true
				names[prefix+receiverOf(x)+x.Name.Name] = true
			case *ast.GenDecl:
				for _, name := range defined(x) {
					names[prefix+name] = true
				}
			}
		}
	}
	return names
}

// receiverOf returns the name of a method's receiver type followed by a dot, or "" for a function.
func receiverOf(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return ""
	}
	e := f.Recv.List[0].Type
	if star, ok := e.(*ast.StarExpr); ok {
		e = star.X
	}
	if generic, ok := e.(*ast.IndexExpr); ok {
		e = generic.X
	}
	if name, ok := e.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

var (
	codeName = regexp.MustCompile("`([a-z]+\\.[A-Za-z]+(?:\\.[A-Za-z]+)?)`")
	// formerNames matches the first columns of docs/renamed-tests.md: a package and the former name of a test.
	formerNames = regexp.MustCompile("(?m)^\\| `[a-z/]+` \\| \\w+ \\|")
	testName    = regexp.MustCompile(`\b(Test[A-Z][A-Za-z0-9]*)\b`)
)

// missingNames lists the names on a page, as found by pattern, that the sources don't declare. Names of Markdown
// files are skipped.
func missingNames(page string, pattern *regexp.Regexp, names map[string]bool) (missing []string) {
	for _, m := range pattern.FindAllStringSubmatch(page, -1) {
		if !isDeclared(m[1], names) && filepath.Ext(m[1]) != ".md" {
			missing = append(missing, m[1])
		}
	}
	return missing
}

// isDeclared reports whether the sources declare a name. For a test, a prefix of a declared name is enough, as it is
// for go test -run.
func isDeclared(name string, names map[string]bool) bool {
	if names[name] || !strings.HasPrefix(name, "Test") {
		return names[name]
	}
	for declared := range names {
		if strings.HasPrefix(declared, name) {
			return true
		}
	}
	return false
}

func TestArchitecturePageNamesWhatExists(t *testing.T) {
	names := map[string]bool{"proxy.server.accept": true}
	if missing := missingNames("`proxy.server.accept`, `proxy.server.take`, `control.md`, `consensus`", codeName, names); len(missing) != 1 || missing[0] != "proxy.server.take" {
		t.Fatalf("self-test: names missing from the sources: %q, want only proxy.server.take", missing)
	}
	raw, err := os.ReadFile("../../docs/architecture.md")
	if err != nil {
		t.Fatalf("read the architecture page: %v", err)
	}
	for _, name := range missingNames(string(raw), codeName, declaredNames(t)) {
		t.Errorf("docs/architecture.md mentions %s, which the sources don't declare: update the page", name)
	}
}

// Each test that a documentation page mentions exists, so that a reader can run it.
func TestPagesNameTestsThatExist(t *testing.T) {
	if missing := missingNames("`TestA` and TestB/case", testName, map[string]bool{"TestA": true}); len(missing) != 1 || missing[0] != "TestB" {
		t.Fatalf("self-test: tests missing from the sources: %q, want only TestB", missing)
	}
	names := declaredNames(t)
	pages, err := filepath.Glob("../../docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("list documentation pages docs/*.md: found %d, error %v; want at least one", len(pages), err)
	}
	for _, page := range append(pages, "../../README.md", "../../DEVELOPERS.md") {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatalf("read documentation page: %v", err)
		}
		page := strings.TrimPrefix(page, "../../")
		for _, name := range missingNames(formerNames.ReplaceAllString(string(raw), ""), testName, names) {
			t.Errorf("%s mentions test %s, which the sources don't declare", page, name)
		}
	}
}
