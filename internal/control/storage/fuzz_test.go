package storage

import "testing"

// Open returns a store or an error for any content of the files, and never panics. To run the fuzzer:
// go test ./internal/control/storage -fuzz FuzzDisks
func FuzzDisks(f *testing.F) {
	f.Add([]byte{}, []byte{}, []byte{}, []byte{})
	f.Add([]byte("1LBP\x00\x00"), []byte("1LBP"), []byte{0, 0}, []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, slot0, slot1, log0, log1 []byte) {
		disk := newMemoryDisk(noLimit)
		for name, content := range map[string][]byte{"slot-0": slot0, "slot-1": slot1, "log-0": log0, "log-1": log1} {
			if len(content) > 0 {
				disk.files[name] = content
			}
		}
		if store, _, err := Open(disk); err == nil && store == nil {
			t.Fatal("Open of a disk with arbitrary files returned neither a store nor an error")
		}
	})
}
