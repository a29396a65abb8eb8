package storage

import (
	"errors"
	"fmt"

	"pebbleloom/internal/errs"
)

// CopyPrefix is a prefix of the names under which Replace keeps copies of a disk's files.
type CopyPrefix string

// Prefixes of the copies that Replace keeps, by the reason for the replacement.
const (
	CorruptedCopies  CopyPrefix = "corrupted-"  // prefix of copies that are kept because the disk is corrupted
	SupersededCopies CopyPrefix = "superseded-" // prefix of copies that are kept because the replication group was restored without the replica that the disk belongs to
)

// Replace returns a store that replaces the content of a disk: its first snapshot gets a higher generation than any
// that can be decoded on the disk, so that Open prefers that snapshot. Replace first copies the disk's files to
// names with a prefix, for a later investigation; another call with the same prefix overwrites the copies. The
// original files stay unchanged until a snapshot is saved.
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
		return nil, errs.WrapAs(err, errs.DiskFailure, "copy the files of a storage disk before its content is replaced")
	}
	return store, nil
}

// copyFile copies a file of a disk to its name with a prefix. It does nothing if the file does not exist.
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
