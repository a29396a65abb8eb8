package controlstate

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

func openTestShard(t *testing.T, disk storage.Disk) (*shard, error) {
	t.Helper()
	cfg := consensus.Config{Self: "core-2", Members: []string{"core-2", "core-3", "core-4"}, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(1, 1))}
	return openShard(context.Background(), cfg, disk, func() string { return "new" }, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
}

// openRecorded opens the data folder that a core machine of the first release left behind.
func openRecorded(t *testing.T) *shard {
	t.Helper()
	d := newSimDisk()
	files, err := filepath.Glob("testdata/recorded-1/*")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		if d.files[filepath.Base(f)], err = os.ReadFile(f); err != nil {
			t.Fatal(err)
		}
	}
	replica, err := openTestShard(t, d)
	if err != nil {
		t.Fatal(err)
	}
	return replica
}

// The data folder of a control node of the first release is readable: testdata/recorded-1 is one, with the
// configuration at version 4.
func TestFirstReleaseDataIsReadable(t *testing.T) {
	replica := openRecorded(t)
	status := replica.core.Status()
	if status.Blank || status.LastIndex < 4 || status.Term == 0 {
		t.Fatalf("%+v", status)
	}
	for _, entry := range replica.core.UnappliedEntries() { // it would be committed with the peers
		replica.applyEntry(entry)
	}
	config, err := serviceconfig.Decode(replica.state.documents[controlclient.ConfigKey].GetBody())
	if err != nil || replica.state.documents[controlclient.ConfigKey].Version != 4 || config.Models["gisa"].Weights != 4 || len(config.Tenants) != 8 {
		t.Fatalf("version %d, %+v, %v", replica.state.documents[controlclient.ConfigKey].GetVersion(), config, err)
	}
}

// The formats of later releases are rejected.
func TestLaterFormatsAreRejected(t *testing.T) {
	state, err := proto.Marshal(&wire.ShardState{Format: 2})
	if err != nil {
		t.Fatal(err)
	}
	for name, snapshot := range map[string]*wire.Snapshot{
		"a later snapshot": {Format: 2, HardState: &wire.HardState{Incarnation: "x"}},
		"a later state":    {Format: 1, HardState: &wire.HardState{Incarnation: "x"}, State: state},
	} {
		d := newSimDisk()
		store, _, err := storage.Open(d)
		if err != nil {
			t.Fatal(err)
		}
		if err := store.SaveSnapshot(snapshot, nil); err != nil {
			t.Fatal(err)
		}
		if _, err := openTestShard(t, d); errs.KindOf(err) != errs.DiskFailure {
			t.Errorf("%s: %v", name, err)
		}
	}
}
