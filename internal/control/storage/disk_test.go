package storage

import (
	"bytes"
	"errors"
	"fmt"

	"pebbleloom/internal/wire"
)

// noLimit is the write budget of a memoryDisk that never loses power.
const noLimit = -1

// createStore opens an empty disk and saves a first snapshot on it. It returns nil if that fails.
func createStore(disk Disk) *Store {
	store, _, err := Open(disk)
	if err != nil || store.SaveSnapshot(&wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: "a"}}, nil) != nil {
		return nil
	}
	return store
}

var errPowerLost = errors.New("power lost")

// memoryDisk is a Disk in memory. It simulates a power loss after writeBudget further bytes have been written: of
// the write that exceeds the budget, only the bytes within the budget are stored.
type memoryDisk struct {
	files       map[string][]byte
	writeBudget int
}

func newMemoryDisk(writeBudget int) *memoryDisk {
	return &memoryDisk{files: map[string][]byte{}, writeBudget: writeBudget}
}

func (d *memoryDisk) Read(name string) ([]byte, bool, error) {
	content, exists := d.files[name]
	return bytes.Clone(content), exists, nil
}

func (d *memoryDisk) Write(name string, content []byte) error {
	if d.writeBudget == 0 {
		return errPowerLost
	}
	d.files[name] = nil
	return d.Append(name, content)
}

func (d *memoryDisk) Append(name string, content []byte) error {
	if d.writeBudget != noLimit && len(content) > d.writeBudget {
		d.files[name], d.writeBudget = append(d.files[name], content[:d.writeBudget]...), 0
		return errPowerLost
	}
	d.files[name] = append(d.files[name], content...)
	if d.writeBudget != noLimit {
		d.writeBudget -= len(content)
	}
	return nil
}

func (d *memoryDisk) Truncate(name string, size int) error {
	if size > len(d.files[name]) {
		return fmt.Errorf("truncate %s to %d bytes: the file has only %d", name, size, len(d.files[name]))
	}
	d.files[name] = d.files[name][:size]
	return nil
}

// clone returns a copy of a memoryDisk. The copy never loses power.
func (d *memoryDisk) clone() *memoryDisk {
	copied := newMemoryDisk(noLimit)
	for name, content := range d.files {
		copied.files[name] = bytes.Clone(content)
	}
	return copied
}

// forEachFlippedBit calls check once for each byte of each file on a disk. It passes the name of the file, the
// offset i of the byte and a copy of the disk in which one bit of that byte is flipped.
func (d *memoryDisk) forEachFlippedBit(check func(name string, i int, disk *memoryDisk)) {
	for name, content := range d.files {
		for i := range content {
			disk := d.clone()
			disk.files[name][i] ^= 0x10
			check(name, i, disk)
		}
	}
}
