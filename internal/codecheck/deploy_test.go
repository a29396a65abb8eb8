package codecheck

import (
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// The deploy file lists the system packages that its build command needs: the external linker is a C
// compiler with libc's headers and start files, and modules come over TLS.
func TestDeployFileListsWhatTheBuildNeeds(t *testing.T) {
	var deploy struct {
		Build    string
		Packages []string
	}
	if _, err := toml.DecodeFile("../../deploy/system.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(deploy.Build, "-linkmode=external") {
		t.Errorf("the build command %q doesn't link libc", deploy.Build)
	}
	for _, needed := range []string{"binutils", "ca-certificates", "gcc", "libc6-dev"} {
		if !slices.Contains(deploy.Packages, needed) {
			t.Errorf("packages: %s is missing", needed)
		}
	}
	if !slices.IsSorted(deploy.Packages) || len(slices.Compact(slices.Clone(deploy.Packages))) != len(deploy.Packages) {
		t.Errorf("packages: %v: write each once, in order", deploy.Packages)
	}
}
