package yard

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs builds all programs once for the fleet tests.
func programs(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	c := exec.Command("go", "build", "-o", bin+"/", "./cmd/...")
	c.Dir = "../.."
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// A short run of each whole site, as separate processes: all is streamed, sealed, checked
// and reconciled, and the placement has a say in where requests go.
func TestWholeSites(t *testing.T) {
	bin := programs(t)
	for i, site := range Sites() {
		t.Run(site, func(t *testing.T) {
			dir := t.TempDir()
			sum, err := Run(context.Background(), Options{Site: site, Dir: dir, Bin: bin, Seconds: 6, Net: 30 + i, Seed: 1, Rate: 15})
			if err != nil {
				for _, n := range []string{"archive-core-1", "runner-edge-1", "dispatcher-edge-1", "appraiser-core-1"} {
					if raw, e := os.ReadFile(filepath.Join(dir, n+".log")); e == nil {
						t.Logf("%s:\n%s", n, raw[max(0, len(raw)-2000):])
					}
				}
				t.Fatal(err)
			}
			if len(sum.Faults) > 0 {
				t.Errorf("faults: %v", sum.Faults)
			}
			if sum.Sealed < sum.Requests*8/10 {
				t.Errorf("%d of %d sealed; denied: %v", sum.Sealed, sum.Requests, sum.Denied)
			}
			if sum.Hit == 0 {
				t.Error("no kept prefix was ever used again")
			}
		})
	}
}
