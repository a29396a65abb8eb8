package controlstate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/wire"
)

// stateOf returns a state whose documents have at most the given total size in bytes.
func stateOf(bytes int) *state {
	s := newState()
	random := rand.New(rand.NewPCG(1, 6))
	const documentSize = 512 << 10
	for i := 0; s.documentBytes+documentSize <= bytes; i++ {
		body := make([]byte, documentSize)
		for j := range body {
			body[j] = byte('a' + random.IntN(26))
		}
		s.applyPut(&wire.Put{Key: fmt.Sprint("document-", i), Body: body, AnyVersion: true})
	}
	return s
}

func BenchmarkStateSave(b *testing.B) {
	for _, size := range []int{1 << 20, 4 << 20, 8 << 20} {
		s := stateOf(size)
		b.Run(fmt.Sprint(size>>20, "MB"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.save(); err != nil {
					b.Fatalf("encoding the state: %v", err)
				}
			}
		})
	}
}

func BenchmarkStateLoad(b *testing.B) {
	for _, size := range []int{1 << 20, 4 << 20, 8 << 20} {
		body, _ := stateOf(size).save()
		b.Run(fmt.Sprint(size>>20, "MB"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := newState().load(body, 0); err != nil {
					b.Fatalf("decoding the state: %v", err)
				}
			}
		})
	}
}

// The simulated disk is in memory, so the benchmark measures CPU time.
func BenchmarkStoreSaveAndOpen(b *testing.B) {
	for _, size := range []int{1 << 20, 4 << 20, 8 << 20} {
		body, _ := stateOf(size).save()
		snapshot := &wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: "a"}, State: body}
		disk := newSimDisk()
		store, _, err := storage.Open(disk)
		if err != nil {
			b.Fatalf("opening the store on an empty disk: %v", err)
		}
		b.Run(fmt.Sprint("save ", size>>20, "MB"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := store.SaveSnapshot(snapshot, nil); err != nil {
					b.Fatalf("saving the snapshot: %v", err)
				}
			}
		})
		b.Run(fmt.Sprint("open ", size>>20, "MB"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := storage.Open(disk); err != nil {
					b.Fatalf("opening the store: %v", err)
				}
			}
		})
	}
}
