package storage

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/wire"
)

const largeBody = 200 << 10

// runLargeWorkload saves snapshots of 200 KB with large records between; acked is the index that was
// acknowledged last.
func runLargeWorkload(d Disk, body []byte) (acked int) {
	s, _, err := Open(d)
	if err != nil {
		return 0
	}
	if s.SaveSnapshot(&wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: "a"}}, nil) != nil {
		return 0
	}
	for i := 1; i <= 5; i++ {
		e := &wire.Entry{Index: uint64(i), Term: 1, Body: body}
		if s.Append([]*wire.Record{{Kind: &wire.Record_Entry{Entry: e}}}) != nil {
			return i - 1
		}
		if i%2 == 0 {
			if s.SaveSnapshot(&wire.Snapshot{Format: 1, Index: uint64(i), State: body, HardState: &wire.HardState{Incarnation: "a"}}, nil) != nil {
				return i
			}
		}
	}
	return 5
}

// The power is cut within snapshots and records of 200 KB: around where each write begins and ends, and
// at bytes drawn between. What was acknowledged is there, whole, and nothing is read as
// corrupted.
func TestPowerLossDuringLargeSnapshots(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 7))
	body := make([]byte, largeBody)
	for i := range body {
		body[i] = byte(r.Uint32())
	}
	whole := &memoryDisk{files: map[string][]byte{}, writeBudget: 1 << 30}
	if runLargeWorkload(whole, body) != 5 {
		t.Fatal("the script doesn't run through")
	}
	total := 1<<30 - whole.writeBudget
	var cuts []int
	for at := 0; at < total; at += largeBody { // writes begin and end a little behind these
		for n := at; n < min(at+300, total); n += 3 {
			cuts = append(cuts, n)
		}
	}
	for range 400 {
		cuts = append(cuts, r.IntN(total))
	}
	for _, n := range cuts {
		m := &memoryDisk{files: map[string][]byte{}, writeBudget: n}
		acked := runLargeWorkload(m, body)
		m.writeBudget = -1
		_, l, err := Open(m)
		if err != nil {
			t.Fatalf("cut after %d bytes: %v", n, err)
		}
		if got := lastIndex(l); got < acked || got > acked+1 {
			t.Fatalf("cut after %d bytes: %d acknowledged, %d held", n, acked, got)
		}
		if s := l.Snapshot; s != nil && s.Index > 0 && !bytes.Equal(s.State, body) {
			t.Fatalf("cut after %d bytes: another state was read than was saved", n)
		}
	}
	t.Logf("%d cuts within %d bytes", len(cuts), total)
}
