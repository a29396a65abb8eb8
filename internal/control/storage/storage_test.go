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

// runWorkload appends workloadRecords records to a disk. After every fourth one it saves a snapshot of all records
// except the last, which becomes the initial record of the new log. It returns the index of the last record that was
// acknowledged before the disk lost power.
func runWorkload(disk Disk) (acknowledged int) {
	store := createStore(disk)
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

// lastIndex returns the index of the last recovered record. That record is in the log or covered by the snapshot.
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

// After a power loss at any byte that a workload writes, every acknowledged record is recovered.
func TestPowerLossAtEveryByte(t *testing.T) {
	const largeBudget = 1 << 30 // write budget in bytes that the workload never uses up, so that the disk does not lose power
	complete := newMemoryDisk(largeBudget)
	if runWorkload(complete) != workloadRecords {
		t.Fatal("workload did not complete on a disk without power loss")
	}
	total := largeBudget - complete.writeBudget
	for written := range total {
		disk := newMemoryDisk(written)
		acknowledged := runWorkload(disk)
		disk.writeBudget = noLimit
		_, recovered, err := Open(disk)
		if err != nil {
			t.Fatalf("Open after a power loss at %d written bytes: %v", written, err)
		}
		if got := lastIndex(recovered); got < acknowledged || got > acknowledged+1 {
			t.Fatalf("power loss at %d written bytes: recovered up to record %d, want record %d or the one after it", written, got, acknowledged)
		}
	}
}

// If a bit is flipped on the disk, Open either recovers the same records or fails with an error of kind
// errs.DiskFailure. In the last record of the log, corruption cannot be distinguished from a torn append; Open then
// drops that record.
func TestBitRotIsDetected(t *testing.T) {
	intact := newMemoryDisk(noLimit)
	want := runWorkload(intact)
	rejected, torn := 0, 0
	intact.forEachFlippedBit(func(name string, i int, disk *memoryDisk) {
		_, recovered, err := Open(disk)
		got := lastIndex(recovered)
		switch {
		case err != nil && errs.KindOf(err) != errs.DiskFailure:
			t.Fatalf("Open with a flipped bit in byte %d of %s: error kind %s, want %s", i, name, errs.KindOf(err).Name, errs.DiskFailure.Name)
		case err != nil:
			rejected++
		case recovered.TornBytes > 0:
			torn++
			if got != want-1 {
				t.Fatalf("Open with a flipped bit in byte %d of %s truncated the log: recovered up to record %d, want %d", i, name, got, want-1)
			}
		case got != want:
			t.Fatalf("Open with a flipped bit in byte %d of %s, without an error: recovered up to record %d, want %d", i, name, got, want)
		}
	})
	if rejected < 50 || torn == 0 {
		t.Fatalf("flipped bits that Open rejected: %d, want at least 50; taken for a torn append: %d, want at least 1", rejected, torn)
	}
}

// After a failed write to a store, every later write fails as well, even if the disk works again.
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
		t.Fatal("Append of a record beyond the write budget of the disk: no error")
	}
	disk.writeBudget = noLimit
	if err := store.Append([]*wire.Record{newRecord(2)}); errs.KindOf(err) != errs.DiskFailure {
		t.Fatalf("Append after a failed write: error %v, want one of kind %s", err, errs.DiskFailure.Name)
	}
}
