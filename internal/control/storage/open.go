package storage

import (
	"errors"
	"fmt"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// slotCount is the number of slots on a disk.
const slotCount = 2

// Recovered is what a disk held when it was opened.
type Recovered struct {
	Snapshot  *wire.Snapshot // nil on an empty disk
	Records   []*wire.Record // in the order in which they were appended
	TornBytes int            // bytes of an incomplete append that were truncated
}

// slot is what the files of one slot hold.
type slot struct {
	number      uint64
	hasSnapshot bool           // the snapshot file exists
	snapshot    *wire.Snapshot // nil if the snapshot file can't be decoded
	generation  uint64         // of snapshot
	hasLog      bool           // the log file exists
	log         []byte         // records of the log; nil if its header can't be decoded
	logHeader   logHeader      // zero if it can't be decoded
}

// ErrCorrupted is wrapped by the error of Open if the content of a disk isn't what was acknowledged. The member that
// it belonged to can't go on under its name: see Replace.
var ErrCorrupted = errors.New("corrupted")

// corruptionError returns an error of kind errs.DiskFailure that wraps ErrCorrupted.
func corruptionError(format string, args ...any) error {
	return errs.WrapAs(ErrCorrupted, errs.DiskFailure, fmt.Sprintf(format, args...))
}

// Open reads what a disk holds. On an empty disk Recovered.Snapshot is nil. A disk that can't be read gives an error of
// kind errs.DiskFailure; one whose content isn't what was acknowledged gives one that wraps ErrCorrupted, too.
//
// Example: store, recovered, err := storage.Open(storage.Directory("/var/lib/pebbleloom/part-0"))
func Open(disk Disk) (*Store, Recovered, error) {
	read, err := readSlots(disk)
	if err != nil {
		return nil, Recovered{}, err
	}
	store := &Store{disk: disk}
	current := newestSlot(read)
	if current == nil {
		if isEmpty(read) {
			return store, Recovered{}, nil
		}
		return nil, Recovered{}, corruptionError("no snapshot can be read, though the folder holds state")
	}
	if err := checkSuperseded(current, read[1-current.number]); err != nil {
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
			return nil, Recovered{}, errs.WrapAs(err, errs.DiskFailure, "truncate torn append")
		}
	}
	return store, recovered, nil
}

// readSlots reads the files of all slots.
func readSlots(disk Disk) (read [slotCount]*slot, err error) {
	var failures errs.Batch
	for number := range read {
		s := &slot{number: uint64(number)}
		read[number] = s
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
	return read, failures.Err()
}

// newestSlot returns the slot with the newest snapshot that can be decoded; nil: there is none.
func newestSlot(read [slotCount]*slot) *slot {
	var newest *slot
	for _, s := range read {
		if s.snapshot != nil && (newest == nil || s.generation > newest.generation) {
			newest = s
		}
	}
	return newest
}

// isEmpty reports whether a disk without a snapshot has held nothing that was acknowledged: it has no files, or
// those of the first snapshot, which was interrupted. That one is of generation 1, in slot 1.
func isEmpty(read [slotCount]*slot) bool {
	unused, first := read[0], read[1]
	if unused.hasSnapshot || unused.hasLog {
		return false
	}
	if first.logHeader.generation == 1 && len(first.log) == 0 {
		return true
	}
	return !first.hasSnapshot && first.log == nil
}

// checkSuperseded returns an error if a newer snapshot than the current one was saved in the other slot and can't be
// decoded: records were appended to its log, which happens only after it was complete.
func checkSuperseded(current, other *slot) error {
	if other.logHeader.generation > current.generation && len(scanLog(other.log).records) > other.logHeader.initialRecords {
		return corruptionError("slot-%d, whose log of generation %d went on after it was written", other.number, other.logHeader.generation)
	}
	return nil
}

// recoverSlot returns the snapshot of a slot and the records of its log.
func recoverSlot(current *slot) (Recovered, error) {
	if current.logHeader.generation != current.generation {
		return Recovered{}, corruptionError("log-%d is of generation %d, its snapshot of %d", current.number, current.logHeader.generation, current.generation)
	}
	scan := scanLog(current.log)
	if scan.corrupted {
		return Recovered{}, corruptionError("log-%d at byte %d, complete records follow", current.number, scan.end)
	}
	if len(scan.records) < current.logHeader.initialRecords {
		return Recovered{}, corruptionError("log-%d holds %d records of the %d it began with", current.number, len(scan.records), current.logHeader.initialRecords)
	}
	return Recovered{Snapshot: current.snapshot, Records: scan.records, TornBytes: len(current.log) - scan.end}, nil
}
