// Package storage keeps one shard's state on disk: two snapshot files written by turns, with a short
// log behind each. Nothing that was acknowledged is lost to a torn write, and nothing corrupted is
// read silently.
//
// slot-0 and slot-1 each hold a whole snapshot under a generation and a checksum; log-0 and log-1
// hold what came after the snapshot of the same number. Saving generation g writes the log first
// (header g, with the records that stay), then the snapshot. Until that is whole, the snapshot and
// the log of generation g-1 hold.
package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Disk is the interface to files. Each call returns once its effect is synced, file and folder.
type Disk interface {
	Read(name string) (b []byte, there bool, err error)
	Write(name string, b []byte) error
	Append(name string, b []byte) error
	Truncate(name string, size int) error
}

const (
	formatMagic           = 0x50424c31 // "PBL1": the format of both kinds of file; a later format gets another
	logHeaderBytes        = 20         // of a log
	recordHeaderBytes     = 12         // of a record in it
	maxRecordBytes        = 16 << 20
	snapshotHeaderBytes   = 12 // of a snapshot file: magic and generation
	snapshotChecksumBytes = 4  // its checksum
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// Store writes a shard's files. After a failed write it refuses every other.
type Store struct {
	disk       Disk
	generation uint64
	logBytes   int // bytes of the log in force
	failure    error
}

// Recovered is what a disk held when it was opened.
type Recovered struct {
	Snapshot  *wire.Snapshot // nil on an empty disk
	Records   []*wire.Record
	TornBytes int // bytes of a torn tail that were cut off
}

// Open reads what the disk holds. An empty disk gives a nil snapshot; a disk that can't be trusted
// gives an error of kind DiskBad.
//
// Example: s, l, err := storage.Open(storage.Folder("/var/lib/pebbleloom/part-0"))
func Open(d Disk) (*Store, Recovered, error) {
	s := &Store{disk: d}
	var l Recovered
	var logs [2][]byte
	var there [4]bool
	var slots [2]*wire.Snapshot
	var gens, lgens [2]uint64
	var rest [2]int
	var b errs.Batch
	for i := range 2 {
		raw, ok, err := d.Read(fmt.Sprintf("slot-%d", i))
		b.Add("slot", errs.WrapAs(err, errs.DiskFailure, "read"))
		there[i] = ok
		slots[i], gens[i] = decodeSnapshot(raw)
		lg, ok, err := d.Read(fmt.Sprintf("log-%d", i))
		b.Add("log", errs.WrapAs(err, errs.DiskFailure, "read"))
		there[2+i] = ok
		if lgens[i], rest[i], ok = decodeLogHeader(lg); ok {
			logs[i] = lg[logHeaderBytes:]
		}
	}
	if err := b.Err(); err != nil {
		return nil, l, err
	}
	if there == [4]bool{} {
		return s, l, nil
	}
	at := -1
	for i := range 2 {
		if slots[i] != nil && (at < 0 || gens[i] > gens[at]) {
			at = i
		}
	}
	if at < 0 {
		// The very first snapshot may have been cut short before anything was acknowledged.
		if lgens[1] == 1 && len(logs[1]) == 0 && !there[0] && !there[2] || !there[0] && !there[1] && !there[2] && logs[1] == nil {
			return s, l, nil
		}
		return nil, l, errs.New(errs.DiskFailure, "no snapshot can be read, though the folder holds state: restore or empty the disk")
	}
	o := 1 - at
	if lgens[o] > gens[at] && len(scanLog(logs[o]).records) > rest[o] {
		return nil, l, errs.New(errs.DiskFailure, "slot-%d is corrupted: its log of generation %d went on after it was written: empty the disk, it is taken in anew", o, lgens[o])
	}
	s.generation, l.Snapshot = gens[at], slots[at]
	if lgens[at] != s.generation {
		return nil, l, errs.New(errs.DiskFailure, "log-%d is of generation %d, its snapshot of %d: empty the disk, it is taken in anew", at, lgens[at], s.generation)
	}
	sc := scanLog(logs[at])
	if sc.corrupted {
		return nil, l, errs.New(errs.DiskFailure, "log-%d is corrupted at byte %d, whole records follow: empty the disk, it is taken in anew", at, sc.end)
	}
	if len(sc.records) < rest[at] {
		return nil, l, errs.New(errs.DiskFailure, "log-%d holds %d records of the %d it began with: empty the disk, it is taken in anew", at, len(sc.records), rest[at])
	}
	l.Records, l.TornBytes = sc.records, len(logs[at])-sc.end
	s.logBytes = logHeaderBytes + sc.end
	if l.TornBytes > 0 {
		if err := d.Truncate(s.logName(), s.logBytes); err != nil {
			return nil, l, errs.WrapAs(err, errs.DiskFailure, "cut torn tail")
		}
	}
	return s, l, nil
}

func (s *Store) logName() string { return fmt.Sprintf("log-%d", s.generation%2) }

// Append puts records behind the log and returns once they are synced.
//
// Example: err := s.Append([]*wire.Record{r})
func (s *Store) Append(rs []*wire.Record) error {
	if s.failure != nil {
		return s.failure
	}
	if len(rs) == 0 {
		return nil
	}
	b := encodeRecords(rs)
	if err := s.disk.Append(s.logName(), b); err != nil {
		s.failure = errs.WrapAs(err, errs.DiskFailure, "append to log")
		return s.failure
	}
	s.logBytes += len(b)
	return nil
}

// SaveSnapshot writes the other snapshot file and starts its log with the records that stay.
//
// Example: err := s.SaveSnapshot(snapshot, rest)
func (s *Store) SaveSnapshot(snapshot *wire.Snapshot, rest []*wire.Record) error {
	if s.failure != nil {
		return s.failure
	}
	g := s.generation + 1
	h := make([]byte, logHeaderBytes)
	binary.LittleEndian.PutUint32(h, formatMagic)
	binary.LittleEndian.PutUint64(h[4:], g)
	binary.LittleEndian.PutUint32(h[12:], uint32(len(rest)))
	binary.LittleEndian.PutUint32(h[16:], crc32.Checksum(h[:16], castagnoliTable))
	log := append(h, encodeRecords(rest)...)
	file, err := encodeSnapshot(snapshot, g)
	if err == nil {
		err = s.disk.Write(fmt.Sprintf("log-%d", g%2), log)
	}
	if err == nil {
		err = s.disk.Write(fmt.Sprintf("slot-%d", g%2), file)
	}
	if err != nil {
		s.failure = errs.WrapAs(err, errs.DiskFailure, "save snapshot")
		return s.failure
	}
	s.generation, s.logBytes = g, len(log)
	return nil
}

// encodeSnapshot gives the bytes of a snapshot file. A snapshot may be large: it is copied once.
func encodeSnapshot(snapshot *wire.Snapshot, generation uint64) ([]byte, error) {
	file := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+proto.Size(snapshot)+snapshotChecksumBytes)
	binary.LittleEndian.PutUint32(file, formatMagic)
	binary.LittleEndian.PutUint64(file[4:], generation)
	file, err := proto.MarshalOptions{}.MarshalAppend(file, snapshot)
	if err != nil {
		return nil, err
	}
	return binary.LittleEndian.AppendUint32(file, crc32.Checksum(file, castagnoliTable)), nil
}

