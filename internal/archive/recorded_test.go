package archive

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/ledger"
	"pebbleloom/internal/link"
	"pebbleloom/internal/setup"
	"pebbleloom/internal/shelf"
	"pebbleloom/internal/wire"
)

func open(t *testing.T, d shelf.Disk) (*part, error) {
	t.Helper()
	cfg := ledger.Config{Self: "core-2", Members: []string{"core-2", "core-3", "core-4"}, BeatTicks: 2, ElectTicks: 12, MaxBytes: 4096, Rand: rand.New(rand.NewPCG(1, 1))}
	return openPart(context.Background(), cfg, d, func() string { return "new" }, &clock.Hand{}, hclog.NewNullLogger(), func(*wire.Letter) {})
}

// A data folder that a core machine of the first release left behind is read as it was:
// testdata/recorded-1 is such a folder, with the setup at epoch 4.
func TestDataOfTheFirstReleaseIsRead(t *testing.T) {
	d := newSimDisk()
	fs, err := filepath.Glob("testdata/recorded-1/*")
	if err != nil || len(fs) < 2 {
		t.Fatalf("%v, %v", fs, err)
	}
	for _, f := range fs {
		if d.f[filepath.Base(f)], err = os.ReadFile(f); err != nil {
			t.Fatal(err)
		}
	}
	p, err := open(t, d)
	if err != nil {
		t.Fatal(err)
	}
	s := p.core.Stands()
	if s.Blank || s.Last < 4 || s.Term == 0 {
		t.Fatalf("%+v", s)
	}
	for _, e := range p.core.Unsettled() { // it commits with the colleagues; here it is enough that it is read
		p.commit(e)
	}
	x, err := setup.Read(p.st.docs[link.SetupKey].GetBody())
	if err != nil || p.st.docs[link.SetupKey].Epoch != 4 || x.Models["gisa"].Weights != 4 || len(x.Tenants) != 8 {
		t.Fatalf("epoch %d, %+v, %v", p.st.docs[link.SetupKey].GetEpoch(), x, err)
	}
}

// What a later release wrote is refused, not guessed at.
func TestLaterShapesAreDenied(t *testing.T) {
	state, err := proto.Marshal(&wire.PartState{Epoch: 2})
	if err != nil {
		t.Fatal(err)
	}
	for name, slot := range map[string]*wire.Slot{
		"a later slot":  {Epoch: 2, Hard: &wire.Hard{Incarnation: "x"}},
		"a later state": {Epoch: 1, Hard: &wire.Hard{Incarnation: "x"}, State: state},
	} {
		d := newSimDisk()
		sh, _, err := shelf.Open(d)
		if err != nil {
			t.Fatal(err)
		}
		if err := sh.Turn(slot, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := open(t, d); errs.KindOf(err) != errs.DiskBad {
			t.Errorf("%s: %v", name, err)
		}
	}
}
