package storage

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// memoryDisk is a disk in memory that can be cut at any written byte.
type memoryDisk struct {
	files       map[string][]byte
	writeBudget int // bytes that may still be written; below zero: no bound
}

func (d *memoryDisk) Read(n string) ([]byte, bool, error) {
	b, ok := d.files[n]
	return bytes.Clone(b), ok, nil
}

func (d *memoryDisk) append(n string, b []byte) error {
	if d.writeBudget >= 0 && len(b) > d.writeBudget {
		d.files[n], d.writeBudget = append(d.files[n], b[:d.writeBudget]...), 0
		return errors.New("power lost")
	}
	d.files[n] = append(d.files[n], b...)
	if d.writeBudget >= 0 {
		d.writeBudget -= len(b)
	}
	return nil
}

func (d *memoryDisk) Write(n string, b []byte) error {
	if d.writeBudget == 0 {
		return errors.New("power lost")
	}
	d.files[n] = nil
	return d.append(n, b)
}
func (d *memoryDisk) Append(n string, b []byte) error   { return d.append(n, b) }
func (d *memoryDisk) Truncate(n string, size int) error { d.files[n] = d.files[n][:size]; return nil }

func newRecord(i int) *wire.Record {
	return &wire.Record{Kind: &wire.Record_Entry{Entry: &wire.Entry{Index: uint64(i), Term: 1, Body: []byte(fmt.Sprint("body ", i))}}}
}

// runWorkload appends and turns; acked is how far it got before the power went.
func runWorkload(d Disk) (acked int) {
	s, _, err := Open(d)
	if err != nil {
		return 0
	}
	if s.SaveSnapshot(&wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: "a"}}, nil) != nil {
		return 0
	}
	for i := 1; i <= 14; i++ {
		if s.Append([]*wire.Record{newRecord(i)}) != nil {
			return i - 1
		}
		if i%4 == 0 { // the slot swallows all but the last
			if s.SaveSnapshot(&wire.Snapshot{Format: 1, Index: uint64(i - 1), HardState: &wire.HardState{Incarnation: "a"}}, []*wire.Record{newRecord(i)}) != nil {
				return i
			}
		}
	}
	return 14
}

func lastIndex(l Recovered) int {
	n := 0
	if l.Snapshot != nil {
		n = int(l.Snapshot.Index)
	}
	for _, r := range l.Records {
		n = int(r.GetEntry().Index)
	}
	return n
}

// The power is cut after every single byte that the script writes: whatever was
// acknowledged is there again, whole.
func TestPowerLossAtEveryByte(t *testing.T) {
	whole := &memoryDisk{files: map[string][]byte{}, writeBudget: 1 << 30}
	if runWorkload(whole) != 14 {
		t.Fatal("the script doesn't run through")
	}
	total := 1<<30 - whole.writeBudget
	for n := range total {
		m := &memoryDisk{files: map[string][]byte{}, writeBudget: n}
		acked := runWorkload(m)
		m.writeBudget = -1
		_, l, err := Open(m)
		if err != nil {
			t.Fatalf("cut after %d bytes: %v", n, err)
		}
		if got := lastIndex(l); got < acked || got > acked+1 {
			t.Fatalf("cut after %d bytes: %d acknowledged, %d held", n, acked, got)
		}
	}
}

// Every bit that rots is either without effect on what is held, or refused as DiskBad.
func TestBitRotIsDetected(t *testing.T) {
	good := &memoryDisk{files: map[string][]byte{}, writeBudget: -1}
	want := runWorkload(good)
	refused, torn := 0, 0
	for name, b := range good.files {
		for i := range b {
			m := &memoryDisk{files: map[string][]byte{}, writeBudget: -1}
			for k, v := range good.files {
				m.files[k] = bytes.Clone(v)
			}
			m.files[name][i] ^= 0x10
			_, l, err := Open(m)
			switch {
			case err != nil && errs.KindOf(err) != errs.DiskFailure:
				t.Fatalf("%s byte %d: kind %s", name, i, errs.KindOf(err).Name)
			case err != nil:
				refused++
			case l.TornBytes > 0: // in the very last record, rot and a torn write look alike
				torn++
				if lastIndex(l) != want-1 {
					t.Fatalf("%s byte %d: holds %d", name, i, lastIndex(l))
				}
			case lastIndex(l) != want:
				t.Fatalf("%s byte %d: holds %d of %d and says nothing", name, i, lastIndex(l), want)
			}
		}
	}
	if refused < 50 || torn == 0 {
		t.Fatalf("refused %d, torn %d: the rot didn't reach what matters", refused, torn)
	}
}

// A failed write takes the shelf out for good.
func TestWritesFailAfterAnError(t *testing.T) {
	m := &memoryDisk{files: map[string][]byte{}, writeBudget: -1}
	s, _, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveSnapshot(&wire.Snapshot{Format: 1, HardState: &wire.HardState{}}, nil); err != nil {
		t.Fatal(err)
	}
	m.writeBudget = 3
	if s.Append([]*wire.Record{newRecord(1)}) == nil {
		t.Fatal("a full disk took a record")
	}
	m.writeBudget = -1
	if err := s.Append([]*wire.Record{newRecord(2)}); errs.KindOf(err) != errs.DiskFailure {
		t.Fatalf("after a failure: %v", err)
	}
}
