package storage

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// File formats, with sizes in bytes. Integers are little-endian, checksums are CRC-32C.
//
//	snapshot file: magic (4), generation (8), encoded wire.Snapshot, checksum of everything before it (4)
//	log file:      magic (4), generation (8), number of initial records (4), checksum of these fields (4), records
//	record:        size of the body (4), checksum of the size (4), checksum of the body (4), body: encoded wire.Record
const (
	// formatMagic ("PBL1") begins snapshot and log files of this format. A later format needs another value.
	formatMagic = 0x50424c31

	logHeaderBytes        = 20
	recordHeaderBytes     = 12
	snapshotHeaderBytes   = 12
	snapshotChecksumBytes = 4

	// maxRecordBytes is the maximum size in bytes of a log record's body. A size field with a larger value is
	// treated as corruption.
	maxRecordBytes = 16 << 20
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(content []byte) uint32 { return crc32.Checksum(content, castagnoliTable) }

// logHeader is the decoded header of a log file.
type logHeader struct {
	generation     uint64 // generation of the snapshot after which the log's records were appended
	initialRecords int    // number of records that were written to the log file together with its header
}

// encodeSnapshot returns the content of the file of a snapshot. It allocates the buffer at its final size, because a
// snapshot may be large.
func encodeSnapshot(snapshot *wire.Snapshot, generation uint64) ([]byte, error) {
	content := make([]byte, snapshotHeaderBytes, snapshotHeaderBytes+proto.Size(snapshot)+snapshotChecksumBytes)
	binary.LittleEndian.PutUint32(content, formatMagic)
	binary.LittleEndian.PutUint64(content[4:], generation)
	content, err := proto.MarshalOptions{}.MarshalAppend(content, snapshot)
	if err != nil {
		return nil, err
	}
	return binary.LittleEndian.AppendUint32(content, checksum(content)), nil
}

// decodeSnapshot returns the snapshot in the content of a snapshot file and its generation, or nil and 0 if the
// content is incomplete or corrupted.
func decodeSnapshot(content []byte) (*wire.Snapshot, uint64) {
	if len(content) < snapshotHeaderBytes+snapshotChecksumBytes || binary.LittleEndian.Uint32(content) != formatMagic {
		return nil, 0
	}
	end := len(content) - snapshotChecksumBytes
	if checksum(content[:end]) != binary.LittleEndian.Uint32(content[end:]) {
		return nil, 0
	}
	snapshot := &wire.Snapshot{}
	if proto.Unmarshal(content[snapshotHeaderBytes:end], snapshot) != nil {
		return nil, 0
	}
	return snapshot, binary.LittleEndian.Uint64(content[4:])
}

func encodeLogHeader(generation uint64, initialRecords int) []byte {
	header := make([]byte, logHeaderBytes)
	binary.LittleEndian.PutUint32(header, formatMagic)
	binary.LittleEndian.PutUint64(header[4:], generation)
	binary.LittleEndian.PutUint32(header[12:], uint32(initialRecords))
	binary.LittleEndian.PutUint32(header[16:], checksum(header[:16]))
	return header
}

// decodeLogHeader decodes the header of a log file. It returns false if the header is incomplete or corrupted.
func decodeLogHeader(content []byte) (logHeader, bool) {
	if len(content) < logHeaderBytes || binary.LittleEndian.Uint32(content) != formatMagic ||
		checksum(content[:16]) != binary.LittleEndian.Uint32(content[16:]) {
		return logHeader{}, false
	}
	return logHeader{
		generation:     binary.LittleEndian.Uint64(content[4:]),
		initialRecords: int(binary.LittleEndian.Uint32(content[12:])),
	}, true
}

// encodeRecords returns records in the encoding that log files use.
func encodeRecords(records []*wire.Record) []byte {
	var content []byte
	for _, record := range records {
		body, err := proto.Marshal(record)
		if err != nil {
			panic("storage: marshal log record: " + err.Error())
		}
		header := make([]byte, recordHeaderBytes)
		binary.LittleEndian.PutUint32(header, uint32(len(body)))
		binary.LittleEndian.PutUint32(header[4:], checksum(header[:4]))
		binary.LittleEndian.PutUint32(header[8:], checksum(body))
		content = append(append(content, header...), body...)
	}
	return content
}

// decodeRecord returns the log record at the start of content and its encoded size in bytes, or nil and 0 if the
// record is incomplete or corrupted.
func decodeRecord(content []byte) (record *wire.Record, size int) {
	if len(content) < recordHeaderBytes || checksum(content[:4]) != binary.LittleEndian.Uint32(content[4:]) {
		return nil, 0
	}
	end := recordHeaderBytes + int(binary.LittleEndian.Uint32(content))
	if end > recordHeaderBytes+maxRecordBytes || len(content) < end || checksum(content[recordHeaderBytes:end]) != binary.LittleEndian.Uint32(content[8:]) {
		return nil, 0
	}
	record = &wire.Record{}
	if proto.Unmarshal(content[recordHeaderBytes:end], record) != nil {
		return nil, 0
	}
	return record, end
}

// logScan is the result of decoding the records of a log file.
type logScan struct {
	records   []*wire.Record
	end       int  // offset of the first byte after the last decoded record
	corrupted bool // whether complete records follow a record that cannot be decoded
}

// scanLog decodes the records of a log up to the first record that cannot be decoded. An interrupted append leaves
// an incomplete record at the end of the log; if complete records follow the one that cannot be decoded, the log is
// corrupted.
func scanLog(content []byte) logScan {
	var scan logScan
	for scan.end < len(content) {
		record, size := decodeRecord(content[scan.end:])
		if size == 0 {
			break
		}
		scan.records, scan.end = append(scan.records, record), scan.end+size
	}
	for offset := scan.end + 1; offset < len(content); offset++ {
		if record, size := decodeRecord(content[offset:]); size > recordHeaderBytes && record.Kind != nil {
			scan.corrupted = true
			break
		}
	}
	return scan
}
