package storage

import (
	"errors"
	"fmt"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// slotCount is the number of slots of a shard. Each slot holds a snapshot file and the log file of the records after
// it.
const slotCount = 2

// Recovered is the state that Open read from a disk.
type Recovered struct {
	Snapshot  *wire.Snapshot // newest snapshot on the disk; nil if the disk is empty
	Records   []*wire.Record // records appended after the snapshot, oldest first
	TornBytes int            // size in bytes of an incomplete append that Open removed from the end of the log
}

// slot is the decoded content of a slot's snapshot file and log file.
type slot struct {
	number      uint64
	hasSnapshot bool           // whether the snapshot file exists
	snapshot    *wire.Snapshot // decoded content of the snapshot file; nil if it cannot be decoded
	generation  uint64         // generation of the decoded snapshot; 0 if the snapshot file cannot be decoded
	hasLog      bool           // whether the log file exists
	log         []byte         // encoded records of the log file; nil if the header of the file cannot be decoded
	logHeader   logHeader      // decoded header of the log file; zero if the header cannot be decoded
}

// ErrCorrupted is wrapped by the error that Open returns if a disk does not hold all acknowledged state. The replica
// that the disk belongs to must not continue under its identity, because it may have lost acknowledged state; see
// Replace.
var ErrCorrupted = errors.New("corrupted")

// corruptionError returns an error of kind errs.DiskFailure that wraps ErrCorrupted.
func corruptionError(format string, args ...any) error {
	return errs.WrapAs(ErrCorrupted, errs.DiskFailure, fmt.Sprintf(format, args...))
}

// Open recovers the state that a disk holds. On an empty disk Recovered.Snapshot is nil. Its errors are of kind
// errs.DiskFailure; if the disk can be read but does not hold all acknowledged state, the error wraps ErrCorrupted.
//
// Example: store, recovered, err := storage.Open(storage.Directory("/var/lib/pebbleloom/part-0"))
func Open(disk Disk) (*Store, Recovered, error) {
	slots, err := readSlots(disk)
	if err != nil {
		return nil, Recovered{}, err
	}
	store := &Store{disk: disk}
	current := newestSlot(slots)
	if current == nil {
		if isEmpty(slots) {
			return store, Recovered{}, nil
		}
		return nil, Recovered{}, corruptionError("the disk has snapshot or log files, but no snapshot that can be decoded")
	}
	if err := checkSuperseded(current, slots[1-current.number]); err != nil {
		return nil, Recovered{}, err
	}
	recovered, err := recoverSlot(current)
	if err != nil {
		return nil, Recovered{}, err
	}
	store.generation = current.generation
	store.logBytes = logHeaderBytes + len(current.log) - recovered.TornBytes
	if recovered.TornBytes > 0 {
		if err := disk.Truncate(logName(slotOf(store.generation)), store.logBytes); err != nil {
			return nil, Recovered{}, errs.WrapAs(err, errs.DiskFailure, "truncate log file to remove an incomplete append at its end")
		}
	}
	return store, recovered, nil
}

// readSlots reads and decodes the snapshot and log files of all slots of a disk.
func readSlots(disk Disk) (slots [slotCount]*slot, err error) {
	var failures errs.Batch
	for number := range slots {
		s := &slot{number: uint64(number)}
		slots[number] = s
		content, exists, err := disk.Read(snapshotName(s.number))
		failures.Add("slot", errs.WrapAs(err, errs.DiskFailure, "read"))
		s.hasSnapshot = exists
		s.snapshot, s.generation = decodeSnapshot(content)
		content, exists, err = disk.Read(logName(s.number))
		failures.Add("log", errs.WrapAs(err, errs.DiskFailure, "read"))
		s.hasLog = exists
		if header, ok := decodeLogHeader(content); ok {
			s.logHeader, s.log = header, content[logHeaderBytes:]
		}
	}
	return slots, failures.Err()
}

// newestSlot returns the slot with the newest decodable snapshot, or nil if no snapshot can be decoded.
func newestSlot(slots [slotCount]*slot) *slot {
	var newest *slot
	for _, s := range slots {
		if s.snapshot != nil && (newest == nil || s.generation > newest.generation) {
			newest = s
		}
	}
	return newest
}

// isEmpty reports whether a disk without a decodable snapshot has never held acknowledged state. That is so if the
// disk has no files, or only those of an interrupted save of the first snapshot, which has generation 1 and goes to
// slot 1.
func isEmpty(slots [slotCount]*slot) bool {
	unused, first := slots[0], slots[1]
	if unused.hasSnapshot || unused.hasLog {
		return false
	}
	if first.logHeader.generation == 1 && len(first.log) == 0 {
		return true
	}
	return !first.hasSnapshot && first.log == nil
}

// checkSuperseded returns an error if the other slot once held a complete snapshot that is newer than the current
// one but cannot be decoded any more. Records in the log of the other slot, beyond the initial ones, show this: a
// store appends to a log only after the snapshot of the same slot is complete.
func checkSuperseded(current, other *slot) error {
	if other.logHeader.generation > current.generation && len(scanLog(other.log).records) > other.logHeader.initialRecords {
		return corruptionError("snapshot file slot-%d of generation %d cannot be decoded, although records were appended to the log file of the same slot", other.number, other.logHeader.generation)
	}
	return nil
}

// recoverSlot returns the snapshot of a slot and the records of its log, or an error that wraps ErrCorrupted.
func recoverSlot(current *slot) (Recovered, error) {
	if current.logHeader.generation != current.generation {
		return Recovered{}, corruptionError("log file log-%d has generation %d, but the snapshot in the same slot has generation %d", current.number, current.logHeader.generation, current.generation)
	}
	scan := scanLog(current.log)
	if scan.corrupted {
		return Recovered{}, corruptionError("log file log-%d: record at offset %d of the records cannot be decoded, but complete records follow it", current.number, scan.end)
	}
	if len(scan.records) < current.logHeader.initialRecords {
		return Recovered{}, corruptionError("log file log-%d has %d records, but was created with %d initial records", current.number, len(scan.records), current.logHeader.initialRecords)
	}
	return Recovered{Snapshot: current.snapshot, Records: scan.records, TornBytes: len(current.log) - scan.end}, nil
}