// LogBytes is how long the log in force is, in bytes.
//
// Example: if s.Size() > 1<<20 { compact() }
func (s *Store) LogBytes() int { return s.logBytes }

func decodeSnapshot(b []byte) (*wire.Snapshot, uint64) {
	if len(b) < snapshotHeaderBytes+snapshotChecksumBytes || binary.LittleEndian.Uint32(b) != formatMagic {
		return nil, 0
	}
	n := len(b) - snapshotChecksumBytes
	if crc32.Checksum(b[:n], castagnoliTable) != binary.LittleEndian.Uint32(b[n:]) {
		return nil, 0
	}
	s := &wire.Snapshot{}
	if proto.Unmarshal(b[snapshotHeaderBytes:n], s) != nil {
		return nil, 0
	}
	return s, binary.LittleEndian.Uint64(b[4:])
}

func decodeLogHeader(b []byte) (gen uint64, rest int, ok bool) {
	if len(b) < logHeaderBytes || binary.LittleEndian.Uint32(b) != formatMagic ||
		crc32.Checksum(b[:16], castagnoliTable) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, 0, false
	}
	return binary.LittleEndian.Uint64(b[4:]), int(binary.LittleEndian.Uint32(b[12:])), true
}

func encodeRecords(rs []*wire.Record) []byte {
	var b []byte
	for _, r := range rs {
		body, err := proto.Marshal(r)
		if err != nil {
			panic("storage: a record that can't be marshalled: " + err.Error())
		}
		h := make([]byte, recordHeaderBytes)
		binary.LittleEndian.PutUint32(h, uint32(len(body)))
		binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(h[:4], castagnoliTable))
		binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(body, castagnoliTable))
		b = append(append(b, h...), body...)
	}
	return b
}

// logScan is what could be read of a log.
type logScan struct {
	records   []*wire.Record
	end       int
	corrupted bool
}

// decodeRecord reads the record at the front of b. The length is 0 when the record isn't whole.
func decodeRecord(b []byte) (*wire.Record, int) {
	if len(b) < recordHeaderBytes || crc32.Checksum(b[:4], castagnoliTable) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n > maxRecordBytes || len(b) < recordHeaderBytes+n || crc32.Checksum(b[recordHeaderBytes:recordHeaderBytes+n], castagnoliTable) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0
	}
	r := &wire.Record{}
	if proto.Unmarshal(b[recordHeaderBytes:recordHeaderBytes+n], r) != nil {
		return nil, 0
	}
	return r, recordHeaderBytes + n
}

// scanLog reads up to the first record that isn't whole. Where a whole one follows, the log is
// corrupted in the middle, which the torn end that a crash leaves is not.
func scanLog(b []byte) logScan {
	var s logScan
	for s.end < len(b) {
		r, n := decodeRecord(b[s.end:])
		if n == 0 {
			break
		}
		s.records, s.end = append(s.records, r), s.end+n
	}
	for i := s.end + 1; i < len(b); i++ {
		if r, n := decodeRecord(b[i:]); n > recordHeaderBytes && r.Kind != nil {
			s.corrupted = true
			break
		}
	}
	return s
}
