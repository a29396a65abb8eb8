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

// openTestShard opens the data in a disk as the member core-2 of a shard with three fixed members.
func openTestShard(t *testing.T, disk storage.Disk) (*shard, error) {
	t.Helper()
	config := consensus.Config{Self: "core-2", Members: []string{"core-2", "core-3", "core-4"}, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(1, 1))}
	return openShard(context.Background(), config, disk, func() string { return "new" }, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
}

// openFirstReleaseShard opens the data directory in testdata/recorded-1, which a control node of the first release has written.
func openFirstReleaseShard(t *testing.T) *shard {
	t.Helper()
	disk := newSimDisk()
	files, err := filepath.Glob("testdata/recorded-1/*")
	if err != nil || len(files) < 2 {
		t.Fatalf("files in testdata/recorded-1: %v, error %v, want at least 2 files", files, err)
	}
	for _, file := range files {
		if disk.files[filepath.Base(file)], err = os.ReadFile(file); err != nil {
			t.Fatalf("reading a file of the first release: %v", err)
		}
	}
	replica, err := openTestShard(t, disk)
	if err != nil {
		t.Fatalf("opening the data directory of the first release: %v", err)
	}
	return replica
}

// The data directory of a control node of the first release must remain readable. The one in testdata/recorded-1 contains
// version 4 of the configuration.
func TestFirstReleaseDataIsReadable(t *testing.T) {
	replica := openFirstReleaseShard(t)
	status := replica.core.Status()
	if status.Blank || status.LastIndex < 4 || status.Term == 0 {
		t.Fatalf("status of the recovered member: %+v, want a member that is not blank (has recovered data), with a term and at least 4 log entries", status)
	}
	for _, entry := range replica.core.UnappliedEntries() { // these entries could only be committed by the peers, which do not run in this test
		replica.applyEntry(entry)
	}
	config, err := serviceconfig.Decode(replica.state.documents[controlclient.ConfigKey].GetBody())
	if err != nil || replica.state.documents[controlclient.ConfigKey].Version != 4 || config.Models["gisa"].Weights != 4 || len(config.Tenants) != 8 {
		t.Fatalf("recovered configuration has version %d: %+v, decoding error %v; want version 4 with 8 tenants and weights 4 of model gisa", replica.state.documents[controlclient.ConfigKey].GetVersion(), config, err)
	}
}

// A snapshot or state in the format of a later release must be rejected when the disk is opened.
func TestLaterFormatsAreRejected(t *testing.T) {
	state, err := proto.Marshal(&wire.ShardState{Format: 2})
	if err != nil {
		t.Fatalf("encoding a state of format 2: %v", err)
	}
	for name, snapshot := range map[string]*wire.Snapshot{
		"snapshot in a later format": {Format: 2, HardState: &wire.HardState{Incarnation: "x"}},
		"state in a later format":    {Format: 1, HardState: &wire.HardState{Incarnation: "x"}, State: state},
	} {
		disk := newSimDisk()
		store, _, err := storage.Open(disk)
		if err != nil {
			t.Fatalf("opening the storage on an empty disk: %v", err)
		}
		if err := store.SaveSnapshot(snapshot, nil); err != nil {
			t.Fatalf("storing a %s: %v", name, err)
		}
		if _, err := openTestShard(t, disk); errs.KindOf(err) != errs.DiskFailure {
			t.Errorf("opening a disk with a %s: error %v, want kind %s", name, err, errs.DiskFailure.Name)
		}
	}
}
