// Package storage keeps the snapshot and the log of one shard on disk. A torn write does not lose
// acknowledged records, and corrupted content is reported as an error instead of being used.
//
// A shard has two slots that are used alternately. Slot N consists of the snapshot file slot-N and the file
// log-N, which holds the records appended after that snapshot. Each snapshot has a generation, one higher
// than that of the previous snapshot, and is stored in slot generation%2. To save generation g, the store
// first writes the new log file, with the generation and the records that the snapshot does not cover, and
// then the snapshot file. Until the snapshot file is complete, the snapshot and log of generation g-1 stay
// valid; their slot is not written to.
package storage

import (
	"fmt"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Disk is a directory of files. Each method that changes a file returns after the change is synced, including the
// directory entry of a new file.
type Disk interface {
	// Read returns the content of a file. If the file does not exist, it returns false and no error.
	Read(name string) (content []byte, exists bool, err error)
	// Write replaces the content of a file and creates the file if it does not exist.
	Write(name string, content []byte) error
	// Append appends content to an existing file.
	Append(name string, content []byte) error
	// Truncate shortens an existing file to its first size bytes.
	Truncate(name string, size int) error
}

// Store writes the snapshot and log files of one shard. A failed write may leave part of its content on the disk;
// therefore the store writes nothing more after it and returns the same error from every later write.
type Store struct {
	disk       Disk
	generation uint64 // generation of the last saved snapshot; 0 if none has been saved
	logBytes   int    // size in bytes of the current log file
	failure    error  // error of the first write that failed; nil if none has failed
}

func snapshotName(slot uint64) string { return fmt.Sprintf("slot-%d", slot) }
func logName(slot uint64) string      { return fmt.Sprintf("log-%d", slot) }

// slotOf returns the number of the slot in which the snapshot of a generation is stored.
func slotOf(generation uint64) uint64 { return generation % slotCount }

// Append appends records to the log and returns after they are synced to disk. Its errors are of kind
// errs.DiskFailure.
//
// Example: err := store.Append([]*wire.Record{record})
func (s *Store) Append(records []*wire.Record) error {
	if s.failure != nil {
		return s.failure
	}
	if len(records) == 0 {
		return nil
	}
	content := encodeRecords(records)
	if err := s.disk.Append(logName(slotOf(s.generation)), content); err != nil {
		s.failure = errs.WrapAs(err, errs.DiskFailure, "append records to the log file of a shard")
		return s.failure
	}
	s.logBytes += len(content)
	return nil
}

// SaveSnapshot saves a snapshot as the next generation and starts a new log with the given records, which are those
// that the snapshot does not cover. Its errors are of kind errs.DiskFailure.
//
// Example: err := store.SaveSnapshot(snapshot, records)
func (s *Store) SaveSnapshot(snapshot *wire.Snapshot, records []*wire.Record) error {
	if s.failure != nil {
		return s.failure
	}
	generation := s.generation + 1
	log := append(encodeLogHeader(generation, len(records)), encodeRecords(records)...)
	content, err := encodeSnapshot(snapshot, generation)
	if err == nil {
		err = s.disk.Write(logName(slotOf(generation)), log)
	}
	if err == nil {
		err = s.disk.Write(snapshotName(slotOf(generation)), content)
	}
	if err != nil {
		s.failure = errs.WrapAs(err, errs.DiskFailure, "save snapshot")
		return s.failure
	}
	s.generation, s.logBytes = generation, len(log)
	return nil
}

// LogBytes returns the size of the current log file in bytes.
//
// Example: if store.LogBytes() > 1<<20 { compact() }
func (s *Store) LogBytes() int { return s.logBytes }
