package codecheck

import (
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// deploy/system.toml lists the system packages that its build command needs. External linking needs a C compiler,
// binutils, and libc's headers and startup files; downloading modules over TLS needs CA certificates.
func TestDeployFileListsWhatTheBuildNeeds(t *testing.T) {
	var deploy struct {
		Build    string
		Packages []string
	}
	if _, err := toml.DecodeFile("../../deploy/system.toml", &deploy); err != nil {
		t.Fatalf("decode deploy/system.toml: %v", err)
	}
	if !strings.Contains(deploy.Build, "-linkmode=external") {
		t.Errorf("deploy/system.toml: build command %q does not contain -linkmode=external", deploy.Build)
	}
	for _, needed := range []string{"binutils", "ca-certificates", "gcc", "libc6-dev"} {
		if !slices.Contains(deploy.Packages, needed) {
			t.Errorf("deploy/system.toml: packages %q lack %s, which the build needs", deploy.Packages, needed)
		}
	}
	if !slices.IsSorted(deploy.Packages) || len(slices.Compact(slices.Clone(deploy.Packages))) != len(deploy.Packages) {
		t.Errorf("deploy/system.toml: packages %q are not sorted or have duplicates", deploy.Packages)
	}
}
