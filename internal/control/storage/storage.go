// Package storage keeps the snapshot and the log of one shard on disk. Nothing that was acknowledged is
// lost to a torn write, and nothing corrupted is read silently.
//
// A shard has two slots, used in turn: the snapshot files slot-0 and slot-1, each with a log of what came
// after its snapshot in log-0 and log-1. Each snapshot has a generation, one more than the previous one, and
// goes to the slot of the generation's parity. Saving generation g first writes its log, with the generation
// and the records that remain after the snapshot, and then the snapshot. Until the snapshot is complete,
// snapshot and log of generation g-1 are valid, and their slot isn't written to.
package storage

import (
	"fmt"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Disk is a folder of files. Each call returns once its effect is synced: the content of the file and its
// entry in the folder.
type Disk interface {
	// Read returns the content of a file; exists is false, without an error, if there is none.
	Read(name string) (content []byte, exists bool, err error)
	// Write replaces the content of a file, and creates it if it doesn't exist.
	Write(name string, content []byte) error
	// Append appends to a file that exists.
	Append(name string, content []byte) error
	// Truncate shortens a file to size bytes.
	Truncate(name string, size int) error
}

// Store writes the files of one shard. After a failed write, which may have left part of its content on the disk,
// it returns the same error from every later call and writes nothing.
type Store struct {
	disk       Disk
	generation uint64 // of the current snapshot; 0: none was saved
	logBytes   int    // size of the current log
	failure    error  // of the first failed write
}

func snapshotName(slot uint64) string { return fmt.Sprintf("slot-%d", slot) }
func logName(slot uint64) string      { return fmt.Sprintf("log-%d", slot) }

// slotOf returns the slot of a generation.
func slotOf(generation uint64) uint64 { return generation % slotCount }

// Append appends records to the log and returns once they are synced. Its error is of kind errs.DiskFailure.
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
		s.failure = errs.WrapAs(err, errs.DiskFailure, "append to log")
		return s.failure
	}
	s.logBytes += len(content)
	return nil
}

// SaveSnapshot saves a snapshot as the next generation and starts its log with the records that remain after
// it. Its error is of kind errs.DiskFailure.
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

// LogBytes returns the size of the current log in bytes.
//
// Example: if store.LogBytes() > 1<<20 { compact() }
func (s *Store) LogBytes() int { return s.logBytes }
