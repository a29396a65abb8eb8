package storage

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/wire"
)

const (
	largeBodyBytes = 200 << 10 // size in bytes of each record's body and of each snapshot's state
	largeRecords   = 5         // number of large records that runLargeWorkload appends
)

// runLargeWorkload appends largeRecords records with a large body to a disk and saves a large snapshot after every
// second one. It returns the index of the last record that was acknowledged before the disk lost power.
func runLargeWorkload(disk Disk, body []byte) (acknowledged int) {
	store := createStore(disk)
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

// A disk loses power while snapshots and records of 200 KiB are written: near the start and end of each write, and at
// random points in between. Every acknowledged record must be recovered, with the saved state intact.
func TestPowerLossDuringLargeSnapshots(t *testing.T) {
	const largeBudget = 1 << 30 // write budget in bytes that the workload never uses up, so that the disk does not lose power
	random := rand.New(rand.NewPCG(1, 7))
	body := make([]byte, largeBodyBytes)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	complete := newMemoryDisk(largeBudget)
	if runLargeWorkload(complete, body) != largeRecords {
		t.Fatal("runLargeWorkload did not acknowledge all records on a disk that never loses power")
	}
	total := largeBudget - complete.writeBudget
	var lossPoints []int                                     // numbers of written bytes after which a power loss is simulated
	for begin := 0; begin < total; begin += largeBodyBytes { // each write starts and ends shortly after a multiple of largeBodyBytes
		for written := begin; written < min(begin+300, total); written += 3 {
			lossPoints = append(lossPoints, written)
		}
	}
	for range 400 {
		lossPoints = append(lossPoints, random.IntN(total))
	}
	for _, written := range lossPoints {
		disk := newMemoryDisk(written)
		acknowledged := runLargeWorkload(disk, body)
		disk.writeBudget = noLimit
		_, recovered, err := Open(disk)
		if err != nil {
			t.Fatalf("Open after a power loss at %d written bytes: %v", written, err)
		}
		if got := lastIndex(recovered); got < acknowledged || got > acknowledged+1 {
			t.Fatalf("power loss at %d written bytes: recovered up to record %d, want record %d or the one after it", written, got, acknowledged)
		}
		if snapshot := recovered.Snapshot; snapshot != nil && snapshot.Index > 0 && !bytes.Equal(snapshot.State, body) {
			t.Fatalf("power loss at %d written bytes: the state of the recovered snapshot differs from the saved state", written)
		}
	}
	t.Logf("simulated %d power losses during a workload that writes %d bytes", len(lossPoints), total)
}
