// Package codecheck checks the project's rules that a reader can't be trusted to keep in mind.
package codecheck

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
)

// files are the sources that people write, by path; they are read once for all checks, which change none.
func files(t *testing.T) map[string][]byte {
	t.Helper()
	m, err := sources()
	if err != nil {
		t.Fatal(err)
	}
	if len(m) < 30 {
		t.Fatalf("only %d files found: the check looks at the wrong folder", len(m))
	}
	return m
}

var sources = sync.OnceValues(func() (map[string][]byte, error) {
	m := map[string][]byte{}
	err := filepath.WalkDir("../..", func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() && (d.Name() == ".git" || d.Name() == "run" || d.Name() == "bin") {
			if err == nil {
				err = filepath.SkipDir
			}
			return err
		}
		if d.IsDir() || !strings.HasSuffix(p, ".go") {
			return nil
		}
		b, err := os.ReadFile(p)
		if err == nil && !generated.Match(b) {
			m[p] = b
		}
		return err
	})
	return m, err
})

var generated = regexp.MustCompile(`(?m)^// Code generated .* DO NOT EDIT\.?$`)

func tooLong(b []byte) bool { return bytes.Count(b, []byte("\n")) > 400 }

func TestNoFileOver400Lines(t *testing.T) {
	if !tooLong(bytes.Repeat([]byte("x\n"), 401)) || tooLong(bytes.Repeat([]byte("x\n"), 400)) {
		t.Fatal("the check itself can't distinguish 401 lines from 400")
	}
	for p, b := range files(t) {
		if tooLong(b) {
			t.Errorf("%s: over 400 lines: split it", p)
		}
	}
}

// bare lists the public functions whose comment has no example.
func bare(name string, src []byte) ([]string, error) {
	f, err := parser.ParseFile(token.NewFileSet(), name, src, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	var l []string
	for _, d := range f.Decls {
		x, ok := d.(*ast.FuncDecl)
		if !ok || !x.Name.IsExported() || f.Name.Name == "main" || x.Recv != nil && !ast.IsExported(strings.TrimLeft(string(src[x.Recv.List[0].Type.Pos()-1:x.Recv.List[0].Type.End()-1]), "*")) {
			continue
		}
		if !strings.Contains(x.Doc.Text(), "Example:") {
			l = append(l, x.Name.Name)
		}
	}
	return l, nil
}

func TestPublicFunctionsHaveExamples(t *testing.T) {
	if l, err := bare("x.go", []byte("package x\n// A does.\nfunc A() {}\n// B does.\n//\n// Example: B()\nfunc B() {}\n")); err != nil || len(l) != 1 || l[0] != "A" {
		t.Fatalf("the check itself finds %v, %v", l, err)
	}
	for p, b := range files(t) {
		if strings.HasSuffix(p, "_test.go") {
			continue
		}
		l, err := bare(p, b)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range l {
			t.Errorf("%s: %s: its comment needs a line `Example: …`", p, n)
		}
	}
}

// wall lists where a file asks for the wall clock.
func wall(name string, src []byte) ([]string, error) {
	fs := token.NewFileSet()
	f, err := parser.ParseFile(fs, name, src, 0)
	if err != nil {
		return nil, err
	}
	var l []string
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && (s.Sel.Name == "Now" || s.Sel.Name == "Since" || s.Sel.Name == "Until") {
				l = append(l, fs.Position(s.Pos()).String())
			}
		}
		if c, ok := n.(*ast.CallExpr); ok { // nor by way of the seam that programs take at their start
			if s, ok := c.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Wall" {
				l = append(l, fs.Position(c.Pos()).String())
			}
		}
		return true
	})
	return l, nil
}

// Decisions are made by clock.Clock. The wall clock is asked only by simulators, by the
// command line's records, by a core machine that reports its own, and by the clock for tests.
func TestNoDecisionByTheWallClock(t *testing.T) {
	if l, err := wall("x.go", []byte("package x\nimport \"time\"\nvar a = time.Now()\nvar b = x.Wall()\n")); err != nil || len(l) != 2 {
		t.Fatalf("the check itself finds %v, %v", l, err)
	}
	allowed := regexp.MustCompile(`/internal/sim/(workersim|storesim|appservicesim|platformsim|loadgen|testbed|clustersim)/|/internal/(clock/clock|cli/runbook|control/controlstate/node|daemon/environment)\.go$`)
	for p, b := range files(t) {
		if strings.HasSuffix(p, "_test.go") || allowed.MatchString(p) {
			continue
		}
		l, err := wall(p, b)
		if err != nil {
			t.Fatal(err)
		}
		for _, x := range l {
			t.Errorf("%s: asks the wall clock: use clock.Clock", x)
		}
	}
}
