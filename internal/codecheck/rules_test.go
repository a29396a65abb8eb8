// Package codecheck contains tests that check the project's rules for source code, such as the size of files and
// functions, naming, doc comments and the use of the wall clock.
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

// files returns the contents of all Go files that aren't generated, by path relative to this package. They are read
// once and shared by all checks, which must not modify them.
func files(t *testing.T) map[string][]byte {
	t.Helper()
	contents, err := sources()
	if err != nil {
		t.Fatalf("read the repository's Go files: %v", err)
	}
	if len(contents) < 30 {
		t.Fatalf("found %d Go files in ../.., want at least 30: is it the repository's root?", len(contents))
	}
	return contents
}

var sources = sync.OnceValues(func() (map[string][]byte, error) {
	contents := map[string][]byte{}
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
		src, err := os.ReadFile(p)
		if err == nil && !generated.Match(src) {
			contents[p] = src
		}
		return err
	})
	return contents, err
})

var generated = regexp.MustCompile(`(?m)^// Code generated .* DO NOT EDIT\.?$`)

func tooLong(src []byte) bool { return bytes.Count(src, []byte("\n")) > 400 }

func TestNoFileOver400Lines(t *testing.T) {
	if !tooLong(bytes.Repeat([]byte("x\n"), 401)) || tooLong(bytes.Repeat([]byte("x\n"), 400)) {
		t.Fatal("self-test: tooLong must report a file of 401 lines and accept one of 400")
	}
	for file, src := range files(t) {
		if tooLong(src) {
			t.Errorf("%s has %d lines, want at most 400: split the file", file, bytes.Count(src, []byte("\n")))
		}
	}
}

// withoutExample lists the exported functions of a file, and exported methods of exported types, whose doc comment
// has no "Example:" line. Functions of commands (package main) need none.
func withoutExample(name string, src []byte) ([]string, error) {
	f, err := parser.ParseFile(token.NewFileSet(), name, src, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, d := range f.Decls {
		x, ok := d.(*ast.FuncDecl)
		if !ok || !x.Name.IsExported() || f.Name.Name == "main" || x.Recv != nil && !ast.IsExported(strings.TrimLeft(string(src[x.Recv.List[0].Type.Pos()-1:x.Recv.List[0].Type.End()-1]), "*")) {
			continue
		}
		if !strings.Contains(x.Doc.Text(), "Example:") {
			found = append(found, x.Name.Name)
		}
	}
	return found, nil
}

func TestPublicFunctionsHaveExamples(t *testing.T) {
	if found, err := withoutExample("x.go", []byte("package x\n// A does.\nfunc A() {}\n// B does.\n//\n// Example: B()\nfunc B() {}\n")); err != nil || len(found) != 1 || found[0] != "A" {
		t.Fatalf("self-test: functions without an example: %q, error %v; want only A", found, err)
	}
	for file, src := range files(t) {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		found, err := withoutExample(file, src)
		if err != nil {
			t.Fatalf("parse source file to find functions without an example: %v", err)
		}
		for _, name := range found {
			t.Errorf("%s: doc comment of %s has no line `Example: …`", file, name)
		}
	}
}

// wallClockCalls lists the positions in a file where the wall clock is read: time.Now, time.Since, time.Until and
// calls of a method named Wall.
func wallClockCalls(name string, src []byte) ([]string, error) {
	fs := token.NewFileSet()
	f, err := parser.ParseFile(fs, name, src, 0)
	if err != nil {
		return nil, err
	}
	var found []string
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && (s.Sel.Name == "Now" || s.Sel.Name == "Since" || s.Sel.Name == "Until") {
				found = append(found, fs.Position(s.Pos()).String())
			}
		}
		if c, ok := n.(*ast.CallExpr); ok { // also calls of the injected wall clock, which programs receive at startup
			if s, ok := c.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "Wall" {
				found = append(found, fs.Position(c.Pos()).String())
			}
		}
		return true
	})
	return found, nil
}

// Decisions must depend on clock.Clock, because the wall clock can be set forwards or back. Only these may read it:
// simulators, the records of the command line, control nodes that report their wall clock, the clock for tests, and
// the code that creates a process's clocks.
func TestNoDecisionByTheWallClock(t *testing.T) {
	if found, err := wallClockCalls("x.go", []byte("package x\nimport \"time\"\nvar a = time.Now()\nvar b = x.Wall()\n")); err != nil || len(found) != 2 {
		t.Fatalf("self-test: reads of the wall clock found at %q, error %v; want 2 positions", found, err)
	}
	allowed := regexp.MustCompile(`/internal/sim/(workersim|storesim|appservicesim|platformsim|loadgen|testbed|clustersim)/|/internal/(clock/clock|cli/runbook|control/controlstate/node|daemon/environment)\.go$`)
	for file, src := range files(t) {
		if strings.HasSuffix(file, "_test.go") || allowed.MatchString(file) {
			continue
		}
		found, err := wallClockCalls(file, src)
		if err != nil {
			t.Fatalf("parse source file to find reads of the wall clock: %v", err)
		}
		for _, position := range found {
			t.Errorf("%s: read of the wall clock in a package that must use clock.Clock", position)
		}
	}
}
