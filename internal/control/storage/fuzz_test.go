package storage

import (
	"errors"
	"testing"
)

type mapDisk map[string][]byte

func (d mapDisk) Read(n string) ([]byte, bool, error) { b, ok := d[n]; return b, ok, nil }
func (d mapDisk) Write(n string, b []byte) error      { d[n] = append([]byte(nil), b...); return nil }
func (d mapDisk) Append(n string, b []byte) error     { d[n] = append(d[n], b...); return nil }
func (d mapDisk) Truncate(n string, size int) error {
	if size > len(d[n]) {
		return errors.New("cut beyond the end")
	}
	d[n] = d[n][:size]
	return nil
}

// Whatever lies on a disk is read, or denied as rot; nothing makes the reader fall over.
// `go test ./internal/control/storage -fuzz FuzzDisks`
func FuzzDisks(f *testing.F) {
	f.Add([]byte{}, []byte{}, []byte{}, []byte{})
	f.Add([]byte("1LBP\x00\x00"), []byte("1LBP"), []byte{0, 0}, []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, s0, s1, l0, l1 []byte) {
		d := mapDisk{}
		for n, b := range map[string][]byte{"slot-0": s0, "slot-1": s1, "log-0": l0, "log-1": l1} {
			if len(b) > 0 {
				d[n] = b
			}
		}
		if sh, _, err := Open(d); err == nil && sh == nil {
			t.Fatal("neither read nor denied")
		}
	})
}
