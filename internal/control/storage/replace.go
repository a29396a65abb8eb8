package storage

import (
	"errors"
	"fmt"

	"pebbleloom/internal/errs"
)

// corruptedName returns the name of the copy that Replace keeps of a file.
func corruptedName(file string) string { return "corrupted-" + file }

// Replace returns a store that replaces what a corrupted disk holds: its first snapshot is of a later generation than
// anything that is readable there. Copies of the files are kept under their names with "corrupted-" before them, for
// whoever has to find out what they held; a later call replaces these. Until a snapshot is saved, the disk stays
// corrupted.
//
// Example: if errors.Is(err, storage.ErrCorrupted) { store, err = storage.Replace(disk) }
func Replace(disk Disk) (*Store, error) {
	read, err := readSlots(disk)
	if err != nil {
		return nil, err
	}
	store := &Store{disk: disk}
	var failures []error
	for _, s := range read {
		store.generation = max(store.generation, s.generation, s.logHeader.generation)
		for _, file := range []string{snapshotName(s.number), logName(s.number)} {
			failures = append(failures, keepCopy(disk, file))
		}
	}
	if err := errors.Join(failures...); err != nil {
		return nil, errs.WrapAs(err, errs.DiskFailure, "copy corrupted files")
	}
	return store, nil
}

// keepCopy copies a file, if it exists, to its name as a corrupted one.
func keepCopy(disk Disk, file string) error {
	content, exists, err := disk.Read(file)
	if err != nil || !exists {
		return err
	}
	if err := disk.Write(corruptedName(file), content); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
