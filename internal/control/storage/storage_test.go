package storage

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// mem is a disk in memory that can be cut at any written byte.
type mem struct {
	f    map[string][]byte
	left int // bytes that may still be written; below zero: no bound
}

func (m *mem) Read(n string) ([]byte, bool, error) { b, ok := m.f[n]; return bytes.Clone(b), ok, nil }

func (m *mem) put(n string, b []byte) error {
	if m.left >= 0 && len(b) > m.left {
		m.f[n], m.left = append(m.f[n], b[:m.left]...), 0
		return errors.New("power lost")
	}
	m.f[n] = append(m.f[n], b...)
	if m.left >= 0 {
		m.left -= len(b)
	}
	return nil
}

func (m *mem) Write(n string, b []byte) error {
	if m.left == 0 {
		return errors.New("power lost")
	}
	m.f[n] = nil
	return m.put(n, b)
}
func (m *mem) Append(n string, b []byte) error { return m.put(n, b) }
func (m *mem) Cut(n string, size int) error    { m.f[n] = m.f[n][:size]; return nil }

func rec(i int) *wire.Record {
	return &wire.Record{Kind: &wire.Record_Entry{Entry: &wire.Entry{Index: uint64(i), Term: 1, Body: []byte(fmt.Sprint("body ", i))}}}
}

// script appends and turns; acked is how far it got before the power went.
func script(d Disk) (acked int) {
	s, _, err := Open(d)
	if err != nil {
		return 0
	}
	if s.SaveSnapshot(&wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: "a"}}, nil) != nil {
		return 0
	}
	for i := 1; i <= 14; i++ {
		if s.Append([]*wire.Record{rec(i)}) != nil {
			return i - 1
		}
		if i%4 == 0 { // the slot swallows all but the last
			if s.SaveSnapshot(&wire.Snapshot{Format: 1, Index: uint64(i - 1), HardState: &wire.HardState{Incarnation: "a"}}, []*wire.Record{rec(i)}) != nil {
				return i
			}
		}
	}
	return 14
}

func held(l Loaded) int {
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
func TestPowerLostAtEveryByte(t *testing.T) {
	whole := &mem{f: map[string][]byte{}, left: 1 << 30}
	if script(whole) != 14 {
		t.Fatal("the script doesn't run through")
	}
	total := 1<<30 - whole.left
	for n := range total {
		m := &mem{f: map[string][]byte{}, left: n}
		acked := script(m)
		m.left = -1
		_, l, err := Open(m)
		if err != nil {
			t.Fatalf("cut after %d bytes: %v", n, err)
		}
		if got := held(l); got < acked || got > acked+1 {
			t.Fatalf("cut after %d bytes: %d acknowledged, %d held", n, acked, got)
		}
	}
}

// Every bit that rots is either without effect on what is held, or refused as DiskBad.
func TestRotIsNeverReadSilently(t *testing.T) {
	good := &mem{f: map[string][]byte{}, left: -1}
	want := script(good)
	refused, torn := 0, 0
	for name, b := range good.f {
		for i := range b {
			m := &mem{f: map[string][]byte{}, left: -1}
			for k, v := range good.f {
				m.f[k] = bytes.Clone(v)
			}
			m.f[name][i] ^= 0x10
			_, l, err := Open(m)
			switch {
			case err != nil && errs.KindOf(err) != errs.DiskBad:
				t.Fatalf("%s byte %d: kind %s", name, i, errs.KindOf(err).Name)
			case err != nil:
				refused++
			case l.Torn > 0: // in the very last record, rot and a torn write look alike
				torn++
				if held(l) != want-1 {
					t.Fatalf("%s byte %d: holds %d", name, i, held(l))
				}
			case held(l) != want:
				t.Fatalf("%s byte %d: holds %d of %d and says nothing", name, i, held(l), want)
			}
		}
	}
	if refused < 50 || torn == 0 {
		t.Fatalf("refused %d, torn %d: the rot didn't reach what matters", refused, torn)
	}
}

// A failed write takes the shelf out for good.
func TestNothingIsWrittenAfterAnError(t *testing.T) {
	m := &mem{f: map[string][]byte{}, left: -1}
	s, _, err := Open(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveSnapshot(&wire.Snapshot{Format: 1, HardState: &wire.HardState{}}, nil); err != nil {
		t.Fatal(err)
	}
	m.left = 3
	if s.Append([]*wire.Record{rec(1)}) == nil {
		t.Fatal("a full disk took a record")
	}
	m.left = -1
	if err := s.Append([]*wire.Record{rec(2)}); errs.KindOf(err) != errs.DiskBad {
		t.Fatalf("after a failure: %v", err)
	}
}
