package storage

import (
	"errors"
	"fmt"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// slotCount is the number of slots of a shard.
const slotCount = 2

// Recovered is the content of a disk when it was opened.
type Recovered struct {
	Snapshot  *wire.Snapshot // newest snapshot; nil on an empty disk
	Records   []*wire.Record // records of the log in the order in which they were appended
	TornBytes int            // size of an incomplete append that was truncated
}

// slot is the decoded content of the files of one slot.
type slot struct {
	number      uint64
	hasSnapshot bool           // the snapshot file exists
	snapshot    *wire.Snapshot // decoded snapshot; nil if the snapshot file cannot be decoded
	generation  uint64         // generation of the snapshot
	hasLog      bool           // the log file exists
	log         []byte         // encoded records of the log; nil if its header cannot be decoded
	logHeader   logHeader      // decoded header of the log; zero if it cannot be decoded
}

// ErrCorrupted is wrapped by the error that Open returns if a disk does not hold what was acknowledged. The member
// that the disk belongs to must not continue under its identity, because it may have lost acknowledged state; see Replace.
var ErrCorrupted = errors.New("corrupted")

// corruptionError returns an error of kind errs.DiskFailure that wraps ErrCorrupted.
func corruptionError(format string, args ...any) error {
	return errs.WrapAs(ErrCorrupted, errs.DiskFailure, fmt.Sprintf(format, args...))
}

// Open recovers the state that a disk holds. On an empty disk Recovered.Snapshot is nil. Its errors are of kind
// errs.DiskFailure; if the disk can be read but does not hold what was acknowledged, the error wraps ErrCorrupted.
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
		return nil, Recovered{}, corruptionError("the disk has state, but no snapshot that can be decoded")
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
			return nil, Recovered{}, errs.WrapAs(err, errs.DiskFailure, "truncate torn append at the end of the log")
		}
	}
	return store, recovered, nil
}

// readSlots reads and decodes the files of all slots.
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

// newestSlot returns the slot with the newest snapshot that can be decoded, or nil if there is none.
func newestSlot(slots [slotCount]*slot) *slot {
	var newest *slot
	for _, s := range slots {
		if s.snapshot != nil && (newest == nil || s.generation > newest.generation) {
			newest = s
		}
	}
	return newest
}

// isEmpty reports whether a disk without a snapshot that can be decoded has never held acknowledged state: it has no
// files, or only those of an interrupted save of the first snapshot, which has generation 1 and goes to slot 1.
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

// checkSuperseded returns an error if the other slot once held a complete snapshot that is newer than the current one
// but cannot be decoded any more. That is so if records were appended to its log, because a store appends to a log
// only after its snapshot is complete.
func checkSuperseded(current, other *slot) error {
	if other.logHeader.generation > current.generation && len(scanLog(other.log).records) > other.logHeader.initialRecords {
		return corruptionError("slot-%d: the snapshot of generation %d cannot be decoded, although records were appended to its log", other.number, other.logHeader.generation)
	}
	return nil
}

// recoverSlot returns the snapshot of a slot and the records of its log, or an error that wraps ErrCorrupted.
func recoverSlot(current *slot) (Recovered, error) {
	if current.logHeader.generation != current.generation {
		return Recovered{}, corruptionError("log-%d has generation %d, but its snapshot has generation %d", current.number, current.logHeader.generation, current.generation)
	}
	scan := scanLog(current.log)
	if scan.corrupted {
		return Recovered{}, corruptionError("log-%d: record at byte %d cannot be decoded, but complete records follow it", current.number, scan.end)
	}
	if len(scan.records) < current.logHeader.initialRecords {
		return Recovered{}, corruptionError("log-%d has %d records, but was created with %d initial records", current.number, len(scan.records), current.logHeader.initialRecords)
	}
	return Recovered{Snapshot: current.snapshot, Records: scan.records, TornBytes: len(current.log) - scan.end}, nil
}
