package controlstate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/wire"
)

// stateOf is a state with documents of so many bytes in all.
func stateOf(bytes int) *state {
	s := newState()
	random := rand.New(rand.NewPCG(1, 6))
	const document = 512 << 10
	for i := 0; s.documentBytes+document <= bytes; i++ {
		body := make([]byte, document)
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
					b.Fatal(err)
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
					b.Fatal(err)
				}
			}
		})
	}
}

// The disk is in memory: what is measured is the processor's time.
func BenchmarkStoreSaveAndOpen(b *testing.B) {
	for _, size := range []int{1 << 20, 4 << 20, 8 << 20} {
		body, _ := stateOf(size).save()
		snapshot := &wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: "a"}, State: body}
		disk := newSimDisk()
		store, _, err := storage.Open(disk)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("save ", size>>20, "MB"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := store.SaveSnapshot(snapshot, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprint("open ", size>>20, "MB"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := storage.Open(disk); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
