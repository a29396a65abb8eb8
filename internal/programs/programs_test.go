package programs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each program must have a main package in cmd under its current name, and the Makefile must link its former name to it.
func TestEveryRenamedProgramIsBuiltAndLinked(t *testing.T) {
	makefile, err := os.ReadFile("../../Makefile")
	if err != nil {
		t.Fatalf("read Makefile: %v", err)
	}
	links := regexp.MustCompile(`([a-z-]+):([a-z]+)`).FindAllStringSubmatch(string(makefile), -1)
	linked := map[string]string{}
	for _, l := range links {
		linked[l[2]] = l[1]
	}
	directories, err := os.ReadDir("../../cmd")
	if err != nil {
		t.Fatalf("list the programs in cmd: %v", err)
	}
	if len(directories) != len(Programs()) {
		t.Errorf("cmd has %d programs, but programs.Programs lists %d", len(directories), len(Programs()))
	}
	for _, p := range Programs() {
		t.Run(p.First, func(t *testing.T) {
			source, err := os.ReadFile(filepath.Join("../../cmd", p.Name, "main.go"))
			if err != nil {
				t.Fatalf("read the source of %s: %v", p.Name, err)
			}
			if !strings.HasPrefix(string(source), "// Command "+p.Name+" ") {
				t.Errorf("the doc comment of cmd/%s/main.go doesn't begin with \"Command %s\"", p.Name, p.Name)
			}
			if linked[p.First] != p.Name {
				t.Errorf("the Makefile links the former name %s to %q, want %s", p.First, linked[p.First], p.Name)
			}
		})
	}
}

func TestFindTakesTheFirstNameOfAnEarlierRelease(t *testing.T) {
	for _, p := range Programs() {
		t.Run(p.First, func(t *testing.T) {
			earlier, both := t.TempDir(), t.TempDir()
			for _, path := range []string{filepath.Join(earlier, p.First), filepath.Join(both, p.First), filepath.Join(both, p.Name)} {
				if err := os.WriteFile(path, nil, 0o700); err != nil {
					t.Fatalf("create program file: %v", err)
				}
			}
			if got := Find(earlier, p.Name); got != filepath.Join(earlier, p.First) {
				t.Errorf("Find in a directory with only the former name: got %s, want %s", got, filepath.Join(earlier, p.First))
			}
			if got := Find(both, p.Name); got != filepath.Join(both, p.Name) {
				t.Errorf("Find in a directory with the former and the current name: got %s, want %s", got, filepath.Join(both, p.Name))
			}
			if got := Find(t.TempDir(), p.Name); filepath.Base(got) != p.Name {
				t.Errorf("Find in an empty directory: got %s, want the current name %s", got, p.Name)
			}
		})
	}
}
