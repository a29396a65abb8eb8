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

// declared lists the names of functions, types, fields, methods, constants and variables that a file
// declares outside functions; local lists those inside.
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

// defined lists the names that a declaration defines, wherever in it; a function's own name apart.
func defined(d ast.Node) (names []string) {
	for _, n := range definedIn(d) {
		names = append(names, n.Name)
	}
	return names
}

// definedIn lists the identifiers that a declaration defines, wherever in it; a function's own apart.
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

// hides gives the standard term that a name hides; "" if none. A link is cut one way, and a test's
// name is a sentence, in which something goes.
func hides(name string) string {
	ws := identifierWord.FindAllString(name, -1)
	for i, w := range ws {
		w = strings.ToLower(w)
		if w == "way" && i > 0 && strings.EqualFold(ws[i-1], "one") || w == "goes" && ws[0] == "Test" {
			continue
		}
		if t := hiding[w]; t != "" {
			return t
		}
		if w == "clock" && i+1 < len(ws) && strings.HasPrefix(strings.ToLower(ws[i+1]), "event") {
			return "timer"
		}
	}
	return ""
}

func folderOf(file string) string {
	return strings.TrimPrefix(path.Dir(strings.TrimPrefix(file, "../../")), "internal/")
}

// plainIn lists the names that hold a plain word.
func plainIn(names []string) (found []string) {
	for _, n := range names {
		if slices.ContainsFunc(identifierWord.FindAllString(n, -1), func(w string) bool { return plain[strings.ToLower(w)] != "" }) {
			found = append(found, n)
		}
	}
	return found
}

// withdrawnIn lists the names that hold a withdrawn word.
func withdrawnIn(names []string) (found []string) {
	for _, n := range names {
		if holdsWithdrawn(n) {
			found = append(found, n)
		}
	}
	return found
}

func holdsWithdrawn(text string) bool {
	return slices.ContainsFunc(identifierWord.FindAllString(text, -1), func(w string) bool { return withdrawn[strings.ToLower(w)] != "" })
}

// Standard terms: attempt, route, timer, deadline, version and error are the field's own, and no
// name hides them behind a word of ours.
func TestNoNameHidesAStandardTerm(t *testing.T) {
	for name, want := range map[string]string{"Epoch": "version", "haveEpoch": "version", "nextWay": "route", "ways": "route", "KeyExpiry": "deadline",
		"clockEvents": "timer", "goes": "attempts", "TestPlanGoes": "", "oneWay": "", "cutOneWay": "", "TestEpoch": "version", "always": "", "Gateway": "", "Go": "", "ongoing": "", "clock": ""} {
		if got := strings.TrimSuffix(hides(name), "s"); got != strings.TrimSuffix(want, "s") {
			t.Fatalf("the check itself says that %s hides %q", name, got)
		}
	}
	for p, b := range files(t) {
		names, _, err := declared(p, b)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if term := hides(name); term != "" {
				t.Errorf("%s: %s hides a standard term: say %s", p, name, term)
			}
		}
	}
}
