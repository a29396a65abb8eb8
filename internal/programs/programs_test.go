package programs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Every program that was renamed is built under its name, and the Makefile links its first name to it.
func TestEveryRenamedProgramIsBuiltAndLinked(t *testing.T) {
	makefile, err := os.ReadFile("../../Makefile")
	if err != nil {
		t.Fatal(err)
	}
	links := regexp.MustCompile(`([a-z-]+):([a-z]+)`).FindAllStringSubmatch(string(makefile), -1)
	linked := map[string]string{}
	for _, l := range links {
		linked[l[2]] = l[1]
	}
	folders, err := os.ReadDir("../../cmd")
	if err != nil {
		t.Fatal(err)
	}
	if len(folders) != len(Programs()) {
		t.Errorf("cmd holds %d programs, the table has %d", len(folders), len(Programs()))
	}
	for _, p := range Programs() {
		t.Run(p.First, func(t *testing.T) {
			source, err := os.ReadFile(filepath.Join("../../cmd", p.Name, "main.go"))
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasPrefix(string(source), "// Command "+p.Name+" ") {
				t.Errorf("cmd/%s/main.go doesn't begin with its name", p.Name)
			}
			if linked[p.First] != p.Name {
				t.Errorf("the Makefile links %s to %q, not to %s", p.First, linked[p.First], p.Name)
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
					t.Fatal(err)
				}
			}
			if got := Find(earlier, p.Name); got != filepath.Join(earlier, p.First) {
				t.Errorf("in the folder of an earlier release: %s", got)
			}
			if got := Find(both, p.Name); got != filepath.Join(both, p.Name) {
				t.Errorf("in a folder with both: %s", got)
			}
			if got := Find(t.TempDir(), p.Name); filepath.Base(got) != p.Name {
				t.Errorf("in an empty folder: %s", got)
			}
		})
	}
}
