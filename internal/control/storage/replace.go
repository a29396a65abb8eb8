package storage

import (
	"errors"
	"fmt"

	"pebbleloom/internal/errs"
)

// CopyPrefix is the prefix of the names under which Replace keeps copies of a disk's files.
type CopyPrefix string

// Prefixes of copies, by the reason for the replacement.
const (
	CorruptedCopies  CopyPrefix = "corrupted-"  // the disk is corrupted
	SupersededCopies CopyPrefix = "superseded-" // the group was restored without the member that the disk belongs to
)

// Replace returns a store that replaces the content of a disk: its first snapshot gets a higher generation than
// any that can be decoded on the disk, so that Open prefers it. Replace first copies the files to names with a
// prefix, for a later investigation; a later call with the same prefix overwrites the copies. The files themselves
// stay unchanged until a snapshot is saved.
//
// Example: if errors.Is(err, storage.ErrCorrupted) { store, err = storage.Replace(disk, storage.CorruptedCopies) }
func Replace(disk Disk, prefix CopyPrefix) (*Store, error) {
	slots, err := readSlots(disk)
	if err != nil {
		return nil, err
	}
	store := &Store{disk: disk}
	var failures []error
	for _, s := range slots {
		store.generation = max(store.generation, s.generation, s.logHeader.generation)
		for _, file := range []string{snapshotName(s.number), logName(s.number)} {
			failures = append(failures, copyFile(disk, file, prefix))
		}
	}
	if err := errors.Join(failures...); err != nil {
		return nil, errs.WrapAs(err, errs.DiskFailure, "keep copies of the files of the replaced disk")
	}
	return store, nil
}

// copyFile copies a file to its name with a prefix. A file that does not exist is skipped.
func copyFile(disk Disk, file string, prefix CopyPrefix) error {
	content, exists, err := disk.Read(file)
	if err != nil || !exists {
		return err
	}
	if err := disk.Write(string(prefix)+file, content); err != nil {
		return fmt.Errorf("write copy of %s: %w", file, err)
	}
	return nil
}
