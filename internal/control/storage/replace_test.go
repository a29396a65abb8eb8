package storage

import (
	"bytes"
	"errors"
	"testing"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// corruptedDisks returns copies of an intact disk, each with one flipped bit that Open reports as corruption.
func corruptedDisks(t *testing.T, intact *memoryDisk) (disks []*memoryDisk) {
	t.Helper()
	intact.forEachFlippedBit(func(name string, i int, disk *memoryDisk) {
		_, _, err := Open(disk)
		if err == nil {
			return
		}
		if !errors.Is(err, ErrCorrupted) || errs.KindOf(err) != errs.DiskFailure {
			t.Fatalf("Open with a flipped bit in byte %d of %s: error %v, want ErrCorrupted of kind %s", i, name, err, errs.DiskFailure.Name)
		}
		disks = append(disks, disk)
	})
	return disks
}

// After a corrupted disk is replaced, Open recovers the new state, and copies of the corrupted files are kept. If
// the power is lost during the replacement, Open either still reports corruption or recovers the new state; it never
// recovers an older state.
func TestReplaceACorruptedDisk(t *testing.T) {
	intact := newMemoryDisk(noLimit)
	runWorkload(intact)
	disks := corruptedDisks(t, intact)
	if len(disks) < 50 {
		t.Fatalf("flipped bits that Open reported as corruption: %d, want at least 50", len(disks))
	}
	replaced := 0
	for _, corrupted := range disks {
		for budget := 0; ; budget += 1 + budget/8 {
			disk := corrupted.clone()
			disk.writeBudget = budget
			done := replaceDisk(disk)
			disk.writeBudget = noLimit
			_, recovered, err := Open(disk)
			if isReplaced := err == nil && recovered.Snapshot.GetHardState().GetIncarnation() == "new"; !isReplaced && (done || !errors.Is(err, ErrCorrupted)) {
				t.Fatalf("Open after a replacement with a write budget of %d bytes (completed: %v): snapshot %v, error %v; want the new snapshot, or ErrCorrupted if not completed", budget, done, recovered.Snapshot, err)
			}
			if done {
				checkCopies(t, corrupted, disk)
				replaced++
				break
			}
		}
	}
	if replaced != len(disks) {
		t.Errorf("Replace was run successfully on %d corrupted disks, want %d", replaced, len(disks))
	}
}

// replaceDisk replaces the content of a disk by a first snapshot whose incarnation is "new". It returns false if the
// replacement fails.
func replaceDisk(disk Disk) bool {
	store, err := Replace(disk, CorruptedCopies)
	return err == nil && store.SaveSnapshot(&wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: "new"}}, nil) == nil
}

// checkCopies checks that a replaced disk has intact copies of all files of the corrupted disk.
func checkCopies(t *testing.T, corrupted, disk *memoryDisk) {
	t.Helper()
	for name, content := range corrupted.files {
		if !bytes.Equal(disk.files["corrupted-"+name], content) {
			t.Errorf("copy of corrupted file %s after the replacement: missing or different", name)
		}
	}
}
