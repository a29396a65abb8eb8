package storage

import (
	"errors"
	"fmt"

	"pebbleloom/internal/errs"
)

// CopyPrefix is what the names of the copies begin with that Replace keeps of a disk's files.
type CopyPrefix string

// Prefixes of copies, by why the disk is replaced.
const (
	CorruptedCopies  CopyPrefix = "corrupted-"  // it is corrupted
	SupersededCopies CopyPrefix = "superseded-" // the group was restored without its member
)

// Replace returns a store that replaces what a disk holds: its first snapshot is of a later generation than anything
// that is readable there. Copies of the files are kept under their names with a prefix, for whoever has to find out
// what they held; a later call replaces these. Until a snapshot is saved, the disk stays as it is.
//
// Example: if errors.Is(err, storage.ErrCorrupted) { store, err = storage.Replace(disk, storage.CorruptedCopies) }
func Replace(disk Disk, prefix CopyPrefix) (*Store, error) {
	read, err := readSlots(disk)
	if err != nil {
		return nil, err
	}
	store := &Store{disk: disk}
	var failures []error
	for _, s := range read {
		store.generation = max(store.generation, s.generation, s.logHeader.generation)
		for _, file := range []string{snapshotName(s.number), logName(s.number)} {
			failures = append(failures, keepCopy(disk, file, prefix))
		}
	}
	if err := errors.Join(failures...); err != nil {
		return nil, errs.WrapAs(err, errs.DiskFailure, "copy the files")
	}
	return store, nil
}

// keepCopy copies a file, if it exists, to its name with a prefix.
func keepCopy(disk Disk, file string, prefix CopyPrefix) error {
	content, exists, err := disk.Read(file)
	if err != nil || !exists {
		return err
	}
	if err := disk.Write(string(prefix)+file, content); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
