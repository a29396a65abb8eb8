package codecheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// declared parses a file and returns the names of the functions, types, fields, methods, constants and variables that
// it declares outside functions, and those that it declares inside functions (local).
func declared(file string, src []byte) (names, local []string, err error) {
	f, err := parser.ParseFile(token.NewFileSet(), file, src, 0)
	if err != nil {
		return nil, nil, err
	}
	for _, d := range f.Decls {
		x, ok := d.(*ast.FuncDecl)
		if !ok {
			names = append(names, defined(d)...)
			continue
		}
		names = append(names, x.Name.Name)
		local = append(local, defined(x)...)
	}
	return names, local, nil
}

// defined lists the names that are defined anywhere in a declaration, except a declared function's own name.
func defined(d ast.Node) (names []string) {
	for _, n := range definedIn(d) {
		names = append(names, n.Name)
	}
	return names
}

// definedIn lists the identifiers that are defined anywhere in a declaration, except a declared function's own.
func definedIn(d ast.Node) (names []*ast.Ident) {
	add := func(l ...*ast.Ident) { names = append(names, l...) }
	ast.Inspect(d, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.Field:
			add(x.Names...)
		case *ast.ValueSpec:
			add(x.Names...)
		case *ast.TypeSpec:
			add(x.Name)
		case *ast.LabeledStmt:
			add(x.Label)
		case *ast.AssignStmt:
			if x.Tok == token.DEFINE {
				add(identifiers(x.Lhs...)...)
			}
		case *ast.RangeStmt:
			if x.Tok == token.DEFINE {
				add(identifiers(x.Key, x.Value)...)
			}
		}
		return true
	})
	return names
}

func identifiers(l ...ast.Expr) (names []*ast.Ident) {
	for _, e := range l {
		if n, ok := e.(*ast.Ident); ok {
			names = append(names, n)
		}
	}
	return names
}

var identifierWord = regexp.MustCompile(`[A-Z]+[a-z0-9]*|[a-z][a-z0-9]*`)

// hiddenTerm returns the standard term that a name should use instead of a word that the map hiding lists, or "". The
// words "one way" (a direction of a link) are allowed, as is "goes" in the names of tests, which are sentences.
func hiddenTerm(name string) string {
	words := identifierWord.FindAllString(name, -1)
	for i, w := range words {
		w = strings.ToLower(w)
		if w == "way" && i > 0 && strings.EqualFold(words[i-1], "one") || w == "goes" && words[0] == "Test" {
			continue
		}
		if t := hiding[w]; t != "" {
			return t
		}
		if w == "clock" && i+1 < len(words) && strings.HasPrefix(strings.ToLower(words[i+1]), "event") {
			return "timer"
		}
	}
	return ""
}

func folderOf(file string) string {
	return strings.TrimPrefix(path.Dir(strings.TrimPrefix(file, "../../")), "internal/")
}

// plainIn lists the names that contain an everyday word for which the map plain lists a standard term.
func plainIn(names []string) (found []string) {
	for _, n := range names {
		if slices.ContainsFunc(identifierWord.FindAllString(n, -1), func(w string) bool { return plain[strings.ToLower(w)] != "" }) {
			found = append(found, n)
		}
	}
	return found
}

// withdrawnIn lists the names that contain a word that the project no longer uses (map withdrawn).
func withdrawnIn(names []string) (found []string) {
	for _, n := range names {
		if containsWithdrawn(n) {
			found = append(found, n)
		}
	}
	return found
}

func containsWithdrawn(text string) bool {
	return slices.ContainsFunc(identifierWord.FindAllString(text, -1), func(w string) bool { return withdrawn[strings.ToLower(w)] != "" })
}

// Names outside function bodies use the standard terms attempt, route, timer, deadline and version, and not the
// project's former words for them, which the map hiding lists.
func TestNoNameHidesAStandardTerm(t *testing.T) {
	for name, want := range map[string]string{"Epoch": "version", "haveEpoch": "version", "nextWay": "route", "ways": "route", "KeyExpiry": "deadline",
		"clockEvents": "timer", "goes": "attempts", "TestPlanGoes": "", "oneWay": "", "cutOneWay": "", "TestEpoch": "version", "always": "", "Gateway": "", "Go": "", "ongoing": "", "clock": ""} {
		if got := strings.TrimSuffix(hiddenTerm(name), "s"); got != strings.TrimSuffix(want, "s") {
			t.Fatalf("self-test: name %s should use the standard term %q, want %q", name, got, want)
		}
	}
	for file, src := range files(t) {
		names, _, err := declared(file, src)
		if err != nil {
			t.Fatalf("parse source file to list its names: %v", err)
		}
		for _, name := range names {
			if term := hiddenTerm(name); term != "" {
				t.Errorf("%s: name %s must use the standard term %q", file, name, term)
			}
		}
	}
}
