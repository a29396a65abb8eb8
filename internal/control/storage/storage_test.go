package storage

import (
	"fmt"
	"testing"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// workloadRecords is the number of records that runWorkload appends.
const workloadRecords = 14

func newRecord(index int) *wire.Record {
	return &wire.Record{Kind: &wire.Record_Entry{Entry: &wire.Entry{Index: uint64(index), Term: 1, Body: []byte(fmt.Sprint("body ", index))}}}
}

// runWorkload appends records, and saves a snapshot of all but the last one after every fourth. It returns the
// index of the last record that was acknowledged before the power was lost.
func runWorkload(disk Disk) (acknowledged int) {
	store := openNew(disk)
	if store == nil {
		return 0
	}
	for i := 1; i <= workloadRecords; i++ {
		if store.Append([]*wire.Record{newRecord(i)}) != nil {
			return i - 1
		}
		if i%4 == 0 {
			if store.SaveSnapshot(&wire.Snapshot{Format: 1, Index: uint64(i - 1), HardState: &wire.HardState{Incarnation: "a"}}, []*wire.Record{newRecord(i)}) != nil {
				return i
			}
		}
	}
	return workloadRecords
}

// lastIndex returns the index of the last record that was recovered, from the log or within the snapshot.
func lastIndex(recovered Recovered) int {
	index := 0
	if recovered.Snapshot != nil {
		index = int(recovered.Snapshot.Index)
	}
	for _, record := range recovered.Records {
		index = int(record.GetEntry().Index)
	}
	return index
}

// The power is lost after each single byte that the workload writes: all that was acknowledged is recovered.
func TestPowerLossAtEveryByte(t *testing.T) {
	const ample = 1 << 30
	complete := newMemoryDisk(ample)
	if runWorkload(complete) != workloadRecords {
		t.Fatal("the workload doesn't complete")
	}
	total := ample - complete.writeBudget
	for written := range total {
		disk := newMemoryDisk(written)
		acknowledged := runWorkload(disk)
		disk.writeBudget = noLimit
		_, recovered, err := Open(disk)
		if err != nil {
			t.Fatalf("power lost after %d bytes: %v", written, err)
		}
		if got := lastIndex(recovered); got < acknowledged || got > acknowledged+1 {
			t.Fatalf("power lost after %d bytes: %d records acknowledged, %d recovered", written, acknowledged, got)
		}
	}
}

// A flipped bit either has no effect on what is recovered, or the disk is rejected with errs.DiskFailure. In the
// last record corruption can't be distinguished from a torn append.
func TestBitRotIsDetected(t *testing.T) {
	intact := newMemoryDisk(noLimit)
	want := runWorkload(intact)
	rejected, torn := 0, 0
	intact.forEachFlippedBit(func(name string, i int, disk *memoryDisk) {
		_, recovered, err := Open(disk)
		got := lastIndex(recovered)
		switch {
		case err != nil && errs.KindOf(err) != errs.DiskFailure:
			t.Fatalf("%s byte %d: kind %s", name, i, errs.KindOf(err).Name)
		case err != nil:
			rejected++
		case recovered.TornBytes > 0:
			torn++
			if got != want-1 {
				t.Fatalf("%s byte %d: %d records recovered, want %d", name, i, got, want-1)
			}
		case got != want:
			t.Fatalf("%s byte %d: %d of %d records recovered without an error", name, i, got, want)
		}
	})
	if rejected < 50 || torn == 0 {
		t.Fatalf("rejected %d, torn %d: too few of the flipped bits had an effect", rejected, torn)
	}
}

// After a failed write the store accepts no other.
func TestWritesFailAfterAnError(t *testing.T) {
	disk := newMemoryDisk(noLimit)
	store, _, err := Open(disk)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.SaveSnapshot(&wire.Snapshot{Format: 1, HardState: &wire.HardState{}}, nil); err != nil {
		t.Fatal(err)
	}
	disk.writeBudget = 3
	if store.Append([]*wire.Record{newRecord(1)}) == nil {
		t.Fatal("a record was appended to a full disk")
	}
	disk.writeBudget = noLimit
	if err := store.Append([]*wire.Record{newRecord(2)}); errs.KindOf(err) != errs.DiskFailure {
		t.Fatalf("after a failure: %v", err)
	}
}
