package storage

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/wire"
)

const (
	largeBodyBytes = 200 << 10
	largeRecords   = 5 // number of records that runLargeWorkload appends
)

// runLargeWorkload appends large records, and saves a large snapshot after every second one. It returns the index of
// the last record that was acknowledged before the power was lost.
func runLargeWorkload(disk Disk, body []byte) (acknowledged int) {
	store := openNew(disk)
	if store == nil {
		return 0
	}
	for i := 1; i <= largeRecords; i++ {
		entry := &wire.Entry{Index: uint64(i), Term: 1, Body: body}
		if store.Append([]*wire.Record{{Kind: &wire.Record_Entry{Entry: entry}}}) != nil {
			return i - 1
		}
		if i%2 == 0 {
			if store.SaveSnapshot(&wire.Snapshot{Format: 1, Index: uint64(i), State: body, HardState: &wire.HardState{Incarnation: "a"}}, nil) != nil {
				return i
			}
		}
	}
	return largeRecords
}

// The power is lost within snapshots and records of 200 KB: around the beginning and end of each write, and after
// random bytes in between. All that was acknowledged is recovered, and nothing is read as corrupted.
func TestPowerLossDuringLargeSnapshots(t *testing.T) {
	const ample = 1 << 30
	random := rand.New(rand.NewPCG(1, 7))
	body := make([]byte, largeBodyBytes)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	complete := newMemoryDisk(ample)
	if runLargeWorkload(complete, body) != largeRecords {
		t.Fatal("the workload doesn't complete")
	}
	total := ample - complete.writeBudget
	var losses []int                                         // numbers of bytes after which the power is lost
	for begin := 0; begin < total; begin += largeBodyBytes { // writes begin and end a little after these
		for written := begin; written < min(begin+300, total); written += 3 {
			losses = append(losses, written)
		}
	}
	for range 400 {
		losses = append(losses, random.IntN(total))
	}
	for _, written := range losses {
		disk := newMemoryDisk(written)
		acknowledged := runLargeWorkload(disk, body)
		disk.writeBudget = noLimit
		_, recovered, err := Open(disk)
		if err != nil {
			t.Fatalf("power lost after %d bytes: %v", written, err)
		}
		if got := lastIndex(recovered); got < acknowledged || got > acknowledged+1 {
			t.Fatalf("power lost after %d bytes: %d records acknowledged, %d recovered", written, acknowledged, got)
		}
		if snapshot := recovered.Snapshot; snapshot != nil && snapshot.Index > 0 && !bytes.Equal(snapshot.State, body) {
			t.Fatalf("power lost after %d bytes: the recovered state isn't the one that was saved", written)
		}
	}
	t.Logf("%d losses within %d bytes", len(losses), total)
}
